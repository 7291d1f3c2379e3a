// The VMs and workers of a `VmMoveSimulation`, and the workers' entries in the store. The entry of
// an ended worker remains for a short time.
#pragma once

#include "sim_worker.h"

#include <sassafrasferry/scheduling/fleet_planner.h>

#include <algorithm>
#include <set>

namespace sassafrasferry::scheduling::tests {

using namespace std::chrono_literals;

/// Whether each new worker has a greater or a smaller id than the workers before it.
enum class IdOrder {
    Rising,
    Falling,
};

class MoveFleet
{
public:
    static constexpr Duration entryDelay = 100ms; ///< until leaders see a new entry
    static constexpr Duration lateEntryDelay = 1200ms;
    /// How long an entry remains after its worker ended.
    static constexpr Duration entryRetention = 500ms;
    /// How long the entry of an ended worker remains when it reappears.
    static constexpr Duration reappearedRetention = 3s;
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
            this->currentWorkers.push_back(nullptr);
            if (pools[i] != standby)
                this->startWorker(i, now);
        }
    }

    /// Starts a worker with a new id on the VM.
    void startWorker(std::size_t vm, Instant now)
    {
        const auto number = static_cast<int>(this->workers.size());
        SimWorker worker;
        worker.id = "w"
                    + std::to_string(this->idOrder == IdOrder::Rising ? middleId + number
                                                                      : middleId - number);
        worker.born = ++this->incarnationCount;
        worker.startedAt = now;
        this->workers.push_back(worker);
        this->vms[vm].worker = worker.id;
        this->vms[vm].state = VmState::Up;
        this->currentWorkers[vm] = &this->workers.back();
        WorkerListing listing;
        listing.id = worker.id;
        listing.vm = this->vms[vm].name;
        listing.born = worker.born;
        listing.service = this->vms[vm].pool;
        listing.rack = this->vms[vm].rack;
        listing.capacity = this->vms[vm].capacity;
        this->entries[worker.id] = {listing, now + entryDelay, Instant::max()};
    }

    /// Restarts a worker, which keeps its id.
    void restart(SimWorker &worker, Duration entryAfter, Instant now)
    {
        worker.restart(++this->incarnationCount, now);
        auto &entry = this->entries.at(worker.id);
        entry.listing.born = worker.born;
        entry.from = now + entryAfter;
    }

    /// Ends the worker of the VM and its runs. Calls `onEnd` with the task of each run.
    template<typename OnEnd>
    void endWorker(std::size_t vm, Instant now, OnEnd onEnd)
    {
        auto *worker = this->currentWorkers[vm];
        this->currentWorkers[vm] = nullptr;
        this->vms[vm].worker.clear();
        if (!worker)
            return;
        if (worker->alive) {
            for (const auto &run : worker->runs)
                onEnd(run.first.task);
        }
        worker->runs.clear();
        worker->alive = false;
        this->entries.at(worker->id).until = now + entryRetention;
    }

    /// Makes the entries of the VM's earlier workers visible again.
    void relistEarlierWorkers(std::size_t vm, Instant now)
    {
        for (auto &entry : this->entries) {
            if (entry.second.listing.vm == this->vms[vm].name
                && entry.second.until != Instant::max())
                entry.second.until = now + reappearedRetention;
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

    /// Null if the VM has no worker.
    SimWorker *workerAt(std::size_t vm)
    {
        return this->currentWorkers[vm];
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
    std::deque<SimWorker> workers; ///< all workers with an id of their own, also ended ones
    std::set<std::string> maintained; ///< names of VMs

private:
    struct Entry
    {
        WorkerListing listing;
        Instant from; ///< when leaders begin to see the entry
        Instant until; ///< when leaders cease to see the entry
    };

    static constexpr int middleId = 500;

    IdOrder idOrder;
    std::vector<SimWorker *> currentWorkers; // by VM; null if it has none
    std::map<std::string, Entry> entries; // by worker
    std::int64_t incarnationCount = 0;
};

} // namespace sassafrasferry::scheduling::tests
