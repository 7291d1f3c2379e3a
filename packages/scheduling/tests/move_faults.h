// Faults around moves of VMs, of which each strikes at a moment that a test sets.
#pragma once

#include <sassafrasferry/model/names.h>

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace sassafrasferry::scheduling::tests {

enum class MoveFault {
    WorkerRestarts, ///< at once, under its id
    WorkerRestartsUnnoticed, ///< the same, and its new entry is late
    WorkerDark, ///< dies, and returns under its id after seconds
    WorkerCut, ///< reached by nobody, and runs on
    WorkerHangs, ///< answers no call, and carries them out once it is back
    WorkerHangsAndDrops, ///< answers no call, and forgets them
    WorkerGone, ///< for good; another worker answers at its address
    EarlierEntryListed, ///< the entries of the VM's earlier workers are read once more, and stay
    EntriesReadAgain, ///< all that stand, also of workers that have ended
    StartLate, ///< the next start is carried out late, without an answer
    StartUnanswered, ///< the next start is carried out, and its answer is lost
    StopLate,
    HoldLate, ///< the next hold is carried out late, without an answer
    VmOrderUnanswered, ///< the next order about a VM is carried out, and its answer is lost
    VmOrderAnsweredLate, ///< the same, and its answer comes after the VM's next worker
    VmListBehind, ///< the platform's list of VMs is seconds old for a while
    StoreSlow,
    JobCancelled, ///< the newest
    LeaderDies,
    LeaderCannotWrite, ///< another leads, and this one goes on ordering for a while
    AllRestart, ///< the leader dies, and the same entry VM leads again soon
};

constexpr auto enumNames(MoveFault)
{
    return std::array{
        model::EnumName{MoveFault::WorkerRestarts, "worker restarts"},
        model::EnumName{MoveFault::WorkerRestartsUnnoticed, "worker restarts unnoticed"},
        model::EnumName{MoveFault::WorkerDark, "worker dark"},
        model::EnumName{MoveFault::WorkerCut, "worker cut"},
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
        model::EnumName{MoveFault::VmListBehind, "VM list behind"},
        model::EnumName{MoveFault::StoreSlow, "store slow"},
        model::EnumName{MoveFault::JobCancelled, "job cancelled"},
        model::EnumName{MoveFault::LeaderDies, "leader dies"},
        model::EnumName{MoveFault::LeaderCannotWrite, "leader cannot write"},
        model::EnumName{MoveFault::AllRestart, "all restart"},
    };
}

constexpr bool strikesVm(MoveFault fault)
{
    return fault <= MoveFault::EarlierEntryListed;
}

/// Something breaks; the others are what the platform does at any time.
constexpr bool isDisruption(MoveFault fault)
{
    const bool isOfPlatform =
        fault == MoveFault::EarlierEntryListed || fault == MoveFault::EntriesReadAgain
        || fault == MoveFault::VmOrderUnanswered || fault == MoveFault::VmOrderAnsweredLate
        || fault == MoveFault::VmListBehind || fault == MoveFault::JobCancelled;
    return !isOfPlatform;
}

struct MoveFaultAt
{
    MoveFault fault = MoveFault::WorkerRestarts;
    int tick = 0; ///< when it strikes
    std::size_t vm = 0; ///< which it strikes, if it strikes one
};

inline std::string toString(const std::vector<MoveFaultAt> &faults)
{
    std::string text;
    for (const auto &fault : faults) {
        text += std::string(model::nameOf(fault.fault));
        if (strikesVm(fault.fault))
            text += " vm" + std::to_string(fault.vm);
        text += " at " + std::to_string(fault.tick) + "; ";
    }
    return text;
}

} // namespace sassafrasferry::scheduling::tests
