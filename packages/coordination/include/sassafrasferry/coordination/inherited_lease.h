// How long tasks that a predecessor started may still run on a worker that does not answer.
#pragma once

#include <sassafrasferry/coordination/leader_options.h>
#include <sassafrasferry/coordination/tenure.h>
#include <sassafrasferry/scheduling/scheduler.h>

namespace sassafrasferry::coordination {

/// Workers that can be reached answer a new leader's first call within this time. Started sooner, a
/// task could be done already on a worker that has not been heard.
constexpr Duration minSurveyTime = std::chrono::milliseconds(1500);

/// Time after a takeover at `now` for which a worker may hold a lease that a predecessor granted.
inline Duration inheritedLease(const Tenure &tenure, const scheduling::SchedulerTimes &times,
                               const LeadershipTimes &leadership, Instant now)
{
    // The time that a lease can last, by this entry VM's clock, on a worker whose clock runs slow.
    const auto longest = [&](Duration lease) {
        return policy::fromSeconds(policy::seconds(lease) * (1 + times.clockDrift))
               + times.leaseMargin;
    };
    const auto leftSince = [&](Instant confirmedBy) {
        return confirmedBy == Instant{} ? Duration::zero()
                                        : longest(leadership.leaseLimit) - (now - confirmedBy);
    };
    const auto ofEarlierLeaders = leftSince(tenure.earlierConfirmedBy);
    if (tenure.predecessorStopped)
        return std::max<Duration>(longest(times.workerLease), ofEarlierLeaders);
    // A leader of an earlier version may grant full leases until its order limit.
    if (!tenure.limitsLeases)
        return std::max<Duration>(longest(times.workerLease) + leadership.orderLimit,
                                  ofEarlierLeaders);
    return std::max<Duration>(
        {leftSince(tenure.predecessorConfirmedBy), ofEarlierLeaders, minSurveyTime});
}

/// The times of the scheduler of a leader that took over at `now`.
inline scheduling::SchedulerTimes timesAfterTakeover(scheduling::SchedulerTimes times,
                                                     const Tenure &tenure,
                                                     const LeadershipTimes &leadership, Instant now)
{
    times.inheritedLease = inheritedLease(tenure, times, leadership, now);
    const auto confirmedBy = tenure.liveLeadersConfirmedBy();
    const bool canAnotherOrder =
        confirmedBy != Instant{} && now - confirmedBy < leadership.leaseLimit;
    times.surveyTime = tenure.predecessorStopped && !canAnotherOrder ? Duration{} : minSurveyTime;
    return times;
}

/// The options of a leader that took over at `now`.
inline LeaderOptions afterTakeover(LeaderOptions options, const Tenure &tenure, Instant now)
{
    options.times = timesAfterTakeover(options.times, tenure, options.leadership, now);
    return options;
}

} // namespace sassafrasferry::coordination
