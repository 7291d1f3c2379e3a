// Scheduling mechanisms that can be disabled in the settings, to measure the benefit of each.
#pragma once

#include <sassafrasferry/model/names.h>

#include <bitset>

namespace sassafrasferry::scheduling {

enum class Mechanism {
    LateLast, ///< work that can't be on time any more runs after all other work
    OnTimeSelection, ///< work beyond what can be done on time runs after all other on-time work
    LateSelection, ///< late work that can't end while it is of use runs after all other work
    LearnedTimes, ///< jobs are ordered by learned run times instead of their estimates
    LearnedSizes, ///< pools are sized by learned run times instead of estimates
    Moves, ///< VMs are moved to the pools that need them
    PoolShares, ///< pools that together need more VMs than there are keep shares of them
    EmptySoonest, ///< of the VMs that are to leave a pool, those that are empty soonest go first
    SurgeSlope, ///< a surge is seen from the jobs of its first tenth of a second
    Standby, ///< VMs that no pool needs are moved to the standby pool
    OnTimeMoves, ///< VMs go to pools with on-time work before pools with late work
    PeakMemory, ///< a pool keeps its VMs for a short time after a peak
    SpareVm, ///< a pool has one VM more than its long-running tasks need
    Cordon, ///< VMs that are to leave a pool receive no new work
    TaskPlaces, ///< a pool keeps the VMs on which its waiting tasks have room
    NearWait, ///< tasks wait for a worker on the rack of their data while that pays
    Reservation, ///< VMs are kept free for long-running tasks that found no room
    BestFit, ///< tasks go to the fullest VM that has room for them
    RackSpread, ///< long-running tasks are spread over racks
    FailingBackOff, ///< a VM on which most runs fail receives no runs for a while
};

constexpr auto enumNames(Mechanism)
{
    return std::array{
        model::EnumName{Mechanism::LateLast, "late-last"},
        model::EnumName{Mechanism::OnTimeSelection, "on-time-selection"},
        model::EnumName{Mechanism::LateSelection, "late-selection"},
        model::EnumName{Mechanism::LearnedTimes, "learned-times"},
        model::EnumName{Mechanism::LearnedSizes, "learned-sizes"},
        model::EnumName{Mechanism::Moves, "moves"},
        model::EnumName{Mechanism::PoolShares, "pool-shares"},
        model::EnumName{Mechanism::EmptySoonest, "empty-soonest"},
        model::EnumName{Mechanism::SurgeSlope, "surge-slope"},
        model::EnumName{Mechanism::Standby, "standby"},
        model::EnumName{Mechanism::OnTimeMoves, "on-time-moves"},
        model::EnumName{Mechanism::PeakMemory, "peak-memory"},
        model::EnumName{Mechanism::SpareVm, "spare-vm"},
        model::EnumName{Mechanism::Cordon, "cordon"},
        model::EnumName{Mechanism::TaskPlaces, "task-places"},
        model::EnumName{Mechanism::NearWait, "near-wait"},
        model::EnumName{Mechanism::Reservation, "reservation"},
        model::EnumName{Mechanism::BestFit, "best-fit"},
        model::EnumName{Mechanism::RackSpread, "rack-spread"},
        model::EnumName{Mechanism::FailingBackOff, "failing-back-off"},
    };
}

/// The enabled mechanisms: all except those that were switched off.
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
