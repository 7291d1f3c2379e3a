// The VMs and workers of a `FaultSequenceSimulation`, and the workers' entries in the store.
#pragma once

#include "sim_worker.h"

#include <sassafrasferry/scheduling/fleet_planner.h>

#include <algorithm>
#include <set>

namespace sassafrasferry::scheduling::tests {

using namespace std::chrono_literals;

class SimFleet
{
public:
    static constexpr Duration entryDelay = 100ms; ///< until leaders see a new entry
    static constexpr Duration lateEntryDelay = 1200ms;

    SimFleet(std::size_t count, Instant now)
    {
        for (std::size_t i = 0; i < count; ++i) {
            Vm vm;
            vm.name = "vm" + std::to_string(i);
            vm.pool = "s";
            vm.kind = "a";
            vm.rack = "r" + std::to_string(i);
            vm.capacity = {4000, 100000, 0};
            this->vms.push_back(vm);
            this->startWorker(i, now);
        }
    }

    /// Starts a worker with a new id on the VM.
    void startWorker(std::size_t vm, Instant now)
    {
        SimWorker worker;
        worker.id = "w" + std::to_string(this->workers.size());
        worker.born = ++this->incarnationCount;
        worker.startedAt = now;
        this->vms[vm].worker = worker.id;
        this->vms[vm].state = VmState::Up;
        this->workers.push_back(worker);
        this->vmOf.push_back(vm);
        this->entries[worker.id] = {worker.born, now + entryDelay};
    }

    /// Restarts a worker, which keeps its id.
    void restart(SimWorker &worker, Duration entryAfter, Instant now)
    {
        if (!worker.alive)
            return;
        worker.restart(++this->incarnationCount, now);
        this->entries[worker.id] = {worker.born, now + entryAfter};
    }

    SimWorker &worker(const std::string &id)
    {
        return this->workers[static_cast<std::size_t>(std::stoul(id.substr(1)))];
    }

    SimWorker &workerAt(std::size_t vm)
    {
        return this->worker(this->vms[vm].worker);
    }

    /// The entries of the current workers that leaders see.
    std::vector<WorkerListing> listings(Instant now) const
    {
        std::vector<WorkerListing> result;
        for (std::size_t i = 0; i < this->workers.size(); ++i) {
            const auto &id = this->workers[i].id;
            const auto &entry = this->entries.at(id);
            const auto &vm = this->vms[this->vmOf[i]];
            if (now < entry.second || vm.worker != id)
                continue;
            WorkerListing listing;
            listing.id = id;
            listing.vm = vm.name;
            listing.born = entry.first;
            listing.service = vm.pool;
            listing.rack = vm.rack;
            listing.capacity = vm.capacity;
            result.push_back(listing);
        }
        return result;
    }

    /// Ends the worker of the VM and its runs. Calls `onEnd` with the task of each run.
    template<typename OnEnd>
    FleetAnswer maintain(std::size_t vm, OnEnd onEnd)
    {
        if (this->maintained.count(this->vms[vm].name) != 0)
            return FleetAnswer::Accepted;
        auto &worker = this->workerAt(vm);
        if (this->vms[vm].state != VmState::Up || !worker.alive)
            return FleetAnswer::Busy;
        for (const auto &run : worker.runs)
            onEnd(run.first.task);
        worker.runs.clear();
        worker.alive = false;
        this->maintained.insert(this->vms[vm].name);
        this->vms[vm].state = VmState::Maintenance;
        return FleetAnswer::Accepted;
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
    std::vector<std::size_t> vmOf; // by worker
    /// By worker: the incarnation in its entry, and when leaders begin to see the entry.
    std::map<std::string, std::pair<std::int64_t, Instant>> entries;
    std::int64_t incarnationCount = 0;
};

} // namespace sassafrasferry::scheduling::tests
