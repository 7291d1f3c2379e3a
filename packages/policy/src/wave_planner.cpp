// Planning of waves.
#include <sassafrasferry/policy/wave_planner.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace sassafrasferry::policy {

namespace {

bool isOut(const WaveVm &vm)
{
    return vm.state != WaveVmState::Pending && vm.state != WaveVmState::Done;
}

bool isPlanned(const WaveVm &vm)
{
    return vm.state == WaveVmState::Draining || vm.state == WaveVmState::InMaintenance;
}

std::size_t count(const WavePool &pool, bool (*matches)(const WaveVm &))
{
    return static_cast<std::size_t>(std::count_if(pool.vms.begin(), pool.vms.end(), matches));
}

// Pending VMs, in the order in which they go: first those that share a rack with what is out.
std::vector<const WaveVm *> pendingInOrder(const WavePool &pool)
{
    std::vector<const WaveVm *> pending;
    for (const auto &vm : pool.vms) {
        if (vm.state == WaveVmState::Pending)
            pending.push_back(&vm);
    }
    const auto sharesRack = [&](const WaveVm &vm) {
        return std::any_of(pool.vms.begin(), pool.vms.end(), [&](const WaveVm &other) {
            return isPlanned(other) && other.rack == vm.rack;
        });
    };
    std::stable_sort(pending.begin(), pending.end(), [&](const WaveVm *a, const WaveVm *b) {
        return std::make_tuple(!sharesRack(*a), a->dataCentre, a->rack, a->name)
               < std::make_tuple(!sharesRack(*b), b->dataCentre, b->rack, b->name);
    });
    return pending;
}

// The most VMs in service that one rack holds, other than the rack of `next`.
std::size_t largestOtherRack(const WavePool &pool, const WaveVm &next)
{
    std::map<std::string, std::size_t> inService;
    std::size_t largest = 0;
    for (const auto &vm : pool.vms) {
        if (!isOut(vm) && vm.rack != next.rack)
            largest = std::max(largest, ++inService[vm.rack]);
    }
    return largest;
}

} // namespace

WaveStep planWave(const WavePool &pool)
{
    const auto backFailing =
        count(pool, [](const WaveVm &vm) { return vm.state == WaveVmState::BackFailing; });
    if (backFailing >= pool.haltAfter)
        return {WaveVerdict::Halted, std::to_string(backFailing) + " VMs came back failing", {}};
    const auto pending = pendingInOrder(pool);
    const auto planned = count(pool, isPlanned);
    const auto lent = count(pool, [](const WaveVm &vm) { return vm.state == WaveVmState::Lent; });
    if (pending.empty() && planned == 0 && lent > 0)
        return {WaveVerdict::Wait, std::to_string(lent) + " VMs are lent to other pools", {}};
    if (pending.empty())
        return planned == 0 ? WaveStep{WaveVerdict::Finished, "every VM has been maintained", {}}
                            : WaveStep{WaveVerdict::Wait, "the last VMs are out", {}};
    const auto budget = budgetOf(pool.vms.size(), pool.availability, pool.borrowed);
    const auto limit = budget.mayBeOut();
    if (limit == 0)
        return {WaveVerdict::NeedsSpare, "the budget allows no VM out", {}};
    WaveStep step{WaveVerdict::Wait, "", {}};
    auto out = count(pool, isOut);
    for (const auto *vm : pending) {
        if (out + 1 > limit) {
            step.reason = std::to_string(out) + " of " + std::to_string(limit)
                          + " VMs that the budget allows are out";
            break;
        }
        const auto reserve = largestOtherRack(pool, *vm);
        const bool hasReserve = out + 1 + reserve <= limit;
        if (!hasReserve && planned + step.drain.size() > 0) {
            step.reason = "the rest of the budget is kept for the loss of a rack";
            break;
        }
        step.drain.push_back(vm->name);
        ++out;
    }
    if (!step.drain.empty()) {
        step.verdict = WaveVerdict::Drain;
        step.reason = std::to_string(out) + " of " + std::to_string(limit) + " VMs out";
    }
    return step;
}

std::size_t chooseBorrowed(const AvailabilityBudget &budget, std::size_t spareFree,
                           Duration maintenance, const FleetWeights &weights)
{
    constexpr double secondsInHour = 3600;
    const double hours = seconds(maintenance) / secondsInHour;
    std::size_t best = 0;
    double bestCost = -1;
    for (std::size_t borrowed = 0; borrowed <= spareFree; ++borrowed) {
        const auto atOnce = budget.mayBeOut() + borrowed;
        if (atOnce == 0)
            continue;
        const std::size_t rounds = (budget.members + atOnce - 1) / atOnce;
        const double rollOut = static_cast<double>(rounds) * hours;
        const auto lent = static_cast<double>(borrowed);
        const double cost = weights.rollOutHour * rollOut + weights.bufferHour * lent * rollOut
                            + weights.move * 2 * lent;
        if (bestCost < 0 || cost < bestCost) {
            best = borrowed;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace sassafrasferry::policy
