// Log lines about the leader's scheduling decisions and the load of services.
#pragma once

#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/scheduling/scheduler.h>

#include <map>
#include <string>
#include <vector>

namespace sassafrasferry::coordination {

/// Logs the notes of a scheduling round as one log record of many lines. A record for each note
/// would cost the leader more time than the decisions themselves.
void logRound(const std::vector<scheduling::DecisionNote> &notes, Instant at);

/// Logs one line per service with its queued and running work and its capacity.
void logLoads(const std::map<std::string, scheduling::ServiceLoad> &loads);

/// One line for each customer that uses most of its cap.
void logCustomerUsage(const scheduling::CustomerUsage &usage);

} // namespace sassafrasferry::coordination
