// Loads jobs and cancellations from the store's rows into a new leader's scheduler.
#pragma once

#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/scheduling/scheduler.h>
#include <sassafrasferry/store/part_rows.h>

#include <map>
#include <string>
#include <vector>

namespace sassafrasferry::coordination {

/// Adds jobs to the scheduler from the store's rows. The order is: all rows of the progress table,
/// all rows of the intake table, then each change of the intake table.
class JobLoader
{
public:
    explicit JobLoader(scheduling::Scheduler &scheduler);

    /// Takes rows of the progress table. Must be called before the first `addIntake`.
    void addProgress(const std::vector<store::PartRow> &rows);

    /// Takes rows of the intake table. Returns the jobs that a row cancels and that had not ended.
    std::vector<std::string> addIntake(const std::vector<store::PartRow> &rows);

    /// True after the first `addIntake`: all jobs that were in the store have been added.
    bool isComplete() const;

private:
    void addStored(const std::string &id, const std::string &bytes);
    void addFinished(const std::string &id, const messages::JobProgress &progress);

    scheduling::Scheduler &scheduler;
    std::map<std::string, messages::JobProgress> storedProgress; // by job; empty once complete
    bool complete = false;
};

} // namespace sassafrasferry::coordination
