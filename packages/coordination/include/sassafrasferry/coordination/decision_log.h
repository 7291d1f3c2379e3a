// The leader's log lines about its decisions.
#pragma once

#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/scheduling/scheduler.h>

#include <map>
#include <string>
#include <vector>

namespace sassafrasferry::coordination {

/// The notes of a round, as one record of many lines: a record each costs the leader more than the
/// decisions themselves.
void tellRound(const std::vector<scheduling::DecisionNote> &notes, Instant at);

/// A line for each service: what it has to do, and with what.
void tellLoads(const std::map<std::string, scheduling::ServiceLoad> &loads);

} // namespace sassafrasferry::coordination
