// A simulation of workers and leaders on virtual time with random faults from a seed: answers are
// lost, orders are executed seconds late, workers crash, disappear for good, are partitioned or
// restarted, and leaders die or continue without the store. Each start of a task is checked against
// the guarantees given to callers.
#pragma once

#include "customer_caps.h"
#include "event_queue.h"
#include "fault_rates.h"
#include "sim_calls.h"
#include "sim_leader.h"
#include "sim_random.h"
#include "sim_worker.h"
#include "task_invariants.h"

#include <algorithm>
#include <memory>

namespace sassafrasferry::scheduling::tests {

class JobSimulation
{
public:
    JobSimulation(std::uint64_t seed, FaultRates faults)
        : random(seed)
        , faults(faults)
    {
        if (faults.capChange > 0) {
            this->services = {"s", "t"};
            this->caps.change(this->random, this->now);
        }
        for (std::size_t i = 0; i < workerCount; ++i)
            this->addWorker(this->serviceOf(i));
        this->startLeader();
    }

    void addJob(const std::string &id, jobs::JobSpec spec)
    {
        this->submittedJobs[id] = spec;
        const auto number = this->submittedJobs.size();
        if (this->faults.capChange > 0 && number % 2 == 0)
            this->caps.addJob(id);
        this->serviceOfJob[id] = this->serviceOf(number / 2);
        for (auto &leader : this->leaders) {
            if (leader->alive && this->isHandedJobs(*leader))
                this->addJobTo(*leader, id, false);
        }
    }

    /// Advances virtual time by `duration`.
    void run(Duration duration, bool withFaults)
    {
        const auto end = this->now + duration;
        while (this->now < end) {
            this->now += step;
            if (withFaults)
                this->injectFaults();
            else
                this->caps.restore(this->now);
            this->passOnCap();
            this->events.run(this->now);
            this->runWorkers();
            this->runLeaders();
        }
    }

    /// The number of jobs that have not reached a final state.
    std::size_t unfinishedJobs() const
    {
        std::size_t open = 0;
        for (const auto &entry : this->submittedJobs) {
            const auto row = this->storedProgress.find(entry.first);
            const bool isFinished = row != this->storedProgress.end()
                                    && jobs::isFinal(static_cast<JobState>(row->second.state()));
            open += isFinished ? 0 : 1;
        }
        return open;
    }

    /// The violated guarantees, one text for each violation.
    const std::vector<std::string> &violations() const
    {
        return this->invariants.violations;
    }

    std::size_t starts() const
    {
        return this->invariants.starts;
    }

    std::size_t startsAtCap() const
    {
        return this->caps.startsAtCap;
    }

    std::size_t takeovers = 0;

private:
    static constexpr std::size_t workerCount = 6;
    static constexpr Duration step = 5ms;

    // Entry VMs hand new jobs to the leader that they know. They learn of a newer one late.
    bool isHandedJobs(const SimLeader &leader) const
    {
        const auto &newest = *this->leaders.back();
        return leader.fence == newest.fence
               || (leader.fence + 1 == newest.fence
                   && this->now - newest.startedAt < this->times.leaderNews);
    }

    void addWorker(const std::string &service)
    {
        SimWorker worker;
        worker.id = "w" + std::to_string(this->workers.size());
        worker.born = ++this->incarnationCount;
        worker.startedAt = this->now;
        worker.clockRate = this->random.between(0.98, 1.0);
        this->serviceOfWorker[worker.id] = service;
        this->workers.push_back(worker);
    }

    void injectFaults()
    {
        const double tick = policy::seconds(step);
        for (std::size_t i = 0; i < this->workers.size(); ++i) {
            if (!this->workers[i].alive)
                continue;
            if (this->random.chance(this->faults.crash * tick))
                this->workers[i].restart(++this->incarnationCount, this->now);
            if (this->random.chance(this->faults.partition * tick))
                this->workers[i].partitionedUntil =
                    this->now + this->random.between(Duration(1s), Duration(9s));
            if (this->random.chance(this->faults.permanentLoss * tick)) {
                this->workers[i].alive = false;
                this->workers[i].isLost = true;
                this->workers[i].runs.clear();
                this->addWorker(this->serviceOfWorker[this->workers[i].id]);
            }
        }
        if (this->random.chance(this->faults.capChange * tick))
            this->caps.change(this->random, this->now);
        auto &leader = *this->leaders.back();
        const bool dies = this->random.chance(this->faults.leaderLoss * tick);
        const bool losesStore = !dies && this->random.chance(this->faults.storeLoss * tick);
        if (!leader.alive || !leader.hasStore || (!dies && !losesStore))
            return;
        leader.alive = !dies;
        leader.hasStore = false;
        this->nextLeaderAt = this->now + this->times.takeover;
    }

    // Leaders with the store learn of a new cap late.
    void passOnCap()
    {
        for (const auto &leader : this->leaders) {
            if (!leader->hasStore || leader->knownCaps == this->caps.count())
                continue;
            if (leader->nextCapAt == Instant{})
                leader->nextCapAt =
                    this->now + this->random.between(Duration(0), this->times.configurationDelay);
            if (this->now >= leader->nextCapAt)
                this->configure(*leader);
        }
    }

    void configure(SimLeader &leader)
    {
        leader.knownCaps = this->caps.count();
        leader.nextCapAt = {};
        auto configuration = configurationOf(this->services, this->caps.customers());
        configuration.version = static_cast<std::int64_t>(leader.knownCaps) + 1;
        leader.scheduler.setConfiguration(std::move(configuration));
    }

    void runWorkers()
    {
        for (auto &worker : this->workers) {
            if (worker.alive)
                worker.run(this->now, this->callbacksFor(worker));
        }
    }

    SimWorkerCallbacks callbacksFor(const SimWorker &worker)
    {
        return {
            [this, id = worker.id](const RunKey &key) { this->checkStart(id, key); },
            [this] {
                const auto endsAt =
                    this->now + this->random.between(Duration(200ms), Duration(2500ms));
                return SimRun{endsAt, this->random.chance(this->faults.failure)};
            },
            [this](const TaskId &task, jobs::RunEnd end) { this->invariants.runEnded(task, end); },
            [this](const ListedEnd &end) {
                this->invariants.endAcknowledged(end);
            }};
    }

    void checkStart(const std::string &worker, const RunKey &key)
    {
        std::vector<std::pair<std::string, RunKey>> others;
        for (const auto &other : this->workers) {
            if (!other.alive)
                continue;
            for (const auto &run : other.runs) {
                if (run.first.task == key.task)
                    others.push_back({other.id, run.first});
            }
        }
        this->invariants.checkStart(worker, key, others, this->submittedJobs.at(key.task.job));
        if (!this->caps.ownsJob(key.task.job))
            return;
        auto violation =
            this->caps.checkStart(key.task, this->workers, this->submittedJobs, this->now);
        if (!violation.empty())
            this->invariants.violations.push_back(std::move(violation));
    }

    void startLeader()
    {
        ++this->takeovers;
        const auto fence = static_cast<std::int64_t>(this->takeovers);
        auto leader = std::make_shared<SimLeader>(fence, this->now, SchedulerTimes{});
        this->configure(*leader);
        this->leaders.push_back(leader);
        for (const auto &entry : this->submittedJobs)
            this->addJobTo(*leader, entry.first, true);
        this->listWorkers(*leader);
        leader->scheduler.setAllWorkersKnown();
    }

    // With two services one may have reported all its runs to a new leader while the other has not.
    const std::string &serviceOf(std::size_t index) const
    {
        return this->services[index % this->services.size()];
    }

    void addJobTo(SimLeader &leader, const std::string &id, bool isLoading)
    {
        auto job = std::make_unique<Job>(id, this->submittedJobs[id],
                                         termsOf(this->serviceOfJob.at(id)), this->now);
        job->inherited = isLoading;
        if (this->caps.ownsJob(id))
            job->customer = CustomerCaps::customer;
        if (const auto row = this->storedProgress.find(id); row != this->storedProgress.end()) {
            job->restore(row->second);
            job->recordedChanges = job->changes;
        }
        leader.scheduler.addJob(std::move(job));
    }

    void listWorkers(SimLeader &leader)
    {
        for (const auto &worker : this->workers) {
            if (worker.isLost && leader.fence == 1)
                continue;
            WorkerListing listing;
            listing.id = worker.id;
            listing.born = worker.born;
            listing.service = this->serviceOfWorker[worker.id];
            listing.capacity = {4000, 100000, 0};
            leader.scheduler.listWorker(listing, this->now);
        }
    }

    bool canSendOrders(const SimLeader &leader) const
    {
        return leader.alive && this->now - leader.confirmedAt < this->times.orderLimit;
    }

    void runLeaders()
    {
        if (this->nextLeaderAt != Instant{} && this->now >= this->nextLeaderAt) {
            this->nextLeaderAt = {};
            this->startLeader();
        }
        for (const auto &leader : this->leaders) {
            if (!this->canSendOrders(*leader))
                continue;
            if (leader->hasStore) {
                leader->confirmedAt = this->now;
                this->listWorkers(*leader);
                this->writeRows(*leader);
            }
            this->hold(leader);
            this->sendOrders(leader);
            this->invariants.checkCounts(leader->scheduler);
        }
    }

    void writeRows(SimLeader &leader)
    {
        for (auto &row : leader.scheduler.takeDirty(30, [](const std::string &) { return true; }))
            leader.writes.push_back({this->now + this->times.writeDelay, std::move(row)});
        while (!leader.writes.empty() && leader.writes.front().first <= this->now) {
            const auto row = leader.writes.front().second;
            leader.writes.pop_front();
            this->storedProgress[row.id] = row.row;
            leader.scheduler.recorded(row);
        }
    }

    void hold(const std::shared_ptr<SimLeader> &leader)
    {
        for (std::size_t i = 0; i < this->workers.size(); ++i) {
            const auto id = this->workers[i].id;
            const auto [entry, isNew] = leader->nextHoldAt.try_emplace(id, this->now);
            auto &next = entry->second;
            if (isNew && leader->fence > 1)
                next += this->random.between(Duration(0), this->times.firstHoldDelay);
            if (this->now < next || !leader->scheduler.findWorker(id))
                continue;
            next = this->now + this->times.holdInterval;
            const auto asked = this->now;
            const auto ack = leader->scheduler.acknowledged(id);
            const auto until = leader->scheduler.leaseUntil(id, this->now);
            this->calls.hold<std::optional<WorkerReport>>(
                i,
                [this, leader, ack, until](SimWorker &worker) {
                    return worker.hold(leader->fence, ack, until, this->now,
                                       this->callbacksFor(worker));
                },
                [this, leader, asked](const std::optional<WorkerReport> &report) {
                    if (!leader->alive)
                        return;
                    if (report)
                        leader->scheduler.report(*report, asked, this->now);
                    else
                        leader->alive = false; // the worker knows a newer leader
                });
        }
    }

    void sendOrders(const std::shared_ptr<SimLeader> &leader)
    {
        const auto orders = leader->scheduler.plan(this->now, 0);
        for (const auto &start : orders.starts) {
            const auto index = static_cast<std::size_t>(std::stoul(start.worker.substr(1)));
            const auto until = leader->scheduler.leaseUntil(start.worker, this->now);
            if (!until) {
                leader->scheduler.startAnswered(start, OrderAnswer::NotSent, this->now);
                continue;
            }
            this->calls.order(
                index, this->workers[index].born,
                [this, start, until, fence = leader->fence](SimWorker &worker) {
                    return worker.start(start, *until, fence, this->now,
                                        this->callbacksFor(worker));
                },
                [this, leader, start](OrderAnswer answer) {
                    if (leader->alive)
                        leader->scheduler.startAnswered(start, answer, this->now);
                });
        }
        for (const auto &stop : orders.stops) {
            const auto index = static_cast<std::size_t>(std::stoul(stop.worker.substr(1)));
            this->calls.order(
                index, this->workers[index].born,
                [this, stop, fence = leader->fence](SimWorker &worker) {
                    return worker.stop(stop, fence, this->callbacksFor(worker));
                },
                [this, leader, stop](OrderAnswer answer) {
                    if (leader->alive)
                        leader->scheduler.stopAnswered(stop, answer, this->now);
                });
        }
    }

    SimRandom random;
    FaultRates faults;
    SimulationTimes times;
    Instant now = Instant(1h);
    Instant nextLeaderAt{};
    std::vector<SimWorker> workers;
    std::vector<std::shared_ptr<SimLeader>> leaders; // the newest is last
    std::int64_t incarnationCount = 0;
    EventQueue events;
    SimCalls calls{this->random, this->faults, this->events, this->workers, this->now};
    SubmittedJobs submittedJobs;
    CustomerCaps caps;
    std::vector<std::string> services{"s"};
    std::map<std::string, std::string> serviceOfWorker;
    std::map<std::string, std::string> serviceOfJob;
    std::map<std::string, messages::JobProgress> storedProgress; // the store, by job
    TaskInvariants invariants{maxAttempts};
};

} // namespace sassafrasferry::scheduling::tests
