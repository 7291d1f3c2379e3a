// Timeouts and durations of the scheduler.
#pragma once

#include <sassafrasferry/policy/time.h>
#include <sassafrasferry/scheduling/mechanisms.h>

namespace sassafrasferry::scheduling {

using policy::Duration;

/// Timeouts and durations of the scheduler: worker leases, backoff, takeover.
struct SchedulerTimes
{
    Duration workerLease = std::chrono::milliseconds(4000); ///< granted with each hold and start
    Duration maxLease = std::chrono::milliseconds(10000); ///< longest that a worker accepts
    double clockDrift = 0.02; ///< share by which a worker's clock may run slow
    Duration leaseMargin = std::chrono::milliseconds(150); ///< added to each lease bound
    /// A worker that has not answered for longer gets no starts, and its lease is not extended.
    Duration answerTimeout = std::chrono::milliseconds(1800);
    Duration roomBackOff = std::chrono::milliseconds(150); ///< after a refusal for lack of room
    Duration expiredBackOff = std::chrono::milliseconds(150); ///< after two starts came too late
    Duration failingBackOff = std::chrono::milliseconds(2000); ///< after most recent runs failed
    /// After an "unhealthy" or "malformed" answer.
    Duration healthBackOff = std::chrono::milliseconds(500);
    /// How long after a takeover an unreachable worker may still run tasks that the previous leader
    /// started.
    Duration inheritedLease = std::chrono::milliseconds(10700);
    /// After a takeover workers that can be reached answer the first call within this time.
    Duration surveyTime = std::chrono::milliseconds(1500);
    Duration starvationTime = std::chrono::milliseconds(900); ///< longest wait of a lasting task
    /// A lasting task counts as available only if its worker reported within this time. Holds are
    /// answered within a second.
    Duration maxReportAge = std::chrono::milliseconds(1500);
    /// A lasting task counts as unavailable for this long after the first report at full share.
    Duration minReadyTime = std::chrono::milliseconds(200);
    Duration workerRetention = std::chrono::seconds(20); ///< of unlisted workers
    Duration startExpiry = std::chrono::milliseconds(1500); ///< unsent starts expire after this
    Duration orderTimeout = std::chrono::milliseconds(3000); ///< then a start is unanswered
    Duration lateCallLimit = std::chrono::seconds(12); ///< a call is carried out this late at most
    /// A task that names a rack runs this many times as long on any other.
    double remoteFactor = 1;
    /// Longest wait of a task for a worker on its rack while there is room elsewhere; 0: never.
    Duration maxNearWait = std::chrono::milliseconds(1500);
    MechanismSet mechanisms;
};

} // namespace sassafrasferry::scheduling
