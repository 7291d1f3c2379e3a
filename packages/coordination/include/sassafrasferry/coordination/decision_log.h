// Log lines about the leader's scheduling decisions and the load of services.
#pragma once

#include <sassafrasferry/coordination/loop_watch.h>
#include <sassafrasferry/coordination/tenure.h>
#include <sassafrasferry/scheduling/scheduler.h>

#include <map>
#include <string>
#include <vector>

namespace sassafrasferry::coordination {

/// How old the knowledge is by which a round decided.
struct RoundKnowledge
{
    Duration sinceConfirmed{}; ///< time since the store last confirmed the lease
    Duration intakeAge{}; ///< jobs and cancellations that were stored since may be unknown
};

/// Logs how long a new leader waits for runs and leases of earlier leaders.
void logTakeover(const Tenure &tenure, const scheduling::SchedulerTimes &times);

/// Logs the notes of a scheduling round as one log record of many lines. A record for each note
/// would cost the leader more time than the decisions themselves.
void logRound(const std::vector<scheduling::DecisionNote> &notes, Instant at,
              const RoundKnowledge &knowledge);

/// Logs one line per service with its queued and running work and its capacity.
void logLoads(const std::map<std::string, scheduling::ServiceLoad> &loads);

/// Where a leader stands in the store's history.
struct LeaderProgress
{
    bool isReady = false;
    Duration sinceConfirmed{}; ///< time since the store last confirmed the lease
    std::size_t intakeRows = 0; ///< rows of jobs that were read
    std::int64_t intakeVersion = 0;
    std::int64_t leaseVersion = 0;
};

/// Tells a busy event loop, long planning rounds and a reader that is behind the store apart.
void logLeaderLoop(const LoopFigures &figures, const LeaderProgress &progress);

/// One line for each customer that uses most of its cap.
void logCustomerUsage(const scheduling::CustomerUsage &usage);

} // namespace sassafrasferry::coordination
