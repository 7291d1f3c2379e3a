// A simulation of workers and leaders on virtual time with random faults from a seed: answers are
// lost, orders are executed seconds late, workers crash, disappear for good, are partitioned or
// restarted, and leaders die or continue without the store. Each start of a task is checked against
// the guarantees given to callers.
#pragma once

#include "event_queue.h"
#include "fault_rates.h"
#include "sim_worker.h"
#include "task_invariants.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>

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
            this->changeCap();
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
            this->jobsOfCustomer.insert(id);
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
                this->restoreCap();
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

    std::size_t takeovers = 0;
    std::size_t startsAtCap = 0; ///< starts after which the customer had less than a task left

private:
    static constexpr std::size_t workerCount = 6;
    static constexpr Duration step = 5ms;
    static constexpr std::uint32_t maxAttempts = 4;
    static constexpr auto customer = "a";
    static constexpr std::int64_t mostCores = 20; // of the customer's cap

    struct SimLeader
    {
        explicit SimLeader(std::int64_t fence, Instant now, SchedulerTimes times)
            : fence(fence)
            , startedAt(now)
            , scheduler(times, fence * 1000, now)
            , confirmedAt(now)
        {}

        std::int64_t fence;
        Instant startedAt;
        Scheduler scheduler;
        bool alive = true;
        bool hasStore = true;
        Instant confirmedAt;
        std::size_t knownCaps = 0; // the number of caps that were in force up to its configuration
        Instant nextCapAt{};
        std::map<std::string, Instant> nextHoldAt; // by worker: when the next hold is sent
        std::deque<std::pair<Instant, DirtyJob>> writes;
    };

    // Entry VMs hand new jobs to the leader that they know. They learn of a newer one late.
    bool isHandedJobs(const SimLeader &leader) const
    {
        const auto &newest = *this->leaders.back();
        return leader.fence == newest.fence
               || (leader.fence + 1 == newest.fence
                   && this->now - newest.startedAt < this->times.leaderNews);
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
    }

    Duration randomDuration(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(least.count(),
                                                                     most.count())(this->random));
    }

    void runAfter(Duration delay, std::function<void()> callback)
    {
        this->events.add(this->now + delay, std::move(callback));
    }

    void addWorker(const std::string &service)
    {
        SimWorker worker;
        worker.id = "w" + std::to_string(this->workers.size());
        worker.born = ++this->incarnationCount;
        worker.startedAt = this->now;
        worker.clockRate = std::uniform_real_distribution<double>(0.98, 1)(this->random);
        this->serviceOfWorker[worker.id] = service;
        this->workers.push_back(worker);
    }

    void injectFaults()
    {
        const double tick = policy::seconds(step);
        for (std::size_t i = 0; i < this->workers.size(); ++i) {
            if (!this->workers[i].alive)
                continue;
            if (this->chance(this->faults.crash * tick))
                this->workers[i].restart(++this->incarnationCount, this->now);
            if (this->chance(this->faults.partition * tick))
                this->workers[i].partitionedUntil = this->now + this->randomDuration(1s, 9s);
            if (this->chance(this->faults.permanentLoss * tick)) {
                this->workers[i].alive = false;
                this->workers[i].isLost = true;
                this->workers[i].runs.clear();
                this->addWorker(this->serviceOfWorker[this->workers[i].id]);
            }
        }
        if (this->chance(this->faults.capChange * tick))
            this->changeCap();
        auto &leader = *this->leaders.back();
        const bool dies = this->chance(this->faults.leaderLoss * tick);
        const bool losesStore = !dies && this->chance(this->faults.storeLoss * tick);
        if (!leader.alive || !leader.hasStore || (!dies && !losesStore))
            return;
        leader.alive = !dies;
        leader.hasStore = false;
        this->nextLeaderAt = this->now + this->times.takeover;
    }

    void changeCap()
    {
        constexpr std::int64_t least = 5; // cores
        const auto cores =
            std::uniform_int_distribution<std::int64_t>(least, mostCores)(this->random);
        this->caps.push_back({this->now, cores * 1000});
    }

    // The smallest caps leave too little room for all jobs to end in time.
    void restoreCap()
    {
        if (!this->caps.empty() && this->caps.back().cpu != mostCores * 1000)
            this->caps.push_back({this->now, mostCores * 1000});
    }

    // Leaders with the store learn of a new cap late.
    void passOnCap()
    {
        for (const auto &leader : this->leaders) {
            if (!leader->hasStore || leader->knownCaps == this->caps.size())
                continue;
            if (leader->nextCapAt == Instant{})
                leader->nextCapAt =
                    this->now + this->randomDuration(0ms, this->times.configurationDelay);
            if (this->now >= leader->nextCapAt)
                this->configure(*leader);
        }
    }

    void configure(SimLeader &leader)
    {
        leader.knownCaps = this->caps.size();
        leader.nextCapAt = {};
        Configuration configuration;
        configuration.version = static_cast<std::int64_t>(leader.knownCaps) + 1;
        for (const auto &service : this->services) {
            Queue queue;
            queue.terms = termsOf(service);
            configuration.queues.push_back(queue);
        }
        if (!this->caps.empty())
            configuration.customers = {{customer, {}, 0, {this->caps.back().cpu, 0, 0}}};
        leader.scheduler.setConfiguration(configuration);
    }

    // The largest cap that a start may follow now.
    std::int64_t largestCapInForce() const
    {
        std::int64_t largest = this->caps.back().cpu;
        for (std::size_t i = 0; i + 1 < this->caps.size(); ++i) {
            if (this->now - this->caps[i + 1].since < this->times.capGrace)
                largest = std::max(largest, this->caps[i].cpu);
        }
        return largest;
    }

    std::int64_t usedByCustomer() const
    {
        std::int64_t used = 0;
        for (const auto &worker : this->workers) {
            for (const auto &run : worker.runs) {
                const auto &task = run.first.task;
                if (worker.alive && this->jobsOfCustomer.count(task.job) != 0)
                    used += this->submittedJobs.at(task.job).steps[task.step].need.cpu;
            }
        }
        return used;
    }

    // At most 1.1 times the cap and one task more may run.
    void checkCap(const RunKey &key)
    {
        if (this->jobsOfCustomer.count(key.task.job) == 0)
            return;
        const auto need = this->submittedJobs.at(key.task.job).steps[key.task.step].need.cpu;
        const auto used = this->usedByCustomer();
        const auto cap = this->largestCapInForce();
        if (used * 10 > cap * 11)
            this->invariants.violations.push_back("above the cap: " + std::to_string(used) + " of "
                                                  + std::to_string(cap) + " before "
                                                  + jobs::toString(key.task));
        this->startsAtCap += used + need * 2 > cap ? 1 : 0;
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
                const auto endsAt = this->now + this->randomDuration(200ms, 2500ms);
                return SimRun{endsAt, this->chance(this->faults.failure)};
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
        this->checkCap(key);
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

    static jobs::QueueTerms termsOf(const std::string &service)
    {
        jobs::QueueTerms terms;
        terms.queue = "queue-of-" + service;
        terms.service = service;
        terms.maxAttempts = maxAttempts;
        terms.stretch = 2;
        return terms;
    }

    void addJobTo(SimLeader &leader, const std::string &id, bool isLoading)
    {
        auto job = std::make_unique<Job>(id, this->submittedJobs[id],
                                         termsOf(this->serviceOfJob.at(id)), this->now);
        job->inherited = isLoading;
        if (this->jobsOfCustomer.count(id) != 0)
            job->customer = customer;
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

    // Calls a worker. The call may not arrive or be executed late, and its answer may be lost.
    void exchange(const std::shared_ptr<SimLeader> &leader, std::size_t index, std::int64_t born,
                  std::function<OrderAnswer(SimWorker &)> call,
                  std::function<void(OrderAnswer)> answered)
    {
        const auto timeout = 800ms;
        const auto answerAfter = [this, leader, answered](OrderAnswer answer, Duration delay) {
            this->runAfter(delay, [leader, answered, answer] {
                if (leader->alive)
                    answered(answer);
            });
        };
        if (this->chance(this->faults.lateOrder)) {
            this->runAfter(this->randomDuration(2s, 12s), [this, index, born, call] {
                auto &worker = this->workers[index];
                if (worker.isReachable(this->now) && worker.born == born)
                    call(worker);
            });
            answerAfter(OrderAnswer::NoAnswer, timeout);
            return;
        }
        this->runAfter(this->randomDuration(1ms, 20ms), [this, index, call, answerAfter, timeout] {
            auto &worker = this->workers[index];
            if (!worker.isReachable(this->now)) {
                answerAfter(OrderAnswer::NoAnswer, timeout);
                return;
            }
            const auto answer = call(worker);
            const bool isLost = this->chance(this->faults.lostAnswer);
            answerAfter(isLost ? OrderAnswer::NoAnswer : answer, isLost ? timeout : 3ms);
        });
    }

    void hold(const std::shared_ptr<SimLeader> &leader)
    {
        for (std::size_t i = 0; i < this->workers.size(); ++i) {
            const auto id = this->workers[i].id;
            const auto [entry, isNew] = leader->nextHoldAt.try_emplace(id, this->now);
            auto &next = entry->second;
            if (isNew && leader->fence > 1)
                next += this->randomDuration(0ms, this->times.firstHoldDelay);
            if (this->now < next || !leader->scheduler.findWorker(id))
                continue;
            next = this->now + this->times.holdInterval;
            const auto asked = this->now;
            const auto ack = leader->scheduler.acknowledged(id);
            const auto until = leader->scheduler.leaseUntil(id, this->now);
            this->runAfter(this->randomDuration(1ms, 20ms), [this, leader, i, asked, ack, until] {
                auto &worker = this->workers[i];
                if (!worker.isReachable(this->now))
                    return;
                const auto report =
                    worker.hold(leader->fence, ack, until, this->now, this->callbacksFor(worker));
                if (this->chance(this->faults.lostAnswer))
                    return;
                this->runAfter(this->randomDuration(1ms, 20ms), [this, leader, report, asked] {
                    if (!leader->alive)
                        return;
                    if (report)
                        leader->scheduler.report(*report, asked, this->now);
                    else
                        leader->alive = false; // the worker knows a newer leader
                });
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
            this->exchange(
                leader, index, this->workers[index].born,
                [this, start, until, fence = leader->fence](SimWorker &worker) {
                    return worker.start(start, *until, fence, this->now,
                                        this->callbacksFor(worker));
                },
                [this, leader, start](OrderAnswer answer) {
                    leader->scheduler.startAnswered(start, answer, this->now);
                });
        }
        for (const auto &stop : orders.stops) {
            const auto index = static_cast<std::size_t>(std::stoul(stop.worker.substr(1)));
            this->exchange(
                leader, index, this->workers[index].born,
                [this, stop, fence = leader->fence](SimWorker &worker) {
                    return worker.stop(stop, fence, this->callbacksFor(worker));
                },
                [this, leader, stop](OrderAnswer answer) {
                    leader->scheduler.stopAnswered(stop, answer, this->now);
                });
        }
    }

    std::mt19937_64 random;
    FaultRates faults;
    SimulationTimes times;
    Instant now = Instant(1h);
    Instant nextLeaderAt{};
    std::vector<SimWorker> workers;
    std::vector<std::shared_ptr<SimLeader>> leaders; // the newest is last
    std::int64_t incarnationCount = 0;
    EventQueue events;
    std::map<std::string, jobs::JobSpec> submittedJobs;
    std::vector<std::string> services{"s"};
    std::map<std::string, std::string> serviceOfWorker;
    std::map<std::string, std::string> serviceOfJob;
    std::set<std::string> jobsOfCustomer;
    struct Cap
    {
        Instant since;
        std::int64_t cpu;
    };
    std::vector<Cap> caps; // the customer's, oldest first
    std::map<std::string, messages::JobProgress> storedProgress; // the store, by job
    TaskInvariants invariants{maxAttempts};
};

} // namespace sassafrasferry::scheduling::tests
