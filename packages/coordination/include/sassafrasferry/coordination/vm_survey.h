// Informs a new leader's scheduler of workers from the platform's list of VMs.
#pragma once

#include <sassafrasferry/coordination/fleet_controller.h>
#include <sassafrasferry/coordination/timing.h>

#include <functional>
#include <set>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// Tells the scheduler which worker incarnations may still run tasks. A worker that is cut off from
/// the store appears in the platform's list only. A worker whose VM was moved may still have an
/// entry in the store.
inline void applyVmList(scheduling::Scheduler &scheduler, const std::vector<scheduling::Vm> &vms,
                        const std::set<std::string> &listedBefore)
{
    std::size_t withoutWorker = 0;
    for (const auto &vm : vms) {
        if (vm.worker.empty())
            ++withoutWorker;
        else
            scheduler.addUnlistedWorker(vm.worker, vm.pool, vm.name);
        if (vm.state == scheduling::VmState::Down)
            continue;
        const bool isUp = vm.state == scheduling::VmState::Up;
        scheduler.endEarlierIncarnations({vm.name, vm.pool, vm.worker, isUp}, listedBefore,
                                         bootNow());
    }
    LOG(INFO) << "event=vm-survey vms=" << vms.size() << " without-worker=" << withoutWorker
              << " listed-workers=" << listedBefore.size();
}

/// Requests the list until the platform answers, or `isStopped` returns true.
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
            applyVmList(scheduler, *vms, listedBefore);
            co_return;
        }
        co_await pause(retryPause);
    }
}

} // namespace sassafrasferry::coordination
