// Input of a fleet control step, and the decisions that the step logs.
#pragma once

#include <sassafrasferry/model/document.h>
#include <sassafrasferry/policy/capacity_planner.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace sassafrasferry::fleet {

/// The observed state that a control step decides on.
struct FleetView
{
    const model::Document &document;
    std::set<std::string> failed; ///< VMs that are out of service without a row
    std::int64_t minEntryRevision = 0; ///< the lowest document revision of any live entry VM
    std::int64_t now = 0; ///< Unix milliseconds; also the fencing token of new platform orders
    /// The lowest version of the fleet head row that any live entry VM has read.
    std::int64_t minEntryFleetVersion = std::numeric_limits<std::int64_t>::max();
    std::set<std::string> busy{}; ///< VMs out of service that still have requests from an entry VM
    std::vector<policy::PoolWish> wishes{}; ///< of pools whose demand calls for more or fewer VMs
};

/// A decision of a control step, to be logged.
struct FleetDecision
{
    std::string event;
    std::string subject; ///< the VM or the wave
    std::string reason;
};

using FleetLog = std::function<void(const FleetDecision &)>;

} // namespace sassafrasferry::fleet
