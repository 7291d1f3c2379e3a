// Selects the jobs of a service that its workers can finish on time.
//
// Load pattern: for some seconds more work arrives than the workers can do. Ordered by objective
// alone, each job then starts at the last moment at which it could be on time, and the least delay
// makes nearly all of them late. Selected jobs leave room for errors of estimates, and jobs beyond
// the capacity are passed over instead of delaying all others.
#pragma once

#include <sassafrasferry/policy/time.h>

namespace sassafrasferry::scheduling {

using policy::Duration;
using policy::Instant;

/// A job in the backlog of a service.
struct BacklogJob
{
    Instant objective{};
    Duration remainingPath{}; ///< time for the rest of the job with a worker for each of its tasks
    double coreSeconds = 0; ///< of its unfinished tasks
    bool isStarted = false; ///< some of its tasks run or are done
};

class OnTimeSelection
{
public:
    /// `cores`: of the workers, without those in use by lasting tasks.
    OnTimeSelection(double cores, Instant now);

    /// Whether the job can be on time beside those selected so far. Jobs are offered in the order
    /// in which they are to start.
    bool select(const BacklogJob &job);

    /// Time until the work selected so far is done.
    Duration wait() const;

private:
    double cores;
    Instant now;
    double selectedSeconds = 0; // core-seconds of the selected jobs
};

} // namespace sassafrasferry::scheduling
