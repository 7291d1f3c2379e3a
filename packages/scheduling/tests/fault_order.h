// Faults of which each strikes at a moment that a test sets.
#pragma once

#include <sassafrasferry/model/names.h>

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace sassafrasferry::scheduling::tests {

enum class OrderFault {
    WorkerRestarts, ///< at once, under its id
    WorkerRestartsUnnoticed, ///< the same, and its new entry is late
    WorkerDark, ///< dies, and returns under its id after seconds
    WorkerCut, ///< reached by nobody, and runs on
    HoldsDelayed, ///< the leader is busy, and asks no worker for a moment
    StartLate, ///< the next start is carried out late, without an answer
    StartUnanswered, ///< the next start is carried out, and its answer is lost
    StopLate,
    VmOrderUnanswered, ///< the next order about a VM is carried out, and its answer is lost
    LeaderDies,
    LeaderLosesStore, ///< another leads, and this one goes on ordering for a while
    LeaderCannotWrite, ///< the same, but it goes on reading the store
};

constexpr auto enumNames(OrderFault)
{
    return std::array{
        model::EnumName{OrderFault::WorkerRestarts, "worker restarts"},
        model::EnumName{OrderFault::WorkerRestartsUnnoticed, "worker restarts unnoticed"},
        model::EnumName{OrderFault::WorkerDark, "worker dark"},
        model::EnumName{OrderFault::WorkerCut, "worker cut"},
        model::EnumName{OrderFault::HoldsDelayed, "holds delayed"},
        model::EnumName{OrderFault::StartLate, "start late"},
        model::EnumName{OrderFault::StartUnanswered, "start unanswered"},
        model::EnumName{OrderFault::StopLate, "stop late"},
        model::EnumName{OrderFault::VmOrderUnanswered, "VM order unanswered"},
        model::EnumName{OrderFault::LeaderDies, "leader dies"},
        model::EnumName{OrderFault::LeaderLosesStore, "leader loses store"},
        model::EnumName{OrderFault::LeaderCannotWrite, "leader cannot write"},
    };
}

constexpr bool strikesVm(OrderFault fault)
{
    return fault <= OrderFault::WorkerCut;
}

struct FaultAt
{
    OrderFault fault = OrderFault::WorkerRestarts;
    int tick = 0; ///< when it strikes
    std::size_t vm = 0; ///< which it strikes, if it strikes one
};

inline std::string toString(const std::vector<FaultAt> &faults)
{
    std::string text;
    for (const auto &fault : faults)
        text += std::string(model::nameOf(fault.fault)) + " vm" + std::to_string(fault.vm) + " at "
                + std::to_string(fault.tick) + "; ";
    return text;
}

} // namespace sassafrasferry::scheduling::tests
