// The faults of a `FaultSequenceSimulation`, with the tick at which a test injects each.
#pragma once

#include <sassafrasferry/model/names.h>

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace sassafrasferry::scheduling::tests {

enum class InjectedFault {
    WorkerRestarts, ///< the worker restarts at once and keeps its id
    WorkerRestartsUnnoticed, ///< as `WorkerRestarts`, but leaders see its new entry late
    WorkerDown, ///< the worker dies, and restarts with the same id seconds later
    WorkerPartitioned, ///< no call reaches the worker, and its tasks keep running
    HoldsDelayed, ///< the leader is busy, and sends its next holds late
    StartLate, ///< the next start is executed late and is not answered
    StartUnanswered, ///< the next start is executed, but its answer is lost
    StopLate, ///< the next stop is executed late and is not answered
    VmOrderUnanswered, ///< the next VM order is executed, but its answer is lost
    LeaderDies,
    LeaderLosesStore, ///< another leader starts, and this one keeps sending orders for seconds
    LeaderCannotWrite, ///< as `LeaderLosesStore`, but the leader can still read the store
};

constexpr auto enumNames(InjectedFault)
{
    return std::array{
        model::EnumName{InjectedFault::WorkerRestarts, "worker restarts"},
        model::EnumName{InjectedFault::WorkerRestartsUnnoticed, "worker restarts unnoticed"},
        model::EnumName{InjectedFault::WorkerDown, "worker dark"},
        model::EnumName{InjectedFault::WorkerPartitioned, "worker cut"},
        model::EnumName{InjectedFault::HoldsDelayed, "holds delayed"},
        model::EnumName{InjectedFault::StartLate, "start late"},
        model::EnumName{InjectedFault::StartUnanswered, "start unanswered"},
        model::EnumName{InjectedFault::StopLate, "stop late"},
        model::EnumName{InjectedFault::VmOrderUnanswered, "VM order unanswered"},
        model::EnumName{InjectedFault::LeaderDies, "leader dies"},
        model::EnumName{InjectedFault::LeaderLosesStore, "leader loses store"},
        model::EnumName{InjectedFault::LeaderCannotWrite, "leader cannot write"},
    };
}

constexpr bool targetsVm(InjectedFault fault)
{
    return fault <= InjectedFault::WorkerPartitioned;
}

struct TimedFault
{
    InjectedFault fault = InjectedFault::WorkerRestarts;
    int tick = 0; ///< tick at which the fault occurs
    std::size_t vm = 0; ///< index of the affected VM, if `targetsVm`
};

inline std::string toString(const std::vector<TimedFault> &faults)
{
    std::string text;
    for (const auto &fault : faults)
        text += std::string(model::nameOf(fault.fault)) + " vm" + std::to_string(fault.vm) + " at "
                + std::to_string(fault.tick) + "; ";
    return text;
}

} // namespace sassafrasferry::scheduling::tests
