// A world of workers and leaders on virtual time, with faults drawn from a seed: answers are lost,
// orders are carried out seconds late, workers crash, go dark, are cut off and are restarted, and
// leaders die or go on without the store. It checks what callers were promised at each start.
#pragma once

#include "event_queue.h"
#include "faults.h"
#include "promises.h"
#include "sim_worker.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace sassafrasferry::scheduling::tests {

class JobWorld
{
public:
    JobWorld(std::uint64_t seed, Faults faults)
        : random(seed)
        , faults(faults)
    {
        for (int i = 0; i < workerCount; ++i)
            this->addWorker();
        this->lead();
    }

    void addJob(const std::string &id, jobs::JobSpec spec)
    {
        this->intake[id] = spec;
        for (auto &leader : this->leaders) {
            if (leader->hasStore)
                this->give(*leader, id);
        }
    }

    /// Runs for a while, with faults or without.
    void run(Duration duration, bool withFaults)
    {
        const auto end = this->now + duration;
        while (this->now < end) {
            this->now += step;
            if (withFaults)
                this->drawFaults();
            this->events.run(this->now);
            this->runWorkers();
            this->runLeaders();
        }
    }

    /// Jobs that are not over.
    std::size_t openJobs() const
    {
        std::size_t open = 0;
        for (const auto &entry : this->intake) {
            const auto row = this->rows.find(entry.first);
            const bool isOver = row != this->rows.end()
                                && jobs::isFinal(static_cast<JobState>(row->second.state()));
            open += isOver ? 0 : 1;
        }
        return open;
    }

    /// What was broken of what callers were promised.
    const std::vector<std::string> &violations() const
    {
        return this->promises.violations;
    }

    std::size_t starts() const
    {
        return this->promises.starts;
    }

    std::size_t takeovers = 0;

private:
    static constexpr int workerCount = 6;
    static constexpr Duration step = 5ms;
    static constexpr std::uint32_t mostAttempts = 4;

    struct SimLeader
    {
        explicit SimLeader(std::int64_t fence, Instant now, SchedulerTimes times)
            : fence(fence)
            , scheduler(times, fence * 1000, now)
            , confirmedAt(now)
        {}

        std::int64_t fence;
        Scheduler scheduler;
        bool alive = true;
        bool hasStore = true;
        Instant confirmedAt;
        std::map<std::string, Instant> holdAt; // of each worker: when the next hold is sent
        std::deque<std::pair<Instant, DirtyJob>> writes;
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
    }

    Duration between(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(least.count(),
                                                                     most.count())(this->random));
    }

    void later(Duration delay, std::function<void()> happen)
    {
        this->events.add(this->now + delay, std::move(happen));
    }

    void addWorker()
    {
        SimWorker worker;
        worker.id = "w" + std::to_string(this->workers.size());
        worker.born = ++this->births;
        worker.bornAt = this->now;
        worker.clockRate = std::uniform_real_distribution<double>(0.98, 1)(this->random);
        this->workers.push_back(worker);
    }

    void drawFaults()
    {
        const double tick = policy::seconds(step);
        for (std::size_t i = 0; i < this->workers.size(); ++i) {
            if (!this->workers[i].alive)
                continue;
            if (this->chance(this->faults.crash * tick))
                this->workers[i].rebirth(++this->births, this->now);
            if (this->chance(this->faults.cut * tick))
                this->workers[i].cutUntil = this->now + this->between(1s, 9s);
            if (this->chance(this->faults.dark * tick)) {
                this->workers[i].alive = false;
                this->workers[i].gone = true;
                this->workers[i].runs.clear();
                this->addWorker();
            }
        }
        auto &leader = *this->leaders.back();
        const bool dies = this->chance(this->faults.leaderLoss * tick);
        const bool isCut = !dies && this->chance(this->faults.storeCut * tick);
        if (!leader.alive || !leader.hasStore || (!dies && !isCut))
            return;
        leader.alive = !dies;
        leader.hasStore = false;
        this->leadAt = this->now + this->times.takeover;
    }

    void runWorkers()
    {
        for (auto &worker : this->workers) {
            if (worker.alive)
                worker.run(this->now, this->eventsOf(worker));
        }
    }

    SimWorkerEvents eventsOf(const SimWorker &worker)
    {
        return {[this, id = worker.id](const RunKey &key) { this->checkStart(id, key); },
                [this] {
                    const auto endsAt = this->now + this->between(200ms, 2500ms);
                    return SimRun{endsAt, this->chance(this->faults.failure)};
                },
                [this](const TaskId &task, jobs::RunEnd end) { this->promises.ended(task, end); },
                [this](const ListedEnd &end) {
                    this->promises.noted(end);
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
        this->promises.checkStart(worker, key, others, this->intake.at(key.task.job));
    }

    // Leaders.
    void lead()
    {
        ++this->takeovers;
        const auto fence = static_cast<std::int64_t>(this->takeovers);
        auto leader = std::make_shared<SimLeader>(fence, this->now, SchedulerTimes{});
        Configuration configuration;
        configuration.version = 1;
        Queue queue;
        queue.terms = terms();
        configuration.queues.push_back(queue);
        leader->scheduler.setConfiguration(configuration);
        this->leaders.push_back(leader);
        for (const auto &entry : this->intake)
            this->give(*leader, entry.first);
        this->list(*leader);
        leader->scheduler.knowsAllWorkers();
    }

    static jobs::QueueTerms terms()
    {
        jobs::QueueTerms terms;
        terms.queue = "q";
        terms.service = "s";
        terms.maxAttempts = mostAttempts;
        terms.stretch = 2;
        return terms;
    }

    void give(SimLeader &leader, const std::string &id)
    {
        auto job = std::make_unique<Job>(id, this->intake[id], terms(), this->now);
        job->inherited = leader.fence > 1;
        if (const auto row = this->rows.find(id); row != this->rows.end()) {
            job->restore(row->second);
            job->recordedChanges = job->changes;
        }
        leader.scheduler.addJob(std::move(job));
    }

    void list(SimLeader &leader)
    {
        for (const auto &worker : this->workers) {
            if (worker.gone && leader.fence == 1)
                continue;
            WorkerListing listing;
            listing.id = worker.id;
            listing.born = worker.born;
            listing.service = "s";
            listing.capacity = {4000, 100000, 0};
            leader.scheduler.listWorker(listing, this->now);
        }
    }

    bool mayOrder(const SimLeader &leader) const
    {
        return leader.alive && this->now - leader.confirmedAt < this->times.orderLimit;
    }

    void runLeaders()
    {
        if (this->leadAt != Instant{} && this->now >= this->leadAt) {
            this->leadAt = {};
            this->lead();
        }
        for (const auto &leader : this->leaders) {
            if (!this->mayOrder(*leader))
                continue;
            if (leader->hasStore) {
                leader->confirmedAt = this->now;
                this->list(*leader);
                this->record(*leader);
            }
            this->hold(leader);
            this->order(leader);
        }
    }

    void record(SimLeader &leader)
    {
        for (auto &row : leader.scheduler.takeDirty(30, [](const std::string &) { return true; }))
            leader.writes.push_back({this->now + this->times.record, std::move(row)});
        while (!leader.writes.empty() && leader.writes.front().first <= this->now) {
            const auto row = leader.writes.front().second;
            leader.writes.pop_front();
            this->rows[row.id] = row.row;
            leader.scheduler.recorded(row);
        }
    }

    // What an exchange with a worker comes to: the call may be lost, late, or its answer lost.
    void exchange(const std::shared_ptr<SimLeader> &leader, std::size_t index, std::int64_t born,
                  std::function<OrderAnswer(SimWorker &)> call,
                  std::function<void(OrderAnswer)> answered)
    {
        const auto timeout = 800ms;
        const auto give = [this, leader, answered](OrderAnswer answer, Duration delay) {
            this->later(delay, [leader, answered, answer] {
                if (leader->alive)
                    answered(answer);
            });
        };
        if (this->chance(this->faults.lateOrder)) {
            this->later(this->between(2s, 12s), [this, index, born, call] {
                auto &worker = this->workers[index];
                if (worker.isReached(this->now) && worker.born == born)
                    call(worker);
            });
            give(OrderAnswer::NoAnswer, timeout);
            return;
        }
        this->later(this->between(1ms, 20ms), [this, index, call, give, timeout] {
            auto &worker = this->workers[index];
            if (!worker.isReached(this->now)) {
                give(OrderAnswer::NoAnswer, timeout);
                return;
            }
            const auto answer = call(worker);
            const bool isLost = this->chance(this->faults.lostAnswer);
            give(isLost ? OrderAnswer::NoAnswer : answer, isLost ? timeout : 3ms);
        });
    }

    void hold(const std::shared_ptr<SimLeader> &leader)
    {
        for (std::size_t i = 0; i < this->workers.size(); ++i) {
            const auto id = this->workers[i].id;
            auto &next = leader->holdAt[id];
            if (this->now < next || !leader->scheduler.findWorker(id))
                continue;
            next = this->now + this->times.hold;
            const auto asked = this->now;
            const auto ack = leader->scheduler.acknowledged(id);
            const auto until = leader->scheduler.leaseUntil(id, this->now);
            this->later(this->between(1ms, 20ms), [this, leader, i, asked, ack, until] {
                auto &worker = this->workers[i];
                if (!worker.isReached(this->now))
                    return;
                const auto report =
                    worker.hold(leader->fence, ack, until, this->now, this->eventsOf(worker));
                if (this->chance(this->faults.lostAnswer))
                    return;
                this->later(this->between(1ms, 20ms), [this, leader, report, asked] {
                    if (!leader->alive)
                        return;
                    if (report)
                        leader->scheduler.report(*report, asked, this->now);
                    else
                        leader->alive = false; // deposed
                });
            });
        }
    }

    void order(const std::shared_ptr<SimLeader> &leader)
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
                    return worker.start(start, *until, fence, this->now, this->eventsOf(worker));
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
                    return worker.stop(stop, fence, this->eventsOf(worker));
                },
                [this, leader, stop](OrderAnswer answer) {
                    leader->scheduler.stopAnswered(stop, answer, this->now);
                });
        }
    }

    std::mt19937_64 random;
    Faults faults;
    WorldTimes times;
    Instant now = Instant(1h);
    Instant leadAt{};
    std::vector<SimWorker> workers;
    std::vector<std::shared_ptr<SimLeader>> leaders; // the last one is the newest
    std::int64_t births = 0;
    EventQueue events;
    std::map<std::string, jobs::JobSpec> intake;
    std::map<std::string, messages::JobProgress> rows; // the store
    Promises promises{mostAttempts};
};

} // namespace sassafrasferry::scheduling::tests
