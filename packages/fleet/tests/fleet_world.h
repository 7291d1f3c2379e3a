// A fleet on a virtual clock: the table service and the platform's VMs, with a fault at any call.
#pragma once

#include <sassafrasferry/fakes/memory_tables.h>
#include <sassafrasferry/fleet/vm_control.h>
#include <sassafrasferry/fleet/wave_runner.h>
#include <sassafrasferry/store/lease_keeper.h>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace sassafrasferry::fleet {

/// Thrown where the process that holds the lease dies.
struct HolderKilled
{};

/// A fault of one call.
enum class CallFault {
    None,
    HolderKilled, ///< before the call
    HolderPaused, ///< before the call, while another one takes the lease over and goes on
    CallLost, ///< it has no effect, and no answer comes
    AnswerLost, ///< it has its effect, and no answer comes
    CallTwice, ///< it is carried out twice
};

constexpr auto enumNames(CallFault)
{
    using model::EnumName;
    return std::array{EnumName{CallFault::None, "none"},
                      EnumName{CallFault::HolderKilled, "holder killed"},
                      EnumName{CallFault::HolderPaused, "holder paused"},
                      EnumName{CallFault::CallLost, "call lost"},
                      EnumName{CallFault::AnswerLost, "answer lost"},
                      EnumName{CallFault::CallTwice, "call twice"}};
}

/// Decides the fault of each call that changes something, by its number.
struct CallFaults
{
    std::size_t calls = 0; ///< so far
    std::function<CallFault(std::size_t)> faultOf;
    std::function<void()> whilePaused; ///< what happens while the holder is paused

    CallFault next()
    {
        const auto fault = this->faultOf ? this->faultOf(this->calls) : CallFault::None;
        ++this->calls;
        if (fault == CallFault::HolderKilled)
            throw HolderKilled{};
        if (fault == CallFault::HolderPaused && this->whilePaused)
            this->whilePaused();
        return fault;
    }
};

/// What a sweep of faults came to.
struct FaultSweep
{
    std::size_t runs = 0;
    std::size_t violations = 0;
    std::string first; ///< the first violation, with its fault and call
};

/// Every fault at every one of `calls` calls, alone and a second time `again` calls later.
/// `run(faults)` carries a world through them and returns the first violated promise, or nothing.
template<typename Run>
FaultSweep sweepFaults(std::size_t calls, std::size_t again, Run run)
{
    FaultSweep sweep;
    for (const auto &fault : enumNames(CallFault{})) {
        for (std::size_t call = 0; call < calls; ++call) {
            for (const std::size_t second : {call, call + 1, call + again}) {
                CallFaults faults;
                faults.faultOf = [&](std::size_t number) {
                    const bool isDue = number == call || number == second;
                    return isDue ? fault.value : CallFault::None;
                };
                const std::string failure = run(faults);
                ++sweep.runs;
                sweep.violations += failure.empty() ? 0 : 1;
                if (!failure.empty() && sweep.first.empty())
                    sweep.first = std::string(fault.name) + " at call " + std::to_string(call)
                                  + ": " + failure;
            }
        }
    }
    return sweep;
}

/// Another process takes the lease: the fence changes.
inline store::Condition takeLease(fakes::MemoryTables &tables, std::int64_t &epoch)
{
    const auto key = store::LeaseKeeper<fakes::MemoryTables>::epochKey();
    const auto commit = tables.commitNow({{}, {{key, Json{{"epoch", ++epoch}}}}, {}});
    return {key, commit.version};
}

/// The table service, seen by one process.
struct FaultyTables
{
    fakes::MemoryTables &tables;
    CallFaults &faults;

    Awaitable<store::Commit> commit(store::Transaction transaction)
    {
        const auto fault = this->faults.next();
        if (fault == CallFault::CallLost)
            co_return store::Commit{};
        auto commit = this->tables.commitNow(transaction);
        if (fault == CallFault::CallTwice)
            commit = this->tables.commitNow(transaction);
        if (fault == CallFault::AnswerLost)
            commit = {};
        co_return commit;
    }

    Awaitable<absl::StatusOr<std::vector<store::Row>>> read(std::vector<RowKey> keys)
    {
        return this->tables.read(std::move(keys));
    }

    Awaitable<absl::StatusOr<std::vector<store::Row>>> scan(store::ScanRange range)
    {
        return this->tables.scan(std::move(range));
    }
};

/// Carries a world on until it is over or `mostSteps` have passed. The first process meets
/// `faults`; if it is killed another one goes on, and if it was paused it finds out by its next
/// read of the lease.
template<typename World>
void carryThrough(World &world, CallFaults &faults, int mostSteps)
{
    auto *current = &faults;
    CallFaults none;
    auto fence = world.fence;
    for (int i = 0; i < mostSteps && !world.isOver(); ++i) {
        try {
            world.step(*current, fence);
        } catch (const HolderKilled &) {
            world.takeOver();
            current = &none;
            fence = world.fence;
        }
        if (fence.version != world.fence.version && i % 3 == 2)
            fence = world.fence;
        world.pass();
    }
}

/// A VM at the platform.
struct FakeVm
{
    VmReport report;
    int maintained = 0; ///< times maintenance was carried out
    bool maintainedWhileServing = false; ///< a request in flight would have been cut off
    std::int64_t underWay = 0; ///< the maintain order being carried out
};

/// The platform's VMs; time passes by `tick`.
struct FakeVms
{
    std::map<std::string, FakeVm> vms;
    std::string failsAfterwards; ///< the VM that comes back failing
    bool obeysOldOrders = false; ///< sabotage: orders are not fenced

    void tick()
    {
        for (auto &[name, vm] : this->vms) {
            if (vm.report.phase == VmPhase::Draining)
                vm.report.phase = VmPhase::Empty;
            else if (vm.report.phase == VmPhase::Maintaining) {
                vm.report.phase = VmPhase::Serving;
                vm.report.maintainedOrder = vm.underWay;
                vm.report.isFailing = name == this->failsAfterwards;
            }
        }
    }

    void drain(const std::string &name, std::int64_t order)
    {
        auto &vm = this->vms.at(name);
        if (order <= vm.report.drainedOrder)
            return;
        vm.report.drainedOrder = order;
        vm.report.phase = VmPhase::Draining;
    }

    void maintain(const std::string &name, std::int64_t order)
    {
        auto &vm = this->vms.at(name);
        const bool isOld = order <= vm.report.maintainedOrder || order <= vm.underWay;
        if (isOld && !this->obeysOldOrders)
            return;
        vm.maintainedWhileServing = vm.maintainedWhileServing || vm.report.phase != VmPhase::Empty;
        vm.underWay = order;
        vm.report.phase = VmPhase::Maintaining;
        ++vm.maintained;
    }

    void resume(const std::string &name, std::int64_t order)
    {
        auto &vm = this->vms.at(name);
        if (order == vm.report.drainedOrder && vm.report.phase == VmPhase::Empty)
            vm.report.phase = VmPhase::Serving;
    }
};

/// The platform's VMs, seen by one process.
struct FaultyVms
{
    FakeVms &vms;
    CallFaults &faults;

    Awaitable<absl::StatusOr<VmReport>> report(std::string vm)
    {
        co_return this->vms.vms.at(vm).report;
    }

    Awaitable<absl::Status> drain(std::string vm, std::int64_t order)
    {
        co_return this->give([&] { this->vms.drain(vm, order); });
    }

    Awaitable<absl::Status> maintain(std::string vm, std::int64_t order)
    {
        co_return this->give([&] { this->vms.maintain(vm, order); });
    }

    Awaitable<absl::Status> resume(std::string vm, std::int64_t order)
    {
        co_return this->give([&] { this->vms.resume(vm, order); });
    }

private:
    template<typename Order>
    absl::Status give(Order order)
    {
        const auto fault = this->faults.next();
        if (fault != CallFault::CallLost)
            order();
        if (fault == CallFault::CallTwice)
            order();
        if (fault == CallFault::CallLost || fault == CallFault::AnswerLost)
            return absl::UnavailableError("no answer");
        return absl::OkStatus();
    }
};

} // namespace sassafrasferry::fleet
