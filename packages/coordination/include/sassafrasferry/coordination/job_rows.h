// Keys, parts and contents of the rows of jobs in the store.
#pragma once

#include <sassafrasferry/jobs/job.h>
#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/store/part_rows.h>

#include <string>
#include <vector>

namespace sassafrasferry::coordination {

/// Tables of the job scheduler in the store.
namespace table {
constexpr const char *intake = "intake"; ///< accepted jobs, cancellations; written by entry VMs
constexpr const char *progress = "progress"; ///< state of jobs; written by the leader
constexpr const char *chain = "chain"; ///< one row per part with the leader's fencing token
constexpr const char *waves = "waves"; ///< VMs maintained in each wave; written by the leader
constexpr const char *lease = "lease"; ///< a single row with the leader's lease
} // namespace table

/// Number of parts of each table of jobs. The store limits the transactions per second of a part.
constexpr std::size_t jobPartCount = 2;

/// Part that holds all rows of the job, so that one transaction can change them together.
std::string partOf(const std::string &job);
std::vector<std::string> allJobParts();

/// Key of the job's cancellation row in the intake table; it sorts right after the job's own key.
std::string cancellationKey(const std::string &job);

/// A parsed key of the intake table: the job, and whether the row is its cancellation.
struct IntakeKey
{
    std::string job;
    bool isCancellation = false;
};
IntakeKey parseIntakeKey(const std::string &key);

/// Intake row of a job. The caller adds the time of acceptance and the configuration version.
messages::JobRecord recordOf(const jobs::JobSpec &spec, const jobs::QueueTerms &terms);
jobs::QueueTerms termsFrom(const messages::JobRecord &record);

} // namespace sassafrasferry::coordination
