// Moves of VMs by need, and the answers to orders.
#include "fleet_round.h"

#include <sassafrasferry/scheduling/cordon.h>

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::scheduling {

FleetPlanner::FleetPlanner(FleetTerms terms)
    : terms(terms)
    , sizing(terms.sizing)
{}

void FleetPlanner::listVms(const std::vector<Vm> &list, Instant askedAt)
{
    for (auto &entry : this->vms)
        entry.second.listed = false;
    for (const auto &vm : list) {
        auto &entry = this->vms[vm.name];
        entry.listed = true;
        if (entry.changedAt <= askedAt)
            entry.vm = vm;
    }
}

void FleetPlanner::defer(const std::string &vm, Instant until)
{
    auto &entry = this->vms[vm];
    entry.vm.name = vm;
    entry.waitUntil = until;
    entry.listed = false; // until the platform's list names it
}

std::vector<DecisionNote> FleetPlanner::takeNotes()
{
    return std::exchange(this->notes, {});
}

bool FleetPlanner::isBusy() const
{
    return std::any_of(this->vms.begin(), this->vms.end(), [](const auto &entry) {
        return entry.second.vm.state != VmState::Up || entry.second.ordered;
    });
}

bool FleetPlanner::isFree(const Entry &entry, const Round &round) const
{
    return entry.listed && entry.vm.state == VmState::Up && !entry.ordered && !entry.unanswered
           && round.now >= entry.waitUntil;
}

// A VM of a standby pool has no worker; but the list that has it there may be behind.
bool FleetPlanner::isEmpty(const Entry &entry, const Round &round) const
{
    if (!round.scheduler.isVmEmpty(entry.vm.name, round.now))
        return false;
    const auto pool = round.pools.find(entry.vm.pool);
    const bool isStandby = pool != round.pools.end() && pool->second.standby;
    return isStandby || round.workers.count(entry.vm.name) != 0;
}

// A worker that lists itself for another pool came with a move that the platform's list does not
// tell of yet. An order by that list could be one that is carried out already.
bool FleetPlanner::mayMove(const Entry &entry, const Round &round) const
{
    const auto worker = round.workers.find(entry.vm.name);
    const bool isWhereListed =
        worker == round.workers.end() || worker->second->listing.service == entry.vm.pool;
    return isWhereListed && this->isEmpty(entry, round) && this->isFree(entry, round)
           && entry.leavingFor == 0;
}

std::vector<FleetOrder> FleetPlanner::plan(Scheduler &scheduler, Instant now,
                                           UnixMilliseconds unixNow)
{
    Round round{scheduler, now, unixNow, {}, {}, {}, {}};
    for (const auto &entry : this->vms) {
        if (auto *worker = scheduler.workerOf(entry.first))
            round.workers[entry.first] = worker;
    }
    for (auto &entry : this->vms) {
        auto &pool = round.pools[entry.second.vm.pool];
        if (!entry.second.listed)
            continue;
        // Its new incarnation has listed itself: the move or the maintenance is over.
        const auto worker = round.workers.find(entry.first);
        if (worker != round.workers.end() && worker->second->surveyed && !entry.second.ordered
            && entry.second.vm.state != VmState::Up
            && worker->second->listing.service == entry.second.vm.pool)
            entry.second.vm.state = VmState::Up;
        // One that is emptied for a wave gives its pool no room any more.
        const bool isLeaving = entry.second.leavingFor != 0;
        if (entry.second.vm.state != VmState::Down && !isLeaving)
            ++pool.count;
        if (entry.second.vm.state == VmState::Up)
            pool.up.push_back(&entry.second);
    }
    for (auto &entry : this->waveTable) {
        for (const auto &vm : entry.second.wave.vms) {
            if (!entry.second.completed && entry.second.done.count(vm) == 0)
                round.waiting.insert(vm);
        }
    }
    for (const auto &worker : round.workers)
        worker.second->leavingSoon = round.waiting.count(worker.first) != 0;
    this->measure(round);
    this->repeatUnanswered(round);
    for (auto &entry : this->waveTable)
        this->planWave(entry.second, round);
    this->moveToNeed(round);
    this->moveToStandby(round);
    this->cordonVms(round);
    return std::move(round.orders);
}

// Work given to a VM whose order may be carried out yet would end with it, so the VM stays empty
// and the same order is given again: one that was carried out is answered so.
void FleetPlanner::repeatUnanswered(Round &round)
{
    for (auto &entry : this->vms) {
        auto &vm = entry.second;
        if (!vm.unanswered || vm.ordered || round.now < vm.waitUntil)
            continue;
        const auto order = *vm.unanswered;
        this->order(vm, order, round);
    }
}

void FleetPlanner::measure(Round &round)
{
    this->sizing.arrived(round.scheduler.takeArrivals(), round.now);
    for (const auto &service : round.scheduler.configuration().services)
        round.pools[service.name].standby = service.standby;
    const auto loads = round.scheduler.loads(round.now, round.unixNow);
    for (auto &entry : round.pools) {
        auto &pool = entry.second;
        const auto at = loads.find(entry.first);
        if (pool.standby || at == loads.end())
            continue;
        double vmCores = 0;
        for (const auto *vm : pool.up)
            vmCores = std::max(vmCores, static_cast<double>(vm->vm.capacity.cpu) / 1000);
        pool.need = this->sizing.needOf(entry.first, at->second, vmCores, pool.count, round.now);
    }
}

void FleetPlanner::order(Entry &entry, FleetOrder order, Round &round)
{
    entry.ordered = true;
    round.scheduler.holdVm(entry.vm.name);
    const auto at = round.workers.find(entry.vm.name);
    if (at != round.workers.end())
        at->second->evacuating = true;
    if (!entry.unanswered)
        entry.endingWorker = at != round.workers.end() ? at->second->listing.id : "";
    this->notes.push_back({order.action == FleetAction::Move ? "move" : "maintain", entry.vm.name,
                           absl::StrCat("from=", entry.vm.pool, " to=", order.pool,
                                        " wave=", order.wave, " worker=", entry.endingWorker)});
    round.orders.push_back(std::move(order));
}

// A VM that a pool can do without now: of the standby pool, or one with nothing on it.
FleetPlanner::Entry *FleetPlanner::spareFor(const std::string &target, std::size_t PoolNeed::*kept,
                                            Round &round)
{
    Entry *best = nullptr;
    int bestRank = 0;
    for (auto &entry : round.pools) {
        auto &pool = entry.second;
        if (entry.first == target || (!pool.standby && pool.count <= pool.need.*kept))
            continue;
        const bool isSurplus = pool.count > pool.need.wanted;
        const int rank = pool.standby ? 3 : isSurplus ? 2 : 1;
        if (rank <= bestRank)
            continue;
        for (auto *vm : pool.up) {
            if (!this->mayMove(*vm, round) || vm->vm.pool != entry.first
                || this->impossible.count(vm->vm.kind + " " + target) != 0)
                continue;
            // A VM of a standby pool that waits for maintenance is maintained there.
            if (pool.standby && round.waiting.count(vm->vm.name) != 0)
                continue;
            best = vm;
            bestRank = rank;
            break;
        }
    }
    return best;
}

// Work that is late anyhow takes what is left: it lacks the most VMs just when others are about to
// be late as well.
void FleetPlanner::moveToNeed(Round &round)
{
    const auto &mechanisms = round.scheduler.mechanisms();
    if (!mechanisms.has(Mechanism::Moves))
        return;
    if (mechanisms.has(Mechanism::OnTimeMoves))
        this->moveTo(&PoolNeed::onTime, &PoolNeed::kept, round);
    this->moveTo(&PoolNeed::wanted, &PoolNeed::wanted, round);
}

void FleetPlanner::moveTo(std::size_t PoolNeed::*wanted, std::size_t PoolNeed::*kept, Round &round)
{
    struct Need
    {
        std::string pool;
        std::size_t missing;
    };
    std::vector<Need> needs;
    for (const auto &entry : round.pools) {
        const auto &pool = entry.second;
        if (!pool.standby && pool.need.*wanted > pool.count)
            needs.push_back({entry.first, pool.need.*wanted - pool.count});
    }
    std::sort(needs.begin(), needs.end(),
              [](const Need &a, const Need &b) { return a.missing > b.missing; });
    for (const auto &need : needs) {
        for (std::size_t i = 0; i < need.missing; ++i) {
            if (round.orders.size() >= this->terms.mostOrders)
                return;
            auto *vm = this->spareFor(need.pool, kept, round);
            if (!vm)
                return;
            --round.pools[vm->vm.pool].count;
            ++round.pools[need.pool].count;
            this->order(*vm, {FleetAction::Move, vm->vm.name, need.pool, 0}, round);
        }
    }
}

void FleetPlanner::cordonVms(Round &round)
{
    if (!round.scheduler.mechanisms().has(Mechanism::Cordon))
        return;
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
        CordonPool choice{above(pool.need.wanted), above(pool.need.kept), {}};
        for (const auto *vm : pool.up) {
            const auto at = round.workers.find(vm->vm.name);
            if (at == round.workers.end() || vm->ordered || vm->leavingFor != 0
                || round.scheduler.hasLastingRuns(*at->second))
                continue;
            choice.candidates.push_back({vm->vm.name, at->second->used.cpu, at->second->cordoned});
        }
        pools.push_back(std::move(choice));
    }
    const auto chosen = chooseCordons(std::move(pools), missing);
    for (const auto &entry : round.workers)
        entry.second->cordoned = chosen.count(entry.first) != 0;
}

// VMs of a standby pool cost nothing.
void FleetPlanner::moveToStandby(Round &round)
{
    const auto standby = std::find_if(round.pools.begin(), round.pools.end(),
                                      [](const auto &entry) { return entry.second.standby; });
    const bool releases = round.scheduler.mechanisms().has(Mechanism::Standby);
    if (standby == round.pools.end() || !releases)
        return;
    for (auto &entry : round.pools) {
        auto &pool = entry.second;
        if (pool.standby)
            continue;
        for (auto *vm : pool.up) {
            if (pool.count <= pool.need.wanted || round.orders.size() >= this->terms.mostOrders)
                break;
            if (!this->mayMove(*vm, round)
                || this->impossible.count(vm->vm.kind + " " + standby->first) != 0)
                continue;
            --pool.count;
            this->order(*vm, {FleetAction::Move, vm->vm.name, standby->first, 0}, round);
        }
    }
}

// An order without an answer may be carried out anyhow, and has to be given again.
bool FleetPlanner::mayGive(const FleetOrder &order, const Scheduler &scheduler, Instant now) const
{
    const auto entry = this->vms.find(order.vm);
    const bool isOpen = entry != this->vms.end() && entry->second.unanswered;
    return isOpen || scheduler.isVmEmpty(order.vm, now);
}

void FleetPlanner::answered(const FleetOrder &order, FleetAnswer answer, Scheduler &scheduler,
                            Instant now)
{
    auto &entry = this->vms[order.vm];
    entry.ordered = false;
    const bool isMove = order.action == FleetAction::Move;
    if (answer != FleetAnswer::Accepted)
        this->notes.push_back({"fleet-refused", order.vm,
                               absl::StrCat("pool=", order.pool, " wave=", order.wave,
                                            " why=", std::string(model::nameOf(answer)))});
    const auto *incarnation = scheduler.workerOf(order.vm);
    const auto worker = incarnation ? incarnation->listing.id : std::string();
    if (answer == FleetAnswer::Accepted) {
        scheduler.releaseVm(order.vm);
        entry.vm.state = isMove ? VmState::Moving : VmState::Maintenance;
        entry.changedAt = now;
        entry.leavingFor = 0;
        if (isMove)
            entry.vm.pool = order.pool;
        entry.unanswered.reset();
        // A repeated order may have been carried out the first time: the worker that is there now
        // came after it.
        if (!entry.endingWorker.empty())
            scheduler.endWorker(entry.endingWorker, EndEvidence::VmOrder, now);
        if (!worker.empty())
            scheduler.keepWorker(worker);
    } else {
        entry.waitUntil = now + this->terms.retry;
        // A refusal says nothing of the same call before it.
        const bool isOpen =
            answer == FleetAnswer::NoAnswer || (answer == FleetAnswer::Refused && entry.unanswered);
        if (isOpen) {
            entry.unanswered = order;
            return;
        }
        entry.unanswered.reset();
        scheduler.releaseVm(order.vm);
        if (isMove && !worker.empty())
            scheduler.keepWorker(worker);
    }
    if (isMove) {
        if (answer == FleetAnswer::Impossible)
            this->impossible.insert(entry.vm.kind + " " + order.pool);
        return;
    }
    const auto at = this->waveTable.find(order.wave);
    const bool isOver = answer == FleetAnswer::Accepted || answer == FleetAnswer::NotInWave
                        || answer == FleetAnswer::Impossible;
    if (at != this->waveTable.end() && isOver) {
        at->second.done.insert(order.vm);
        ++at->second.changes;
        entry.leavingFor = 0;
        if (answer != FleetAnswer::Accepted && !worker.empty())
            scheduler.keepWorker(worker);
    }
}

} // namespace sassafrasferry::scheduling
