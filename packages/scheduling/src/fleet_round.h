// What one round of fleet planning works on.
#pragma once

#include <sassafrasferry/scheduling/fleet_planner.h>

namespace sassafrasferry::scheduling {

struct FleetPlanner::Round
{
    Scheduler &scheduler;
    Instant now;
    UnixMilliseconds unixNow = 0;
    std::map<std::string, Pool> pools;
    std::map<std::string, Worker *> workers; // by the name of their VM
    std::set<std::string> waiting; // VMs that a wave has yet to maintain
    std::vector<FleetOrder> orders;
};

} // namespace sassafrasferry::scheduling
