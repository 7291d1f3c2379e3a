// VMs of two pools and a standby pool on virtual time, with the entries of their workers: those of
// workers that have ended stand for a while.
#pragma once

#include "sim_worker.h"

#include <sassafrasferry/scheduling/fleet_planner.h>

#include <algorithm>
#include <set>

namespace sassafrasferry::scheduling::tests {

using namespace std::chrono_literals;

/// Whether the ids of a VM's workers rise or fall from one to the next.
enum class IdOrder {
    Rising,
    Falling,
};

class MoveFleet
{
public:
    static constexpr Duration entryDelay = 100ms; ///< until leaders see an entry
    static constexpr Duration lateEntryDelay = 1200ms;
    static constexpr Duration entryRemains = 500ms; ///< after its worker's end
    static constexpr Duration entryStays = 3s; ///< where it is read once more
    static constexpr const char *standby = "off";

    MoveFleet(const std::vector<std::string> &pools, IdOrder idOrder, Instant now)
        : idOrder(idOrder)
    {
        for (std::size_t i = 0; i < pools.size(); ++i) {
            Vm vm;
            vm.name = "vm" + std::to_string(i);
            vm.pool = pools[i];
            vm.kind = "a";
            vm.rack = "r" + std::to_string(i);
            vm.capacity = {4000, 100000, 0};
            this->vms.push_back(vm);
            this->present.push_back(nullptr);
            if (pools[i] != standby)
                this->join(i, now);
        }
    }

    /// A new worker of a VM, with an id of its own.
    void join(std::size_t vm, Instant now)
    {
        const auto number = static_cast<int>(this->workers.size());
        SimWorker worker;
        worker.id = "w"
                    + std::to_string(this->idOrder == IdOrder::Rising ? middleId + number
                                                                      : middleId - number);
        worker.born = ++this->births;
        worker.bornAt = now;
        this->workers.push_back(worker);
        this->vms[vm].worker = worker.id;
        this->vms[vm].state = VmState::Up;
        this->present[vm] = &this->workers.back();
        WorkerListing listing;
        listing.id = worker.id;
        listing.vm = this->vms[vm].name;
        listing.born = worker.born;
        listing.service = this->vms[vm].pool;
        listing.rack = this->vms[vm].rack;
        listing.capacity = this->vms[vm].capacity;
        this->entries[worker.id] = {listing, now + entryDelay, Instant::max()};
    }

    /// A worker begins anew under its id.
    void restart(SimWorker &worker, Duration entryAfter, Instant now)
    {
        worker.rebirth(++this->births, now);
        auto &entry = this->entries.at(worker.id);
        entry.listing.born = worker.born;
        entry.from = now + entryAfter;
    }

    /// The worker of a VM ends with all that runs there. `onEnd` is told of each task.
    template<typename OnEnd>
    void endWorker(std::size_t vm, Instant now, OnEnd onEnd)
    {
        auto *worker = this->present[vm];
        this->present[vm] = nullptr;
        this->vms[vm].worker.clear();
        if (!worker)
            return;
        if (worker->alive) {
            for (const auto &run : worker->runs)
                onEnd(run.first.task);
        }
        worker->runs.clear();
        worker->alive = false;
        this->entries.at(worker->id).until = now + entryRemains;
    }

    /// The entries of the VM's earlier workers stand once more.
    void listEarlier(std::size_t vm, Instant now)
    {
        for (auto &entry : this->entries) {
            if (entry.second.listing.vm == this->vms[vm].name
                && entry.second.until != Instant::max())
                entry.second.until = now + entryStays;
        }
    }

    std::vector<WorkerListing> listings(Instant now) const
    {
        std::vector<WorkerListing> result;
        for (const auto &entry : this->entries) {
            if (now >= entry.second.from && now < entry.second.until)
                result.push_back(entry.second.listing);
        }
        return result;
    }

    SimWorker &worker(const std::string &id)
    {
        return *std::find_if(this->workers.begin(), this->workers.end(),
                             [&](const auto &worker) { return worker.id == id; });
    }

    /// Nothing if the VM has no worker now.
    SimWorker *workerAt(std::size_t vm)
    {
        return this->present[vm];
    }

    bool isRunning(const TaskId &task) const
    {
        return std::any_of(this->workers.begin(), this->workers.end(), [&](const auto &worker) {
            return worker.alive
                   && std::any_of(worker.runs.begin(), worker.runs.end(),
                                  [&](const auto &run) { return run.first.task == task; });
        });
    }

    std::vector<Vm> vms;
    std::deque<SimWorker> workers; ///< of all incarnations with an id of their own
    std::set<std::string> maintained; ///< names of VMs

private:
    struct Entry
    {
        WorkerListing listing;
        Instant from; ///< leaders see it from then
        Instant until;
    };

    static constexpr int middleId = 500;

    IdOrder idOrder;
    std::vector<SimWorker *> present; // of each VM
    std::map<std::string, Entry> entries; // of each worker
    std::int64_t births = 0;
};

} // namespace sassafrasferry::scheduling::tests
