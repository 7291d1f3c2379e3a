// Keeps VMs as places of waiting tasks in their pools, and brings such VMs from other pools.
#include "fleet_round.h"

#include <algorithm>

namespace sassafrasferry::scheduling {

namespace {

// From an accepted order until the VM's new worker is expected to take work.
constexpr Duration arrivalTime = std::chrono::seconds(5);

std::vector<std::string> labelsOf(const Vm &vm)
{
    return {vm.kind, vm.rack};
}

} // namespace

void FleetPlanner::keepPlaces(const std::string &service, Pool &pool,
                              const std::vector<PlaceNeed> &waiting, Round &round)
{
    if (waiting.empty() || !round.scheduler.mechanisms().has(Mechanism::TaskPlaces))
        return;
    auto choice = choosePlaces(waiting, round.scheduler.places(service, round.now));
    round.keptVms.insert(choice.kept.begin(), choice.kept.end());
    pool.unplaced = std::move(choice.unplaced);
}

// Number of tasks of the need that the VMs take which are on their way to the pool.
std::size_t FleetPlanner::tasksOnArrivals(const PlaceNeed &need, const std::string &pool,
                                          const Round &round) const
{
    std::size_t tasks = 0;
    for (const auto &item : this->vms) {
        const auto &entry = item.second;
        const bool isOrdered = entry.orderInProgress && entry.orderInProgress->pool == pool;
        const auto worker = round.workers.find(item.first);
        const bool hasArrived = worker != round.workers.end() && worker->second->hasReported
                                && worker->second->listing.service == pool;
        const bool isArriving = !hasArrived && entry.vm.pool == pool
                                && entry.vmChangedAt != Instant{}
                                && round.now - entry.vmChangedAt < arrivalTime;
        if (isOrdered || isArriving)
            tasks += tasksThatFit(need, entry.vm.capacity, labelsOf(entry.vm));
    }
    return tasks;
}

// Empty VMs on which tasks of the need have room: those of standby pools, then what other pools
// have beyond their own need; small ones first.
std::vector<FleetPlanner::Entry *>
FleetPlanner::placesElsewhere(const PlaceNeed &need, const std::string &target, Round &round)
{
    std::vector<Entry *> found;
    for (auto &item : round.pools) {
        auto &pool = item.second;
        if (item.first == target)
            continue;
        const auto desired = pool.standby ? 0 : pool.need.desired;
        auto spare = pool.count > desired ? pool.count - desired : 0;
        for (auto *vm : pool.upVms) {
            const bool mayGo =
                vm->vm.pool == item.first && this->isMovable(*vm, round)
                && this->impossibleMoves.count(vm->vm.kind + " " + target) == 0
                && (!pool.standby || round.awaitingMaintenance.count(vm->vm.name) == 0);
            if (spare == 0 || !mayGo || tasksThatFit(need, vm->vm.capacity, labelsOf(vm->vm)) == 0)
                continue;
            found.push_back(vm);
            --spare;
        }
    }
    const auto rank = [&](const Entry *entry) {
        return std::make_tuple(!round.pools[entry->vm.pool].standby, entry->vm.capacity.cpu,
                               entry->vm.capacity.memory, entry->vm.name);
    };
    std::sort(found.begin(), found.end(),
              [&](const Entry *a, const Entry *b) { return rank(a) < rank(b); });
    return found;
}

// A need that can't be met by all of these VMs together moves none of them.
void FleetPlanner::movePlaces(Round &round)
{
    if (!round.scheduler.mechanisms().has(Mechanism::Moves))
        return;
    for (auto &item : round.pools) {
        for (const auto &unplaced : item.second.unplaced) {
            const auto &need = unplaced.need;
            const auto arriving = this->tasksOnArrivals(need, item.first, round);
            auto lacking = unplaced.lacking - std::min(unplaced.lacking, arriving);
            std::vector<Entry *> chosen;
            for (auto *vm : this->placesElsewhere(need, item.first, round)) {
                if (lacking == 0)
                    break;
                chosen.push_back(vm);
                lacking -= std::min(lacking, tasksThatFit(need, vm->vm.capacity, labelsOf(vm->vm)));
            }
            const bool exceedsRound =
                round.orders.size() + chosen.size() > this->options.maxOrdersPerRound;
            if (lacking > 0 || exceedsRound)
                continue;
            for (auto *vm : chosen) {
                --round.pools[vm->vm.pool].count;
                ++item.second.count;
                this->issueOrder(*vm, {FleetAction::Move, vm->vm.name, item.first, 0}, round);
            }
        }
    }
}

} // namespace sassafrasferry::scheduling
