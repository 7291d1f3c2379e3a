// What a new leader learns of jobs from the store's rows.
#pragma once

#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/scheduling/scheduler.h>
#include <sassafrasferry/store/part_rows.h>

#include <map>
#include <string>
#include <vector>

namespace sassafrasferry::coordination {

/// Hands the rows of jobs to the scheduler: first all rows of progress, then those of the intake,
/// then each change of the intake as it comes.
class JobBook
{
public:
    explicit JobBook(scheduling::Scheduler &scheduler);

    /// Rows of how far jobs have come. Only before the first rows of the intake.
    void takeProgress(const std::vector<store::PartRow> &rows);

    /// Returns the jobs whose cancellation has a row, and that were not over.
    std::vector<std::string> takeIntake(const std::vector<store::PartRow> &rows);

    /// True once all jobs that stood in the store are known.
    bool isComplete() const;

private:
    void takeJob(const std::string &id, const std::string &bytes);
    void addOver(const std::string &id, scheduling::JobState state);

    scheduling::Scheduler &scheduler;
    std::map<std::string, messages::JobProgress> inherited; // until the intake is known
    bool complete = false;
};

} // namespace sassafrasferry::coordination
