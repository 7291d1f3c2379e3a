// Which VMs of a pool a maintenance wave drains next, and why it waits or halts.
#pragma once

#include <sassafrasferry/model/document.h>
#include <sassafrasferry/model/names.h>
#include <sassafrasferry/policy/availability_budget.h>
#include <sassafrasferry/policy/time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace sassafrasferry::policy {

/// Where a VM stands in a wave.
enum class WaveVmState {
    Pending, ///< in service, not maintained yet
    Draining, ///< gets no new work, finishes what it has
    InMaintenance, ///< empty, and being maintained
    Done, ///< back in service
    BackFailing, ///< came back and failed its check
    Failed, ///< out of service, and not by the wave
    Lent, ///< serves in another pool, or is on its way there or back
};

constexpr auto enumNames(WaveVmState)
{
    using model::EnumName;
    return std::array{EnumName{WaveVmState::Pending, "pending"},
                      EnumName{WaveVmState::Draining, "draining"},
                      EnumName{WaveVmState::InMaintenance, "in-maintenance"},
                      EnumName{WaveVmState::Done, "done"},
                      EnumName{WaveVmState::BackFailing, "back-failing"},
                      EnumName{WaveVmState::Failed, "failed"},
                      EnumName{WaveVmState::Lent, "lent"}};
}

/// A VM in a wave.
struct WaveVm
{
    std::string name;
    std::string dataCentre;
    std::string rack;
    WaveVmState state = WaveVmState::Pending;
};

/// A pool in a wave.
struct WavePool
{
    std::string name;
    double availability = 0.75; ///< the highest that its services promise
    std::size_t borrowed = 0; ///< VMs of a spare pool that serve here
    std::size_t haltAfter = 2; ///< VMs that may come back failing
    std::vector<WaveVm> vms;
};

/// Whether a wave goes on.
enum class WaveVerdict {
    Drain, ///< drain the VMs named
    Wait, ///< nothing now, for the reason named
    NeedsSpare, ///< the budget allows nothing out: borrow a VM first
    Halted, ///< too many VMs came back failing: an operator must look
    Finished,
};

constexpr auto enumNames(WaveVerdict)
{
    using model::EnumName;
    return std::array{EnumName{WaveVerdict::Drain, "drain"}, EnumName{WaveVerdict::Wait, "wait"},
                      EnumName{WaveVerdict::NeedsSpare, "needs-spare"},
                      EnumName{WaveVerdict::Halted, "halted"},
                      EnumName{WaveVerdict::Finished, "finished"}};
}

/// What to do next, and why.
struct WaveStep
{
    WaveVerdict verdict = WaveVerdict::Wait;
    std::string reason; ///< for the log line and the operator
    std::vector<std::string> drain;
};

/// The next step of a wave in one pool.
///
/// VMs go out data centre by data centre and rack by rack, so that those out at once share a rack.
/// As long as the budget allows, it keeps room for one more rack to be lost meanwhile; where a
/// rack is larger than the budget, one VM at a time still goes, since that loss would break the
/// budget with or without the wave.
WaveStep planWave(const WavePool &pool);

using model::FleetWeights;

/// How many VMs to borrow for a wave, of `spareFree`: the number with the least weighted cost.
std::size_t chooseBorrowed(const AvailabilityBudget &budget, std::size_t spareFree,
                           Duration maintenance, const FleetWeights &weights);

} // namespace sassafrasferry::policy
