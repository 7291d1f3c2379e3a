// The start of a leader of a `VmMoveSimulation`, and its work at each tick.
#pragma once

#include "vm_move_simulation.h"

namespace sassafrasferry::scheduling::tests {

inline void VmMoveSimulation::startLeader()
{
    const auto fence = static_cast<std::int64_t>(this->leaders.size() + 1);
    auto leader = std::make_shared<SimLeader>(fence, this->now);
    Configuration configuration;
    configuration.version = 1;
    for (const auto *name : {"s", "t"}) {
        Queue queue;
        queue.terms = terms(name);
        configuration.queues.push_back(queue);
        configuration.services.push_back({name, true, false});
    }
    configuration.services.push_back({MoveFleet::standby, true, true});
    leader->scheduler.setConfiguration(configuration);
    for (const auto &entry : this->submittedJobs) {
        auto job = std::make_unique<Job>(entry.first, entry.second.spec, terms(entry.second.queue),
                                         this->now);
        job->inherited = fence > 1;
        if (const auto row = this->storedProgress.find(entry.first);
            row != this->storedProgress.end()) {
            job->restore(row->second);
            job->recordedChanges = job->changes;
        }
        leader->scheduler.addJob(std::move(job));
        if (entry.second.cancelled)
            leader->scheduler.cancelJob(entry.first);
    }
    this->leaders.push_back(leader);
    this->readEntries(*leader);
    std::set<std::string> listedBefore;
    for (const auto &entry : leader->scheduler.workers())
        listedBefore.insert(entry.first);
    for (const auto &vm : this->listedVms()) {
        if (!vm.worker.empty())
            leader->scheduler.addUnlistedWorker(vm.worker, vm.pool);
        if (vm.state != VmState::Down)
            leader->scheduler.endEarlierIncarnations(
                {vm.name, vm.pool, vm.worker, vm.state == VmState::Up}, listedBefore, this->now);
    }
    leader->scheduler.setAllWorkersKnown();
    this->deferOrdersOfPredecessor(*leader);
    this->writeLease(*leader);
    leader->planner.addWave({1, {"vm0", "vm2", "vm3"}, 10s, 1}, this->fleet.maintained, this->now);
}

inline void VmMoveSimulation::deferOrdersOfPredecessor(SimLeader &leader)
{
    messages::LeaseRecord lease;
    lease.ParseFromString(this->leaseRow);
    const auto until = this->now + handOverDelay + vmOrderMargin;
    for (const auto &vm : lease.ordered_vms())
        leader.planner.deferOrders(vm, until);
    for (const auto &order : lease.open_orders())
        leader.planner.adoptOrder(openVmOrderFrom(order), leader.scheduler, until);
}

inline void VmMoveSimulation::writeLease(SimLeader &leader)
{
    messages::LeaseRecord lease;
    lease.set_term(leader.fence);
    lease.set_announces_orders(true);
    for (const auto &entry : leader.orderedAt) {
        if (this->now - entry.second <= handOverDelay)
            lease.add_ordered_vms(entry.first);
    }
    for (const auto &order : leader.planner.openOrders())
        *lease.add_open_orders() = toMessage(order);
    this->leaseRow = lease.SerializeAsString();
}

inline void VmMoveSimulation::readEntries(SimLeader &leader)
{
    std::set<std::string> seen;
    for (const auto &listing : this->fleet.listings(this->now)) {
        seen.insert(listing.id);
        auto &born = leader.seenIncarnations[listing.id];
        if (born == listing.born)
            continue;
        born = listing.born;
        leader.scheduler.listWorker(listing, this->now);
    }
    std::vector<std::string> gone;
    for (const auto &entry : leader.scheduler.workers()) {
        if (entry.second.listed && seen.count(entry.first) == 0)
            gone.push_back(entry.first);
    }
    for (const auto &id : gone) {
        leader.seenIncarnations.erase(id);
        leader.scheduler.unlistWorker(id);
    }
    leader.scheduler.forgetWorkers(this->now);
}

inline void VmMoveSimulation::runLeader(const LeaderPointer &leader)
{
    if (!leader->alive || this->now - leader->confirmedAt >= orderLimit)
        return;
    this->readEntries(*leader);
    this->writeRows(leader);
    std::vector<std::string> ids;
    for (const auto &entry : leader->scheduler.workers()) {
        if (!entry.second.hasEnded)
            ids.push_back(entry.first);
    }
    for (const auto &id : ids)
        this->hold(leader, id);
    if (!leader->alive)
        return;
    leader->planner.releaseSettledVms(leader->scheduler);
    this->sendOrders(leader);
    if (leader->writesStore)
        this->sendVmOrders(leader);
    for (const auto &note : leader->scheduler.takeNotes())
        this->addNote(note);
    for (const auto &note : leader->planner.takeNotes())
        this->addNote(note);
}

inline void VmMoveSimulation::writeRows(const LeaderPointer &leader)
{
    if (!leader->writesStore)
        return;
    leader->confirmedAt = this->now;
    leader->scheduler.setLeadConfirmed(this->now);
    this->writeLease(*leader);
    const auto took = this->now < this->storeSlowUntil ? slowWriteTime : writeTime;
    // The store executes writes in the order in which they are sent.
    this->lastWriteAt = std::max(this->lastWriteAt, this->now + took);
    for (const auto &row :
         leader->scheduler.takeDirty(30, [](const std::string &) { return true; })) {
        this->events.add(this->lastWriteAt, [this, leader, row] {
            if (!leader->alive || !leader->writesStore)
                return;
            this->storedProgress[row.id] = row.row;
            leader->scheduler.recorded(row);
        });
    }
}

} // namespace sassafrasferry::scheduling::tests
