// Remembers jobs that failed on several workers which serve others well: running them again only
// costs slots, so they get a final answer at once.
#pragma once

#include <sassafrasferry/policy/time.h>
#include <sassafrasferry/policy/worker_health.h>

#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace sassafrasferry::policy {

/// A bounded memory of failing jobs.
class HopelessJobs
{
public:
    static constexpr std::size_t failuresEnough = 3;
    static constexpr std::size_t mostRemembered = 4096;
    static constexpr Duration remembered = std::chrono::minutes(10);

    /// A job failed on a worker. Counts only if that worker serves others well.
    /// True if the job is hopeless from now on.
    bool failed(JobFingerprint job, const std::string &worker, bool workerServesWell, Instant now);
    /// The job succeeded somewhere: nothing speaks against it any more.
    void succeeded(JobFingerprint job);
    bool isHopeless(JobFingerprint job, Instant now) const;

private:
    struct Record
    {
        std::vector<std::string> workers; // distinct, at the most failuresEnough
        Instant last{};
        std::list<JobFingerprint>::iterator place;
    };

    std::unordered_map<JobFingerprint, Record> records;
    std::list<JobFingerprint> order; // oldest first; one element a record
};

} // namespace sassafrasferry::policy
