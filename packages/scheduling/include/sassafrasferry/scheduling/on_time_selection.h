// Selects the jobs of a service that its workers can finish on time, and of the late ones those
// that they can finish while these are still of use.
//
// Load pattern: for some seconds more work arrives than the workers can do. Ordered by objective
// alone, each job then starts at the last moment at which it could be on time, and the least delay
// makes nearly all of them late. Selected jobs leave room for errors of estimates, and jobs beyond
// the capacity are passed over instead of delaying all others.
//
// After such a load, or after seconds without a leader, a backlog of late jobs is left. Ordered by
// objective, the oldest go first, and each ends when it is just of no use any more.
#pragma once

#include <sassafrasferry/policy/time.h>

#include <vector>

namespace sassafrasferry::scheduling {

using policy::Duration;
using policy::Instant;

/// A job in the backlog of a service.
struct BacklogJob
{
    Instant objective{}; ///< latest time at which it should end
    Duration remainingPath{}; ///< time for the rest of the job with a worker for each of its tasks
    double coreSeconds = 0; ///< of its unfinished tasks
    bool isStarted = false; ///< some of its tasks run or are done
};

/// Whether each job can be on time beside the selected ones before it. Jobs are given in the order
/// in which they are to start. `cores`: of the workers, without those in use by lasting tasks.
///
/// While nearly all can be on time, only jobs for which there is no time at all are passed over:
/// the order by objective serves most then. When there is much more than can be done, each selected
/// job keeps a part of its slack for errors of estimates, since others take the place of those
/// passed over.
std::vector<bool> selectOnTime(const std::vector<BacklogJob> &jobs, double cores, Instant now);

/// Whether each job can end by its objective, which here is its late limit, beside `secondsBefore`
/// core-seconds of work and the selected jobs before it.
std::vector<bool> selectLate(const std::vector<BacklogJob> &jobs, double cores,
                             double secondsBefore, Instant now);

} // namespace sassafrasferry::scheduling
