// What a new leader learns from the platform's list of VMs.
#pragma once

#include <sassafrasferry/coordination/fleet_keeper.h>
#include <sassafrasferry/coordination/timing.h>

#include <functional>
#include <set>

namespace sassafrasferry::coordination {

/// Tells the scheduler which incarnations of VMs may run something. A worker that is cut off from
/// the store is in the platform's list alone; one whose VM was moved may still be in the store's.
inline void takeVms(scheduling::Scheduler &scheduler, const std::vector<scheduling::Vm> &vms,
                    const std::set<std::string> &listedBefore)
{
    for (const auto &vm : vms) {
        if (!vm.worker.empty())
            scheduler.expectWorker(vm.worker, vm.pool);
        if (vm.state == scheduling::VmState::Down)
            continue;
        const bool isUp = vm.state == scheduling::VmState::Up;
        scheduler.endEarlierIncarnations({vm.name, vm.pool, vm.worker, isUp}, listedBefore,
                                         bootNow());
    }
}

/// Asks for the list until it is answered, or until `isStopped`.
template<CloudCalls Cloud>
Awaitable<void> surveyVms(Cloud &cloud, scheduling::Scheduler &scheduler,
                          std::function<bool()> isStopped)
{
    static constexpr auto retryPause = std::chrono::milliseconds(50);
    while (!isStopped()) {
        std::set<std::string> listedBefore;
        for (const auto &entry : scheduler.workers())
            listedBefore.insert(entry.first);
        const auto vms = co_await cloud.list();
        if (isStopped())
            co_return;
        if (vms.ok()) {
            takeVms(scheduler, *vms, listedBefore);
            co_return;
        }
        co_await pause(retryPause);
    }
}

} // namespace sassafrasferry::coordination
