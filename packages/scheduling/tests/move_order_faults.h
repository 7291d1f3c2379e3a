// How faults strike a `MoveOrderWorld`.
#pragma once

#include "move_order_world.h"

namespace sassafrasferry::scheduling::tests {

inline void MoveOrderWorld::strike(const MoveFaultAt &fault)
{
    auto *worker = this->fleet.workerAt(fault.vm);
    if (strikesVm(fault.fault) && fault.fault != MoveFault::EarlierEntryListed) {
        if (worker && worker->alive)
            this->strikeWorker(fault, *worker);
        return;
    }
    auto &leader = *this->leaders.back();
    switch (fault.fault) {
    case MoveFault::EarlierEntryListed:
        this->fleet.listEarlier(fault.vm, this->now);
        [[fallthrough]];
    case MoveFault::EntriesReadAgain:
        leader.entries.clear();
        break;
    case MoveFault::VmListBehind:
        this->listBehindUntil = this->now + listBehindFor;
        break;
    case MoveFault::StoreSlow:
        this->storeSlowUntil = this->now + storeSlowFor;
        break;
    case MoveFault::JobCancelled:
        this->cancel(this->newest);
        break;
    case MoveFault::LeaderCannotWrite:
        leader.writesStore = false;
        this->leadAt = this->now + takeover;
        break;
    case MoveFault::LeaderDies:
        leader.alive = false;
        this->leadAt = this->now + takeover;
        break;
    case MoveFault::AllRestart:
        for (const auto &each : this->leaders)
            each->alive = false;
        this->leadAt = this->now + restartTime;
        break;
    default:
        ++this->armed[fault.fault];
    }
}

inline void MoveOrderWorld::strikeWorker(const MoveFaultAt &fault, SimWorker &worker)
{
    switch (fault.fault) {
    case MoveFault::WorkerRestarts:
        this->fleet.restart(worker, MoveFleet::entryDelay, this->now);
        break;
    case MoveFault::WorkerRestartsUnnoticed:
        this->fleet.restart(worker, MoveFleet::lateEntryDelay, this->now);
        break;
    case MoveFault::WorkerDark:
        worker.alive = false;
        worker.runs.clear();
        this->later(darkFor, [this, &worker, vm = fault.vm] {
            if (this->fleet.workerAt(vm) != &worker)
                return;
            worker.alive = true;
            this->fleet.restart(worker, MoveFleet::entryDelay, this->now);
        });
        break;
    case MoveFault::WorkerCut:
        worker.cutUntil = this->now + cutFor;
        break;
    case MoveFault::WorkerHangsAndDrops:
        this->dropsCalls.insert(worker.id);
        [[fallthrough]];
    case MoveFault::WorkerHangs:
        this->hangUntil[worker.id] = this->now + hangFor;
        break;
    default:
        this->fleet.vms[fault.vm].state = VmState::Down;
        this->fleet.endWorker(fault.vm, this->now, [](const TaskId &) {});
        this->reusedAt[worker.id] = this->now + reuse;
    }
}

} // namespace sassafrasferry::scheduling::tests
