// The rows of jobs: where they stand in the store, and what they hold.
#pragma once

#include <sassafrasferry/jobs/job.h>
#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/store/part_rows.h>

#include <string>
#include <vector>

namespace sassafrasferry::coordination {

/// Tables of the scheduler of jobs.
namespace table {
constexpr const char *intake = "intake"; ///< accepted jobs and cancellations, by the entry VMs
constexpr const char *progress = "progress"; ///< what became of jobs, by the leader
constexpr const char *chain = "chain"; ///< one row a part: the leader's fence
constexpr const char *waves = "waves"; ///< VMs that waves have maintained, by the leader
constexpr const char *lease = "lease"; ///< one row: who leads
} // namespace table

/// Parts of the tables of jobs. A part takes a bounded number of transactions a second.
constexpr std::size_t jobParts = 2;

/// All rows of a job share a part, so that they change together.
std::string partOf(const std::string &job);
std::vector<std::string> allJobParts();

/// The row of a cancellation stands beside the row of its job.
std::string cancellationKey(const std::string &job);
/// The job that a key of the intake names, and whether the row cancels it.
struct IntakeKey
{
    std::string job;
    bool cancels = false;
};
IntakeKey parseIntakeKey(const std::string &key);

/// The row of a job, without when and under which configuration it was accepted.
messages::JobRecord recordOf(const jobs::JobSpec &spec, const jobs::QueueTerms &terms);
jobs::QueueTerms termsFrom(const messages::JobRecord &record);

} // namespace sassafrasferry::coordination
