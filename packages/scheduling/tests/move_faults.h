// The faults of a `VmMoveSimulation`, with the tick at which a test injects each.
#pragma once

#include <sassafrasferry/model/names.h>

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace sassafrasferry::scheduling::tests {

enum class MoveFault {
    WorkerRestarts, ///< the worker restarts at once and keeps its id
    WorkerRestartsUnnoticed, ///< as `WorkerRestarts`, but leaders see its new entry late
    WorkerDown, ///< the worker dies, and restarts with the same id seconds later
    WorkerPartitioned, ///< no call reaches the worker, and its tasks keep running
    WorkerHangs, ///< the worker answers no call, and executes the calls after it recovers
    WorkerHangsAndDrops, ///< the worker answers no call, and drops the calls
    WorkerGone, ///< the worker is lost for good, and another one answers at its address
    EarlierEntryListed, ///< the entries of the VM's earlier workers reappear for seconds
    EntriesReadAgain, ///< the leader reads all existing entries again, also of ended workers
    StartLate, ///< the next start is executed late and is not answered
    StartUnanswered, ///< the next start is executed, but its answer is lost
    StopLate, ///< the next stop is executed late and is not answered
    HoldLate, ///< the next hold is executed late and is not answered
    VmOrderUnanswered, ///< the next VM order is executed, but its answer is lost
    VmOrderAnsweredLate, ///< the answer to the next VM order arrives after the VM's next worker
    VmListStale, ///< for some seconds, leaders get an outdated list of VMs
    StoreSlow, ///< for some seconds, writes to the store take longer
    JobCancelled, ///< the newest job is cancelled
    LeaderDies,
    LeaderCannotWrite, ///< another leader starts, and this one keeps sending orders for seconds
    AllRestart, ///< all leaders die, and the same entry VM soon starts as leader again
    VmOrderLate, ///< the next VM order is executed late, and its answer is lost
};

constexpr auto enumNames(MoveFault)
{
    return std::array{
        model::EnumName{MoveFault::WorkerRestarts, "worker restarts"},
        model::EnumName{MoveFault::WorkerRestartsUnnoticed, "worker restarts unnoticed"},
        model::EnumName{MoveFault::WorkerDown, "worker dark"},
        model::EnumName{MoveFault::WorkerPartitioned, "worker cut"},
        model::EnumName{MoveFault::WorkerHangs, "worker hangs"},
        model::EnumName{MoveFault::WorkerHangsAndDrops, "worker hangs and drops"},
        model::EnumName{MoveFault::WorkerGone, "worker gone"},
        model::EnumName{MoveFault::EarlierEntryListed, "earlier entry listed"},
        model::EnumName{MoveFault::EntriesReadAgain, "entries read again"},
        model::EnumName{MoveFault::StartLate, "start late"},
        model::EnumName{MoveFault::StartUnanswered, "start unanswered"},
        model::EnumName{MoveFault::StopLate, "stop late"},
        model::EnumName{MoveFault::HoldLate, "hold late"},
        model::EnumName{MoveFault::VmOrderUnanswered, "VM order unanswered"},
        model::EnumName{MoveFault::VmOrderAnsweredLate, "VM order answered late"},
        model::EnumName{MoveFault::VmListStale, "VM list behind"},
        model::EnumName{MoveFault::StoreSlow, "store slow"},
        model::EnumName{MoveFault::JobCancelled, "job cancelled"},
        model::EnumName{MoveFault::LeaderDies, "leader dies"},
        model::EnumName{MoveFault::LeaderCannotWrite, "leader cannot write"},
        model::EnumName{MoveFault::AllRestart, "all restart"},
        model::EnumName{MoveFault::VmOrderLate, "VM order late"},
    };
}

constexpr bool targetsVm(MoveFault fault)
{
    return fault <= MoveFault::EarlierEntryListed;
}

/// Whether something fails. The other faults are normal behaviour of the platform or a caller.
constexpr bool isDisruption(MoveFault fault)
{
    const bool isOfPlatform =
        fault == MoveFault::EarlierEntryListed || fault == MoveFault::EntriesReadAgain
        || fault == MoveFault::VmOrderUnanswered || fault == MoveFault::VmOrderAnsweredLate
        || fault == MoveFault::VmOrderLate || fault == MoveFault::VmListStale
        || fault == MoveFault::JobCancelled;
    return !isOfPlatform;
}

struct TimedMoveFault
{
    MoveFault fault = MoveFault::WorkerRestarts;
    int tick = 0; ///< tick at which the fault occurs
    std::size_t vm = 0; ///< index of the affected VM, if `targetsVm`
};

inline std::string toString(const std::vector<TimedMoveFault> &faults)
{
    std::string text;
    for (const auto &fault : faults) {
        text += std::string(model::nameOf(fault.fault));
        if (targetsVm(fault.fault))
            text += " vm" + std::to_string(fault.vm);
        text += " at " + std::to_string(fault.tick) + "; ";
    }
    return text;
}

} // namespace sassafrasferry::scheduling::tests
