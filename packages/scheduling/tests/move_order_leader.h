// What a leader of a `MoveOrderWorld` learns when it begins, and does at each moment.
#pragma once

#include "move_order_world.h"

namespace sassafrasferry::scheduling::tests {

inline void MoveOrderWorld::lead()
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
    for (const auto &entry : this->jobTable) {
        auto job = std::make_unique<Job>(entry.first, entry.second.spec, terms(entry.second.queue),
                                         this->now);
        job->inherited = fence > 1;
        if (const auto row = this->rows.find(entry.first); row != this->rows.end()) {
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
            leader->scheduler.expectWorker(vm.worker, vm.pool);
        if (vm.state != VmState::Down)
            leader->scheduler.endEarlierIncarnations(
                {vm.name, vm.pool, vm.worker, vm.state == VmState::Up}, listedBefore, this->now);
    }
    leader->scheduler.knowsAllWorkers();
    leader->planner.addWave({1, {"vm0", "vm2", "vm3"}, 10s, 1}, this->fleet.maintained, this->now);
}

inline void MoveOrderWorld::readEntries(SimLeader &leader)
{
    std::set<std::string> seen;
    for (const auto &listing : this->fleet.listings(this->now)) {
        seen.insert(listing.id);
        auto &born = leader.entries[listing.id];
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
        leader.entries.erase(id);
        leader.scheduler.unlistWorker(id);
    }
    leader.scheduler.forgetWorkers(this->now);
}

inline void MoveOrderWorld::runLeader(const LeaderPointer &leader)
{
    if (!leader->alive || this->now - leader->confirmedAt >= orderLimit)
        return;
    this->readEntries(*leader);
    this->record(leader);
    std::vector<std::string> ids;
    for (const auto &entry : leader->scheduler.workers()) {
        if (!entry.second.over)
            ids.push_back(entry.first);
    }
    for (const auto &id : ids)
        this->hold(leader, id);
    if (!leader->alive)
        return;
    this->order(leader);
    if (leader->writesStore)
        this->orderVms(leader);
    for (const auto &note : leader->scheduler.takeNotes())
        this->tell(note);
    for (const auto &note : leader->planner.takeNotes())
        this->tell(note);
}

inline void MoveOrderWorld::record(const LeaderPointer &leader)
{
    if (!leader->writesStore)
        return;
    leader->confirmedAt = this->now;
    const auto took = this->now < this->storeSlowUntil ? slowStoreTime : storeTime;
    // Writes are carried out in the order in which they are sent.
    this->writtenAt = std::max(this->writtenAt, this->now + took);
    for (const auto &row :
         leader->scheduler.takeDirty(30, [](const std::string &) { return true; })) {
        this->events.add(this->writtenAt, [this, leader, row] {
            if (!leader->alive || !leader->writesStore)
                return;
            this->rows[row.id] = row.row;
            leader->scheduler.recorded(row);
        });
    }
}

} // namespace sassafrasferry::scheduling::tests
