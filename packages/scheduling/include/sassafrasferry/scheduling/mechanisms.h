// Mechanisms of the decisions that settings can switch off, to find
// what each one is worth.
#pragma once

#include <sassafrasferry/model/names.h>

#include <bitset>

namespace sassafrasferry::scheduling {

enum class Mechanism {
    LateLast, ///< work that can't be on time any more comes behind all other work
    LearnedTimes, ///< run times are learned, for the order of jobs
    LearnedSizes, ///< run times are learned, for the sizes of pools
    Moves, ///< VMs move to the pools that need them
    Standby, ///< VMs that no pool needs are moved to the standby pool
    OnTimeMoves, ///< pools with on-time work are served before those with late work
    PeakMemory, ///< a pool keeps its VMs for a moment after a peak
    SpareVm, ///< a pool has one VM more than its lasting work needs
    Cordon, ///< VMs that are to leave a pool get no new work
    Reservation, ///< VMs are kept free for lasting tasks that found no room
    BestFit, ///< tasks go to the fullest VM that has room
    RackSpread, ///< lasting tasks are spread over racks
    FailingBackOff, ///< a VM that fails most of its runs gets none for a while
};

constexpr auto enumNames(Mechanism)
{
    return std::array{
        model::EnumName{Mechanism::LateLast, "late-last"},
        model::EnumName{Mechanism::LearnedTimes, "learned-times"},
        model::EnumName{Mechanism::LearnedSizes, "learned-sizes"},
        model::EnumName{Mechanism::Moves, "moves"},
        model::EnumName{Mechanism::Standby, "standby"},
        model::EnumName{Mechanism::OnTimeMoves, "on-time-moves"},
        model::EnumName{Mechanism::PeakMemory, "peak-memory"},
        model::EnumName{Mechanism::SpareVm, "spare-vm"},
        model::EnumName{Mechanism::Cordon, "cordon"},
        model::EnumName{Mechanism::Reservation, "reservation"},
        model::EnumName{Mechanism::BestFit, "best-fit"},
        model::EnumName{Mechanism::RackSpread, "rack-spread"},
        model::EnumName{Mechanism::FailingBackOff, "failing-back-off"},
    };
}

/// All mechanisms but those that were switched off.
class MechanismSet
{
public:
    void switchOff(Mechanism mechanism)
    {
        this->off.set(static_cast<std::size_t>(mechanism));
    }

    bool has(Mechanism mechanism) const
    {
        return !this->off.test(static_cast<std::size_t>(mechanism));
    }

private:
    std::bitset<enumNames(Mechanism{}).size()> off;
};

} // namespace sassafrasferry::scheduling
