// What an entry VM is told of its tenures, and what it tells for the lease row.
#pragma once

#include <sassafrasferry/coordination/tenure.h>

#include <functional>
#include <string>
#include <vector>

namespace sassafrasferry::coordination {

/// Called by `Leadership`.
struct LeadershipEvents
{
    std::function<void(const Tenure &)> onLead;
    std::function<void(const std::string &why)> onLost;
    /// Returns the VMs about which orders were given within the hand-over delay.
    std::function<std::vector<std::string>()> orderedVms = [] {
        return std::vector<std::string>{};
    };
    /// Returns the orders about VMs that the platform may still execute, and those that wait to
    /// be announced.
    std::function<std::vector<scheduling::OpenVmOrder>()> openVmOrders = [] {
        return std::vector<scheduling::OpenVmOrder>{};
    };
    /// Returns the workers that may run tasks on a lease by the clock of a former incarnation.
    std::function<std::vector<scheduling::RestartedWorker>()> restartedWorkers = [] {
        return std::vector<scheduling::RestartedWorker>{};
    };
};

} // namespace sassafrasferry::coordination
