// Moves of VMs between pools by need, and the handling of answers to orders.
#include "fleet_round.h"

#include <sassafrasferry/scheduling/cordon.h>
#include <sassafrasferry/scheduling/pool_division.h>

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::scheduling {

FleetPlanner::FleetPlanner(FleetPlannerOptions options)
    : options(options)
    , sizing(options.sizing)
{}

void FleetPlanner::updateVms(const std::vector<Vm> &list, Instant askedAt)
{
    for (auto &entry : this->vms)
        entry.second.listed = false;
    for (const auto &vm : list) {
        auto &entry = this->vms[vm.name];
        entry.listed = true;
        if (entry.vmChangedAt <= askedAt)
            entry.vm = vm;
    }
    this->countAbsences(askedAt);
}

void FleetPlanner::deferOrders(const std::string &vm, Instant until)
{
    auto &entry = this->vms[vm];
    entry.vm.name = vm;
    entry.noOrderBefore = until;
    entry.listed = false; // until the platform's list contains it
}

std::vector<DecisionNote> FleetPlanner::takeNotes()
{
    return std::exchange(this->notes, {});
}

bool FleetPlanner::hasPendingChanges() const
{
    return std::any_of(this->vms.begin(), this->vms.end(), [](const auto &entry) {
        return entry.second.vm.state != VmState::Up || entry.second.orderInProgress;
    });
}

bool FleetPlanner::canReceiveOrder(const Entry &entry, const Round &round) const
{
    return entry.listed && entry.vm.state == VmState::Up && !entry.orderInProgress
           && !entry.unansweredOrder && round.now >= entry.noOrderBefore;
}

// A VM of a standby pool has no worker, but the list that shows it there may be out of date, so
// that the scheduler is asked in any case.
bool FleetPlanner::isEmpty(const Entry &entry, const Round &round) const
{
    if (!round.scheduler.isVmEmpty(entry.vm.name, round.now))
        return false;
    const auto pool = round.pools.find(entry.vm.pool);
    const bool isStandby = pool != round.pools.end() && pool->second.standby;
    return isStandby || round.workers.count(entry.vm.name) != 0;
}

// A worker that registered for another pool results from a move that the platform's list does not
// show yet. An order based on that list could repeat one that was already executed.
bool FleetPlanner::isMovable(const Entry &entry, const Round &round) const
{
    const auto worker = round.workers.find(entry.vm.name);
    const bool isWhereListed =
        worker == round.workers.end() || worker->second->listing.service == entry.vm.pool;
    return isWhereListed && round.keptVms.count(entry.vm.name) == 0 && this->isEmpty(entry, round)
           && this->canReceiveOrder(entry, round) && entry.evacuatingForWave == 0;
}

std::vector<FleetOrder> FleetPlanner::plan(Scheduler &scheduler, Instant now,
                                           UnixMilliseconds unixNow)
{
    Round round{scheduler, now, unixNow, {}, {}, {}, {}, {}};
    for (const auto &entry : this->vms) {
        if (auto *worker = scheduler.workerOf(entry.first))
            round.workers[entry.first] = worker;
    }
    for (auto &entry : this->vms) {
        auto &pool = round.pools[entry.second.vm.pool];
        if (!entry.second.listed)
            continue;
        // The new incarnation has registered, so the move or the maintenance has finished.
        const auto worker = round.workers.find(entry.first);
        if (worker != round.workers.end() && worker->second->hasReported
            && !entry.second.orderInProgress && entry.second.vm.state != VmState::Up
            && worker->second->listing.service == entry.second.vm.pool)
            entry.second.vm.state = VmState::Up;
        // A VM that is evacuated for a wave takes no new work, so it adds no capacity to its pool.
        const bool isEvacuating = entry.second.evacuatingForWave != 0;
        if (entry.second.vm.state != VmState::Down && !isEvacuating)
            ++pool.count;
        if (entry.second.vm.state == VmState::Up)
            pool.upVms.push_back(&entry.second);
    }
    for (auto &entry : this->waveTable) {
        for (const auto &vm : entry.second.wave.vms) {
            if (!entry.second.completed && entry.second.done.count(vm) == 0)
                round.awaitingMaintenance.insert(vm);
        }
    }
    for (const auto &worker : round.workers)
        worker.second->hasPendingMaintenance = round.awaitingMaintenance.count(worker.first) != 0;
    this->computeNeeds(round);
    this->repeatUnansweredOrders(round);
    for (auto &entry : this->waveTable)
        this->planWave(entry.second, round);
    this->moveVmsByNeed(round);
    this->movePlaces(round);
    this->moveSurplusToStandby(round);
    this->cordonVms(round);
    return std::move(round.orders);
}

void FleetPlanner::computeNeeds(Round &round)
{
    this->sizing.recordArrivals(round.scheduler.takeArrivals(), round.now);
    for (const auto &service : round.scheduler.configuration().services)
        round.pools[service.name].standby = service.standby;
    const auto loads = round.scheduler.loads(round.now, round.unixNow);
    for (auto &entry : round.pools) {
        auto &pool = entry.second;
        const auto at = loads.find(entry.first);
        if (pool.standby || at == loads.end())
            continue;
        double vmCores = 0;
        for (const auto *vm : pool.upVms)
            vmCores = std::max(vmCores, static_cast<double>(vm->vm.capacity.cpu) / 1000);
        pool.need =
            this->sizing.computeNeed(entry.first, at->second, vmCores, pool.count, round.now);
        this->keepPlaces(entry.first, pool, at->second.waiting, round);
    }
    if (round.scheduler.mechanisms().has(Mechanism::PoolShares))
        this->divideShortPools(round);
}

void FleetPlanner::divideShortPools(Round &round)
{
    std::vector<PoolClaim> claims;
    std::vector<Pool *> pools;
    std::size_t vmCount = 0;
    for (auto &entry : round.pools) {
        auto &pool = entry.second;
        vmCount += pool.count;
        if (pool.standby)
            continue;
        pools.push_back(&pool);
        claims.push_back({pool.count, pool.need.floor, pool.need.onTime});
    }
    const auto kept = dividePools(claims, vmCount);
    for (std::size_t i = 0; i < pools.size(); ++i) {
        auto &need = pools[i]->need;
        if (kept[i] < need.onTime)
            need.minimum = std::min(need.minimum, kept[i]);
    }
}

void FleetPlanner::issueOrder(Entry &entry, FleetOrder order, Round &round)
{
    entry.orderInProgress = order;
    round.scheduler.holdVm(entry.vm.name);
    const auto at = round.workers.find(entry.vm.name);
    if (at != round.workers.end())
        at->second->evacuating = true;
    if (!entry.unansweredOrder)
        entry.workerToEnd = at != round.workers.end() ? at->second->listing.id : "";
    this->notes.push_back({order.action == FleetAction::Move ? "move" : "maintain", entry.vm.name,
                           absl::StrCat("from=", entry.vm.pool, " to=", order.pool,
                                        " wave=", order.wave, " worker=", entry.workerToEnd)});
    round.orders.push_back(std::move(order));
}

// Finds an empty VM that its pool can give up now: from a standby pool if possible, else from a
// pool with a surplus, else from one with more than its minimum.
FleetPlanner::Entry *FleetPlanner::findSpareVm(const std::string &target,
                                               std::size_t PoolNeed::*minimum, Round &round)
{
    Entry *best = nullptr;
    int bestRank = 0;
    for (auto &entry : round.pools) {
        auto &pool = entry.second;
        if (entry.first == target || (!pool.standby && pool.count <= pool.need.*minimum))
            continue;
        const bool isSurplus = pool.count > pool.need.desired;
        const int rank = pool.standby ? 3 : isSurplus ? 2 : 1;
        if (rank <= bestRank)
            continue;
        for (auto *vm : pool.upVms) {
            if (!this->isMovable(*vm, round) || vm->vm.pool != entry.first
                || this->impossibleMoves.count(vm->vm.kind + " " + target) != 0)
                continue;
            // A VM of a standby pool that awaits maintenance stays there until it was maintained.
            if (pool.standby && round.awaitingMaintenance.count(vm->vm.name) != 0)
                continue;
            best = vm;
            bestRank = rank;
            break;
        }
    }
    return best;
}

// Work that is already late gets the VMs that remain after on-time work was served. It has the
// largest shortage just when other work is about to become late, and would take all VMs otherwise.
void FleetPlanner::moveVmsByNeed(Round &round)
{
    const auto &mechanisms = round.scheduler.mechanisms();
    if (!mechanisms.has(Mechanism::Moves))
        return;
    if (mechanisms.has(Mechanism::OnTimeMoves))
        this->coverShortages(&PoolNeed::onTime, &PoolNeed::minimum, round);
    this->coverShortages(&PoolNeed::desired, &PoolNeed::desired, round);
}

void FleetPlanner::coverShortages(std::size_t PoolNeed::*desired, std::size_t PoolNeed::*minimum,
                                  Round &round)
{
    struct Need
    {
        std::string pool;
        std::size_t missing;
    };
    std::vector<Need> needs;
    for (const auto &entry : round.pools) {
        const auto &pool = entry.second;
        if (!pool.standby && pool.need.*desired > pool.count)
            needs.push_back({entry.first, pool.need.*desired - pool.count});
    }
    std::sort(needs.begin(), needs.end(),
              [](const Need &a, const Need &b) { return a.missing > b.missing; });
    for (const auto &need : needs) {
        for (std::size_t i = 0; i < need.missing; ++i) {
            if (round.orders.size() >= this->options.maxOrdersPerRound)
                return;
            auto *vm = this->findSpareVm(need.pool, minimum, round);
            if (!vm)
                return;
            --round.pools[vm->vm.pool].count;
            ++round.pools[need.pool].count;
            this->issueOrder(*vm, {FleetAction::Move, vm->vm.name, need.pool, 0}, round);
        }
    }
}

void FleetPlanner::cordonVms(Round &round)
{
    if (!round.scheduler.mechanisms().has(Mechanism::Cordon))
        return;
    const bool seesEnds = round.scheduler.mechanisms().has(Mechanism::EmptySoonest);
    std::size_t missing = 0;
    std::vector<CordonPool> pools;
    for (const auto &entry : round.pools) {
        const auto &pool = entry.second;
        if (pool.standby)
            continue;
        const auto above = [&](std::size_t need) {
            return pool.count > need ? pool.count - need : 0;
        };
        missing += pool.need.onTime > pool.count ? pool.need.onTime - pool.count : 0;
        CordonPool cordonPool{above(pool.need.desired), above(pool.need.minimum), {}};
        for (const auto *vm : pool.upVms) {
            const auto at = round.workers.find(vm->vm.name);
            if (at == round.workers.end() || vm->orderInProgress || vm->evacuatingForWave != 0
                || round.keptVms.count(vm->vm.name) != 0
                || round.scheduler.hasLastingRuns(*at->second))
                continue;
            cordonPool.candidates.push_back(
                {vm->vm.name, at->second->used.cpu,
                 seesEnds ? round.scheduler.expectedEmptyAt(*at->second) : Instant{},
                 at->second->cordoned});
        }
        pools.push_back(std::move(cordonPool));
    }
    const auto chosen = chooseCordons(std::move(pools), missing);
    for (const auto &entry : round.workers)
        entry.second->cordoned = chosen.count(entry.first) != 0;
}

// VMs of a standby pool cost nothing, so surplus VMs are moved there.
void FleetPlanner::moveSurplusToStandby(Round &round)
{
    const auto standby = std::find_if(round.pools.begin(), round.pools.end(),
                                      [](const auto &entry) { return entry.second.standby; });
    const bool isEnabled = round.scheduler.mechanisms().has(Mechanism::Standby);
    if (standby == round.pools.end() || !isEnabled)
        return;
    for (auto &entry : round.pools) {
        auto &pool = entry.second;
        if (pool.standby)
            continue;
        for (auto *vm : pool.upVms) {
            if (pool.count <= pool.need.desired
                || round.orders.size() >= this->options.maxOrdersPerRound)
                break;
            if (!this->isMovable(*vm, round)
                || this->impossibleMoves.count(vm->vm.kind + " " + standby->first) != 0)
                continue;
            --pool.count;
            this->issueOrder(*vm, {FleetAction::Move, vm->vm.name, standby->first, 0}, round);
        }
    }
}

void FleetPlanner::handleAnswer(const FleetOrder &order, FleetAnswer answer, Scheduler &scheduler,
                                Instant now)
{
    auto &entry = this->vms[order.vm];
    entry.orderInProgress.reset();
    const bool isMove = order.action == FleetAction::Move;
    if (answer != FleetAnswer::Accepted)
        this->notes.push_back({"fleet-refused", order.vm,
                               absl::StrCat("pool=", order.pool, " wave=", order.wave,
                                            " why=", std::string(model::nameOf(answer)))});
    const auto *incarnation = scheduler.workerOf(order.vm);
    const auto worker = incarnation ? incarnation->listing.id : std::string();
    if (answer == FleetAnswer::Accepted) {
        this->settleOrder(entry, scheduler);
        entry.vm.state = isMove ? VmState::Moving : VmState::Maintenance;
        entry.vmChangedAt = now;
        entry.evacuatingForWave = 0;
        if (isMove)
            entry.vm.pool = order.pool;
        // A repeated order may have been executed on its first call. The current worker then
        // started afterwards, so only the incarnation from before the first call is ended.
        if (!entry.workerToEnd.empty())
            scheduler.retireWorker(entry.workerToEnd, EndEvidence::VmOrder, now);
        if (!worker.empty())
            scheduler.cancelEvacuation(worker);
    } else {
        entry.noOrderBefore = now + this->options.retryDelay;
        // A refusal of a repeated call does not tell whether an earlier call was executed.
        const bool mayStillBeExecuted =
            answer == FleetAnswer::NoAnswer
            || (answer == FleetAnswer::Refused && entry.unansweredOrder);
        if (mayStillBeExecuted) {
            entry.unansweredOrder = order;
            entry.isAdopted &= answer != FleetAnswer::NoAnswer;
            return;
        }
        this->settleOrder(entry, scheduler);
        if (entry.evacuatingForWave == 0 && !worker.empty())
            scheduler.cancelEvacuation(worker);
    }
    if (isMove) {
        if (answer == FleetAnswer::Impossible)
            this->impossibleMoves.insert(entry.vm.kind + " " + order.pool);
        return;
    }
    const auto at = this->waveTable.find(order.wave);
    const bool isSettled = answer == FleetAnswer::Accepted || answer == FleetAnswer::NotInWave
                           || answer == FleetAnswer::Impossible;
    if (at != this->waveTable.end() && isSettled) {
        at->second.done.insert(order.vm);
        ++at->second.changes;
        entry.evacuatingForWave = 0;
        if (answer != FleetAnswer::Accepted && !worker.empty())
            scheduler.cancelEvacuation(worker);
    }
}

} // namespace sassafrasferry::scheduling
