// Injects faults into a `VmMoveSimulation`.
#pragma once

#include "vm_move_simulation.h"

namespace sassafrasferry::scheduling::tests {

inline void VmMoveSimulation::inject(const TimedMoveFault &fault)
{
    auto *worker = this->fleet.workerAt(fault.vm);
    if (targetsVm(fault.fault) && fault.fault != MoveFault::EarlierEntryListed) {
        if (worker && worker->alive)
            this->injectIntoWorker(fault, *worker);
        return;
    }
    auto &leader = *this->leaders.back();
    switch (fault.fault) {
    case MoveFault::EarlierEntryListed:
        this->fleet.relistEarlierWorkers(fault.vm, this->now);
        [[fallthrough]];
    case MoveFault::EntriesReadAgain:
        leader.seenIncarnations.clear();
        break;
    case MoveFault::VmListStale:
        this->vmListStaleUntil = this->now + vmListStaleTime;
        break;
    case MoveFault::StoreSlow:
        this->storeSlowUntil = this->now + storeSlowdownTime;
        break;
    case MoveFault::JobCancelled:
        this->cancel(this->newestJob);
        break;
    case MoveFault::LeaderCannotWrite:
        leader.writesStore = false;
        this->nextLeaderAt = this->now + takeover;
        break;
    case MoveFault::LeaderDies:
        leader.alive = false;
        this->nextLeaderAt = this->now + takeover;
        break;
    case MoveFault::AllRestart:
        for (const auto &each : this->leaders)
            each->alive = false;
        this->nextLeaderAt = this->now + restartTime;
        break;
    default:
        ++this->pendingFaults[fault.fault];
    }
}

inline void VmMoveSimulation::injectIntoWorker(const TimedMoveFault &fault, SimWorker &worker)
{
    switch (fault.fault) {
    case MoveFault::WorkerRestarts:
        this->fleet.restart(worker, MoveFleet::entryDelay, this->now);
        break;
    case MoveFault::WorkerRestartsUnnoticed:
        this->fleet.restart(worker, MoveFleet::lateEntryDelay, this->now);
        break;
    case MoveFault::WorkerDown:
        worker.alive = false;
        worker.runs.clear();
        this->runAfter(downTime, [this, &worker, vm = fault.vm] {
            if (this->fleet.workerAt(vm) != &worker)
                return;
            worker.alive = true;
            this->fleet.restart(worker, MoveFleet::entryDelay, this->now);
        });
        break;
    case MoveFault::WorkerPartitioned:
        worker.partitionedUntil = this->now + partitionTime;
        break;
    case MoveFault::WorkerHangsAndDrops:
        this->droppingWorkers.insert(worker.id);
        [[fallthrough]];
    case MoveFault::WorkerHangs:
        this->hangUntil[worker.id] = this->now + hangTime;
        break;
    default:
        this->fleet.vms[fault.vm].state = VmState::Down;
        this->fleet.endWorker(fault.vm, this->now, [](const TaskId &) {});
        this->addressReusedAt[worker.id] = this->now + addressReuseDelay;
    }
}

} // namespace sassafrasferry::scheduling::tests
