// A world of workers and leaders on virtual time, with faults drawn from a seed: answers are lost,
// orders are carried out seconds late, workers crash, go dark, are cut off and are born again, and
// leaders die or go on without the store. It checks what callers were promised at each start.
#pragma once

#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>

namespace sassafrasferry::scheduling::tests {

using namespace std::chrono_literals;

/// Which faults a world draws, as chances a second.
struct Faults
{
    double lostAnswer = 0; ///< of each order and hold
    double lateOrder = 0; ///< of each start and stop: carried out 2 to 12 s later, unanswered
    double crash = 0; ///< of each worker: it dies and is born again under its id
    double dark = 0; ///< of each worker: it is gone for good, in silence
    double cut = 0; ///< of each worker: nobody reaches it for some seconds, and it runs on
    double leaderLoss = 0; ///< the leader dies
    double storeCut = 0; ///< the leader loses the store, and goes on ordering for a while
    double failure = 0; ///< of each run
};

/// The times a world shares with what does the I/O.
struct WorldTimes
{
    Duration orderLimit = 6500ms; ///< a leader orders that long without the store
    Duration takeover = 1600ms; ///< until another leads
    Duration hold = 100ms; ///< between two holds of a worker
    Duration record = 30ms; ///< until a row is in the store
};

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
            this->deliver();
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

    std::vector<std::string> violations;
    std::size_t starts = 0;
    std::size_t takeovers = 0;

private:
    static constexpr int workerCount = 6;
    static constexpr Duration step = 5ms;
    static constexpr std::uint32_t mostAttempts = 4;

    struct SimRun
    {
        Instant endsAt{};
        bool fails = false;
    };

    struct SimWorker
    {
        std::string id;
        std::int64_t born = 0;
        Instant bornAt{};
        double clockRate = 1;
        bool alive = true;
        bool gone = false; // for good, though still listed for a while
        Instant cutUntil{};
        std::int64_t fence = 0;
        std::int64_t until = 0; // end of the lease, by its clock
        std::map<RunKey, SimRun> runs;
        std::map<TaskId, std::int64_t> highestEnded;
        std::deque<ListedEnd> ends;
        std::int64_t lastEnd = 0;
    };

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

    struct Message
    {
        Instant at;
        std::uint64_t number = 0;
        std::function<void()> deliver;

        bool operator>(const Message &other) const
        {
            return std::tie(this->at, this->number) > std::tie(other.at, other.number);
        }
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

    void later(Duration delay, std::function<void()> deliver)
    {
        this->messages.push({this->now + delay, ++this->messageNumber, std::move(deliver)});
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

    std::int64_t clockOf(const SimWorker &worker) const
    {
        return 1
               + static_cast<std::int64_t>(policy::seconds(this->now - worker.bornAt) * 1000
                                           * worker.clockRate);
    }

    bool reaches(const SimWorker &worker) const
    {
        return worker.alive && this->now >= worker.cutUntil;
    }

    void drawFaults()
    {
        const double tick = policy::seconds(step);
        for (std::size_t i = 0; i < this->workers.size(); ++i) {
            if (!this->workers[i].alive)
                continue;
            if (this->chance(this->faults.crash * tick))
                this->rebirth(this->workers[i]);
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

    void rebirth(SimWorker &worker)
    {
        worker.born = ++this->births;
        worker.bornAt = this->now;
        worker.fence = 0;
        worker.until = 0;
        worker.runs.clear();
        worker.highestEnded.clear();
        worker.ends.clear();
        worker.lastEnd = 0;
    }

    void deliver()
    {
        while (!this->messages.empty() && this->messages.top().at <= this->now) {
            const auto message = this->messages.top();
            this->messages.pop();
            message.deliver();
        }
    }

    void endRun(SimWorker &worker, const RunKey &key, jobs::RunEnd end)
    {
        worker.runs.erase(key);
        auto &highest = worker.highestEnded[key.task];
        highest = std::max(highest, key.number);
        worker.ends.push_back({++worker.lastEnd, key.task, key.number, end, ""});
        if (end == jobs::RunEnd::Done)
            this->doneOn[key.task] = worker.id + "/" + std::to_string(worker.born);
    }

    void runWorkers()
    {
        for (auto &worker : this->workers) {
            if (!worker.alive)
                continue;
            const bool lapsed = this->clockOf(worker) > worker.until;
            std::vector<std::pair<RunKey, jobs::RunEnd>> over;
            for (const auto &entry : worker.runs) {
                if (lapsed)
                    over.push_back({entry.first, jobs::RunEnd::Lapsed});
                else if (this->now >= entry.second.endsAt)
                    over.push_back({entry.first, entry.second.fails ? jobs::RunEnd::Failed
                                                                    : jobs::RunEnd::Done});
            }
            for (const auto &end : over)
                this->endRun(worker, end.first, end.second);
        }
    }

    // The checks: what callers were promised.
    void checkStart(const SimWorker &worker, const RunKey &key)
    {
        ++this->starts;
        const auto name =
            jobs::toString(key.task) + " run " + std::to_string(key.number) + " on " + worker.id;
        for (const auto &other : this->workers) {
            if (!other.alive)
                continue;
            for (const auto &run : other.runs) {
                if (run.first.task == key.task)
                    this->violations.push_back("two runs: " + name + " and "
                                               + std::to_string(run.first.number) + " on "
                                               + other.id);
            }
        }
        if (this->doneNoted.count(key.task) != 0)
            this->violations.push_back("run again after a noted end: " + name);
        const auto failed = this->failuresNoted.find(key.task);
        if (failed != this->failuresNoted.end() && failed->second.size() >= mostAttempts)
            this->violations.push_back("over its attempts: " + name);
        const auto &spec = this->intake.at(key.task.job);
        for (const auto before : spec.steps[key.task.step].after) {
            for (std::size_t i = 0; i < spec.steps[before].count; ++i) {
                if (this->doneOn.count({key.task.job, 0, before, i}) == 0)
                    this->violations.push_back("before its time: " + name);
            }
        }
    }

    OrderAnswer startAt(SimWorker &worker, const StartOrder &order, std::int64_t until,
                        std::int64_t fence)
    {
        if (fence < worker.fence)
            return OrderAnswer::Fenced;
        worker.fence = fence;
        const RunKey key{order.task, order.run};
        if (worker.runs.count(key) != 0)
            return OrderAnswer::Accepted;
        if (until < this->clockOf(worker))
            return OrderAnswer::Expired;
        worker.until = std::max(worker.until, until);
        const auto highest = worker.highestEnded.find(order.task);
        if (highest != worker.highestEnded.end() && highest->second >= order.run)
            return OrderAnswer::Superseded;
        this->checkStart(worker, key);
        worker.runs[key] = {this->now + this->between(200ms, 2500ms),
                            this->chance(this->faults.failure)};
        return OrderAnswer::Accepted;
    }

    OrderAnswer stopAt(SimWorker &worker, const StopOrder &order, std::int64_t fence)
    {
        if (fence < worker.fence)
            return OrderAnswer::Fenced;
        worker.fence = fence;
        const RunKey key{order.task, order.run};
        if (worker.runs.count(key) != 0)
            this->endRun(worker, key, jobs::RunEnd::Stopped);
        auto &highest = worker.highestEnded[order.task];
        highest = std::max(highest, order.run);
        return OrderAnswer::Accepted;
    }

    std::optional<WorkerReport> holdAt(SimWorker &worker, std::int64_t fence, std::int64_t ack,
                                       std::optional<std::int64_t> until)
    {
        if (fence < worker.fence)
            return std::nullopt;
        worker.fence = fence;
        if (until)
            worker.until = std::max(worker.until, *until);
        while (!worker.ends.empty() && worker.ends.front().number <= ack) {
            this->noteEnd(worker.ends.front());
            worker.ends.pop_front();
        }
        WorkerReport report;
        report.worker = worker.id;
        report.born = worker.born;
        report.clock = this->clockOf(worker);
        for (const auto &run : worker.runs)
            report.running.push_back({run.first.task, run.first.number, "", 100, 0});
        report.ended.assign(worker.ends.begin(), worker.ends.end());
        return report;
    }

    void noteEnd(const ListedEnd &end)
    {
        if (end.end == jobs::RunEnd::Done)
            this->doneNoted.insert(end.task);
        if (end.end == jobs::RunEnd::Failed)
            this->failuresNoted[end.task].insert(end.run);
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
                if (this->reaches(worker) && worker.born == born)
                    call(worker);
            });
            give(OrderAnswer::NoAnswer, timeout);
            return;
        }
        this->later(this->between(1ms, 20ms), [this, index, call, give, timeout] {
            auto &worker = this->workers[index];
            if (!this->reaches(worker)) {
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
                if (!this->reaches(worker))
                    return;
                const auto report = this->holdAt(worker, leader->fence, ack, until);
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
                    return this->startAt(worker, start, *until, fence);
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
                    return this->stopAt(worker, stop, fence);
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
    std::uint64_t messageNumber = 0;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> messages;
    std::map<std::string, jobs::JobSpec> intake;
    std::map<std::string, messages::JobProgress> rows; // the store
    std::map<TaskId, std::string> doneOn;
    std::set<TaskId> doneNoted; // acknowledged at a worker
    std::map<TaskId, std::set<std::int64_t>> failuresNoted;
};

} // namespace sassafrasferry::scheduling::tests
