// A simulation of workers and leaders on virtual time with random faults from a seed: answers are
// lost, orders are executed seconds late, workers crash, disappear for good, are partitioned or
// restarted, and leaders die or continue without the store. Each start of a task is checked against
// the guarantees given to callers.
#pragma once

#include "cancellations.h"
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
    JobSimulation(std::uint64_t seed, FaultRates faults, SimulationTimes times = {})
        : random(seed)
        , faults(faults)
        , times(times)
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
            this->cancels.check(this->workers, this->now, this->invariants.violations);
        }
    }

    /// The jobs that have not reached a final state.
    std::vector<std::string> unfinishedJobs() const
    {
        std::vector<std::string> open;
        for (const auto &entry : this->submittedJobs) {
            const auto row = this->storedProgress.find(entry.first);
            if (row == this->storedProgress.end()
                || !jobs::isFinal(static_cast<JobState>(row->second.state())))
                open.push_back(entry.first);
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

    const Cancellations &cancellations() const
    {
        return this->cancels;
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
        worker.writeEntry();
        this->serviceOfWorker[worker.id] = service;
        this->workers.push_back(worker);
    }

    void injectFaults()
    {
        const double tick = policy::seconds(step);
        for (std::size_t i = 0; i < this->workers.size(); ++i) {
            if (!this->workers[i].alive)
                continue;
            if (this->random.chance(this->faults.crash * tick)) {
                this->workers[i].restart(++this->incarnationCount, this->now);
                this->workers[i].writeEntry();
                this->cancels.noteDisturbance(this->workers[i].id, this->now);
                for (const auto &leader : this->leaders) {
                    if (this->times.holdWait > Duration::zero())
                        leader->breakHold(this->workers[i].id, this->now + this->times.holdRetry);
                }
            }
            if (this->faults.restartAndCut > 0
                && this->random.chance(this->faults.restartAndCut * tick))
                this->restartAndCut(i);
            if (this->faults.unnoticedRestart > 0
                && this->random.chance(this->faults.unnoticedRestart * tick))
                this->restartUnnoticed(i);
            if (this->random.chance(this->faults.partition * tick))
                this->workers[i].partitionedUntil =
                    this->now + this->random.between(Duration(1s), Duration(9s));
            if (this->faults.pathLoss > 0 && this->random.chance(this->faults.pathLoss * tick)) {
                this->workers[i].pathLostUntil =
                    this->now + this->random.between(Duration(1s), Duration(9s));
                this->workers[i].unheardLeaders = this->random.chance(0.5) ? 1 : 0;
            }
            if (this->random.chance(this->faults.permanentLoss * tick)) {
                this->workers[i].alive = false;
                this->workers[i].isLost = true;
                this->workers[i].runs.clear();
                this->addWorker(this->serviceOfWorker[this->workers[i].id]);
            }
        }
        if (this->random.chance(this->faults.capChange * tick))
            this->caps.change(this->random, this->now);
        if (this->faults.cancellation > 0 && this->random.chance(this->faults.cancellation * tick))
            this->cancels.add(this->unfinishedJobs(), this->random, this->now);
        auto &leader = *this->leaders.back();
        const bool dies = this->random.chance(this->faults.leaderLoss * tick);
        const bool losesStore = !dies && this->random.chance(this->faults.storeLoss * tick);
        if (!leader.alive || !leader.hasStore || (!dies && !losesStore))
            return;
        leader.alive = !dies;
        leader.hasStore = false;
        this->nextLeaderAt = this->now + this->times.takeover;
        for (const auto &worker : this->workers)
            this->cancels.noteDisturbance(worker.id, this->now);
    }

    void restartAndCut(std::size_t index)
    {
        constexpr Duration downTime = 600ms;
        constexpr Duration cutTime = 9s;
        auto &worker = this->workers[index];
        worker.runs.clear();
        worker.downUntil = this->now + downTime;
        this->events.add(worker.downUntil, [this, index] {
            this->workers[index].restart(++this->incarnationCount, this->now);
            this->workers[index].writeEntry();
        });
        const auto cutAt = worker.downUntil + this->random.between(Duration(50ms), Duration(2s));
        this->events.add(cutAt, [this, index, cutTime] {
            this->workers[index].partitionedUntil = this->now + cutTime;
        });
    }

    void restartUnnoticed(std::size_t index)
    {
        const auto cutTime = this->random.between(Duration(6s), Duration(25s));
        const auto downAt = this->now + this->random.between(Duration(0), Duration(200ms));
        const auto upAt = downAt + this->random.between(Duration(20ms), Duration(300ms));
        const auto cutAt = upAt + this->random.between(Duration(50ms), Duration(1s));
        this->workers[index].holdsLostUntil = cutAt;
        this->events.add(downAt, [this, index, upAt] {
            this->workers[index].runs.clear();
            this->workers[index].downUntil = upAt;
        });
        this->events.add(upAt, [this, index] {
            this->workers[index].restart(++this->incarnationCount, this->now);
        });
        this->events.add(cutAt, [this, index, cutTime] {
            this->workers[index].partitionedUntil = this->now + cutTime;
        });
        this->events.add(cutAt + cutTime, [this, index] { this->workers[index].writeEntry(); });
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
                leader->configure(this->caps.count(), this->services, this->caps.customers());
        }
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
            [this, id = worker.id](const RunKey &key) {
                this->cancels.noteStart(id, key.task, this->now);
                this->checkStart(id, key);
            },
            [this] {
                const auto endsAt =
                    this->now + this->random.between(Duration(200ms), this->times.longestRun);
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

    SchedulerTimes timesAfterTakeover() const
    {
        SchedulerTimes times;
        if (!this->times.waitsByConfirmation || this->leaders.empty())
            return times;
        const auto limit =
            policy::fromSeconds(policy::seconds(this->times.leaseLimit) * (1 + times.clockDrift))
            + times.leaseMargin;
        times.inheritedLease = std::max<Duration>(
            limit - (this->now - this->leaders.back()->confirmedAt), times.surveyTime);
        return times;
    }

    void startLeader()
    {
        ++this->takeovers;
        const auto fence = static_cast<std::int64_t>(this->takeovers);
        auto leader = std::make_shared<SimLeader>(fence, this->now, this->timesAfterTakeover());
        leader->configure(this->caps.count(), this->services, this->caps.customers());
        if (!this->leaders.empty()) {
            const auto &former = *this->leaders.back();
            leader->scheduler.inheritRestarts(former.recordedRestarts,
                                              former.confirmedAt - this->times.restartsMissed);
        }
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
            listing.born = worker.listedBorn;
            listing.service = this->serviceOfWorker[worker.id];
            listing.capacity = {4000, 100000, 0};
            leader.scheduler.listWorker(listing, this->now, worker.listedStart);
        }
    }

    void runLeaders()
    {
        if (this->nextLeaderAt != Instant{} && this->now >= this->nextLeaderAt) {
            this->nextLeaderAt = {};
            this->startLeader();
        }
        for (const auto &leader : this->leaders) {
            if (!leader->canSendOrders(this->times.orderLimit, this->now))
                continue;
            if (leader->hasStore) {
                leader->confirm(this->times.confirmation, this->now);
                this->listWorkers(*leader);
                this->cancels.read(*leader, this->now);
                leader->writeRows(this->storedProgress, this->times.writeDelay, this->now);
            }
            this->hold(leader);
            this->sendOrders(leader);
            this->invariants.checkCounts(leader->scheduler);
        }
    }

    Instant leasesEndBy(const SimLeader &leader) const
    {
        return leader.confirmedAt + this->times.leaseLimit;
    }

    void hold(const std::shared_ptr<SimLeader> &leader);
    void sendOrders(const std::shared_ptr<SimLeader> &leader);

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
    Cancellations cancels;
    TaskInvariants invariants{maxAttempts};
};

} // namespace sassafrasferry::scheduling::tests

#include "job_simulation_calls.h"
