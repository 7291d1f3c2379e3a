// State of one round of fleet planning.
#pragma once

#include <sassafrasferry/scheduling/fleet_planner.h>

namespace sassafrasferry::scheduling {

struct FleetPlanner::Round
{
    Scheduler &scheduler;
    Instant now;
    UnixMilliseconds unixNow = 0;
    std::map<std::string, Pool> pools;
    std::map<std::string, Worker *> workers; // by VM name
    std::set<std::string> keptVms; // places of waiting tasks: neither moved away nor cordoned
    std::set<std::string> awaitingMaintenance; // VMs that a wave still has to maintain
    std::vector<FleetOrder> orders;
};

} // namespace sassafrasferry::scheduling
