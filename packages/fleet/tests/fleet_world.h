// Fakes of the table service and the platform's VMs on a virtual clock, with injected faults.
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

/// Thrown to simulate the death of the process that holds the lease.
struct HolderKilled
{};

/// A fault injected into one call.
enum class CallFault {
    None,
    HolderKilled, ///< the lease holder dies before the call
    HolderPaused, ///< the lease holder is paused before the call while another one takes over
    CallLost, ///< the call has no effect, and no answer arrives
    AnswerLost, ///< the call takes effect, and no answer arrives
    CallTwice, ///< the call is carried out twice
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

/// Selects the fault of each call that changes state, by the number of the call.
struct CallFaults
{
    std::size_t calls = 0; ///< number of calls so far
    std::function<CallFault(std::size_t)> faultOf;
    std::function<void()> whilePaused; ///< runs while the lease holder is paused

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

/// The result of a fault sweep.
struct FaultSweep
{
    std::size_t runs = 0;
    std::size_t violations = 0;
    std::string first; ///< the first violation, with its fault and call
};

/// Injects every fault at each of `calls` calls: alone, again at the next call, and again after
/// `secondDistance` calls. `run(faults)` runs a simulation and returns the first violated
/// invariant, or an empty string.
template<typename Run>
FaultSweep sweepFaults(std::size_t calls, std::size_t secondDistance, Run run)
{
    FaultSweep sweep;
    for (const auto &fault : enumNames(CallFault{})) {
        for (std::size_t call = 0; call < calls; ++call) {
            for (const std::size_t second : {call, call + 1, call + secondDistance}) {
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

/// Another process takes over the lease; returns the new fence.
inline store::Condition takeLease(fakes::MemoryTables &tables, std::int64_t &epoch)
{
    const auto key = store::LeaseKeeper<fakes::MemoryTables>::epochKey();
    const auto commit = tables.commitNow({{}, {{key, Json{{"epoch", ++epoch}}}}, {}});
    return {key, commit.version};
}

/// The table service as one process sees it, with faults.
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

/// Runs a simulation until it has finished or `maxSteps` steps have passed. The first process meets
/// `faults`. If it is killed, another one takes over; if it was paused, it notices the takeover at
/// its next read of the lease.
template<typename World>
void runToEnd(World &world, CallFaults &faults, int maxSteps)
{
    auto *current = &faults;
    CallFaults none;
    auto fence = world.fence;
    for (int i = 0; i < maxSteps && !world.isFinished(); ++i) {
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

/// A VM of the fake platform.
struct FakeVm
{
    VmReport report;
    int maintained = 0; ///< number of times that maintenance was started
    bool maintainedWhileServing = false; ///< maintenance would have aborted a request in flight
    std::int64_t maintainOrder = 0; ///< the latest maintain order
};

/// The VMs of the fake platform; `tick` advances the time.
struct FakeVms
{
    std::map<std::string, FakeVm> vms;
    std::string failsAfterMaintenance; ///< the VM whose health check fails after maintenance
    bool acceptsStaleOrders = false; ///< negative control: maintain orders are not fenced

    void tick()
    {
        for (auto &[name, vm] : this->vms) {
            if (vm.report.phase == VmPhase::Draining)
                vm.report.phase = VmPhase::Empty;
            else if (vm.report.phase == VmPhase::Maintaining) {
                vm.report.phase = VmPhase::Serving;
                vm.report.maintainedOrder = vm.maintainOrder;
                vm.report.isFailing = name == this->failsAfterMaintenance;
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
        const bool isStale = order <= vm.report.maintainedOrder || order <= vm.maintainOrder;
        if (isStale && !this->acceptsStaleOrders)
            return;
        vm.maintainedWhileServing = vm.maintainedWhileServing || vm.report.phase != VmPhase::Empty;
        vm.maintainOrder = order;
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

/// The platform's VMs as one process sees them, with faults.
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
        co_return this->sendOrder([&] { this->vms.drain(vm, order); });
    }

    Awaitable<absl::Status> maintain(std::string vm, std::int64_t order)
    {
        co_return this->sendOrder([&] { this->vms.maintain(vm, order); });
    }

    Awaitable<absl::Status> resume(std::string vm, std::int64_t order)
    {
        co_return this->sendOrder([&] { this->vms.resume(vm, order); });
    }

private:
    template<typename Order>
    absl::Status sendOrder(Order order)
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
