// Loads jobs and cancellations from the store's rows into a new leader's scheduler.
#pragma once

#include <sassafrasferry/coordination/progress_rows.h>
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

    /// The pieces in which jobs are stored and the rows that nothing refers to, as of the rows of
    /// the progress table. Valid after the first `addIntake`.
    struct StoredPieces
    {
        std::map<std::string, ProgressPieces> ofJobs;
        std::vector<StaleRow> stale;
    };
    StoredPieces takePieces();

    /// True after the first `addIntake`: all jobs that were in the store have been added.
    bool isComplete() const;

private:
    void addStored(const std::string &id, const std::string &bytes);
    void addFinished(const std::string &id, const messages::JobProgress &progress);

    scheduling::Scheduler &scheduler;
    StoredProgress storedRows; // of the progress table; empty once complete
    std::map<std::string, messages::JobProgress> storedProgress; // by job, during `addIntake`
    StoredPieces storedPieces;
    bool complete = false;
};

} // namespace sassafrasferry::coordination
