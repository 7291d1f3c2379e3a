// How long tasks that a predecessor started may still run on a worker that does not answer.
#pragma once

#include <sassafrasferry/coordination/leadership.h>
#include <sassafrasferry/scheduling/scheduler.h>

namespace sassafrasferry::coordination {

/// Time after the takeover for which a worker may hold a lease that a predecessor granted. Runs
/// started by a predecessor last for at most one worker lease after its last order. A predecessor
/// that is not known to have stopped may give orders until its order limit.
inline Duration inheritedLease(const Tenure &tenure, const scheduling::SchedulerTimes &times,
                               Duration orderLimit)
{
    const auto lease =
        policy::fromSeconds(policy::seconds(times.workerLease) * (1 + times.clockDrift))
        + times.leaseMargin;
    return tenure.predecessorStopped ? lease : lease + orderLimit;
}

} // namespace sassafrasferry::coordination
