// What a step of the fleet's control knows of the world around it, and what it says that it did.
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

/// What a step knows of the world around it.
struct FleetView
{
    const model::Document &document;
    std::set<std::string> failed; ///< VMs out of service that no row took out
    std::int64_t revisionEverywhere = 0; ///< the lowest revision of any live entry VM
    std::int64_t now = 0; ///< Unix milliseconds; numbers orders
    /// The lowest version of the fleet's head row that any live entry VM has read rows by.
    std::int64_t fleetVersionEverywhere = std::numeric_limits<std::int64_t>::max();
    std::set<std::string> busy{}; ///< VMs out of service on which an entry VM still has requests
    std::vector<policy::PoolWish> wishes{}; ///< of pools whose demand asks for VMs, or for fewer
};

/// A decision, for the log.
struct FleetDecision
{
    std::string event;
    std::string subject; ///< the VM or the wave
    std::string reason;
};

using FleetLog = std::function<void(const FleetDecision &)>;

} // namespace sassafrasferry::fleet
