// Leaders, three VMs, a plain and a lasting job and a maintenance wave on virtual time, where each
// fault strikes at a moment that the test sets: for trying orders of events one after the other. It
// checks that no task runs twice, that orders take away no more lasting tasks than may be
// unavailable, and that no VM is lost to the leader.
#pragma once

#include "availability_watch.h"
#include "event_queue.h"
#include "fault_order.h"
#include "promises.h"
#include "sim_fleet.h"

#include <memory>

namespace sassafrasferry::scheduling::tests {

using namespace std::chrono_literals;

class FaultOrderWorld
{
public:
    explicit FaultOrderWorld(std::vector<FaultAt> faults)
        : faults(std::move(faults))
    {
        this->specs["plain"] = {"payload", {stepOf(false)}, 0, 0, 0ms};
        this->specs["lasting"] = {"payload", {stepOf(true)}, 0, 0, 0ms};
        this->lead();
    }

    void run()
    {
        for (this->tick = 0; this->tick < tickCount; ++this->tick) {
            this->now += tickTime;
            this->strike();
            this->events.run(this->now);
            for (auto &worker : this->fleet.workers) {
                if (worker.alive)
                    worker.run(this->now, this->eventsOf(worker));
            }
            if (this->leadAt != Instant{} && this->now >= this->leadAt) {
                this->leadAt = {};
                this->lead();
            }
            for (const auto &leader : this->leaders)
                this->runLeader(leader);
        }
        this->checkUse();
    }

    std::vector<std::string> violations() const
    {
        auto all = this->promises.violations;
        all.insert(all.end(), this->broken.begin(), this->broken.end());
        return all;
    }

    static constexpr std::size_t vmCount = 3;

private:
    static constexpr int tickCount = 120;
    static constexpr Duration tickTime = 100ms;
    static constexpr std::size_t lastingTasks = 2;
    static constexpr std::size_t mostUnavailable = 1;
    static constexpr std::uint32_t mostAttempts = 4;
    static constexpr Duration orderLimit = 6500ms; ///< a leader orders that long without the store
    static constexpr Duration takeover = 1600ms; ///< until another leads
    static constexpr Duration holdWait = 1s; ///< until a hold without an end is answered
    static constexpr Duration retry = 100ms; ///< of a worker that was not reached
    static constexpr Duration patience = 800ms; ///< until a call counts as unanswered
    static constexpr Duration holdDelay = 300ms;
    static constexpr Duration lateness = 2500ms; ///< of an order that is carried out late
    static constexpr Duration darkFor = 8s;
    static constexpr Duration cutFor = 6s;
    static constexpr Duration migration = 1500ms; ///< until a maintained VM has its next worker
    static constexpr Duration listPeriod = 1s;
    static constexpr Duration plainTime = 2s; ///< of a task that does not last
    static constexpr Duration settling = 2s; ///< until a VM that returned is in use again

    struct SimLeader
    {
        SimLeader(std::int64_t fence, Instant now)
            : fence(fence)
            , scheduler(SchedulerTimes{}, fence * 1000, now)
            , planner(FleetTerms{})
            , confirmedAt(now)
        {}

        std::int64_t fence;
        Scheduler scheduler;
        FleetPlanner planner;
        bool alive = true;
        bool readsStore = true;
        bool writesStore = true;
        Instant confirmedAt;
        Instant listedAt{};
        std::map<std::string, Instant> holdAt; // of each worker: when it is asked again
    };

    static jobs::QueueTerms terms()
    {
        return {"q", "s", 0, mostAttempts, 2, 600ms};
    }

    static jobs::StepSpec stepOf(bool lasting)
    {
        jobs::StepSpec step;
        step.count = lasting ? lastingTasks : 1;
        step.need = {1000, 100, 0};
        step.estimate = 1s;
        step.lasting = lasting;
        step.perVmLimit = lasting ? 1 : 0;
        step.maxUnavailable = lasting ? mostUnavailable : 0;
        return step;
    }

    void later(Duration delay, std::function<void()> happen)
    {
        this->events.add(this->now + delay, std::move(happen));
    }

    void strike()
    {
        for (const auto &fault : this->faults) {
            if (fault.tick == this->tick)
                this->strike(fault);
        }
    }

    void strike(const FaultAt &fault)
    {
        auto &worker = this->fleet.workerAt(fault.vm);
        switch (fault.fault) {
        case OrderFault::WorkerRestarts:
            this->fleet.restart(worker, SimFleet::entryDelay, this->now);
            break;
        case OrderFault::WorkerRestartsUnnoticed:
            this->fleet.restart(worker, SimFleet::lateEntryDelay, this->now);
            break;
        case OrderFault::WorkerDark:
            worker.alive = false;
            worker.runs.clear();
            this->later(darkFor, [this, &worker] {
                worker.alive = true;
                this->fleet.restart(worker, SimFleet::entryDelay, this->now);
            });
            break;
        case OrderFault::WorkerCut:
            worker.cutUntil = this->now + cutFor;
            break;
        case OrderFault::HoldsDelayed:
            for (auto &entry : this->leaders.back()->holdAt)
                entry.second = std::max(entry.second, this->now) + holdDelay;
            break;
        case OrderFault::LeaderDies:
            this->leaders.back()->alive = false;
            this->leadAt = this->now + takeover;
            break;
        case OrderFault::LeaderLosesStore:
            this->leaders.back()->readsStore = false;
            [[fallthrough]];
        case OrderFault::LeaderCannotWrite:
            this->leaders.back()->writesStore = false;
            this->leadAt = this->now + takeover;
            break;
        default:
            ++this->armed[fault.fault];
        }
    }

    bool takeArmed(OrderFault fault)
    {
        auto &count = this->armed[fault];
        if (count == 0)
            return false;
        --count;
        return true;
    }

    SimWorkerEvents eventsOf(const SimWorker &worker)
    {
        return {[this, id = worker.id](const RunKey &key) { this->checkStart(id, key); },
                [this] {
                    return SimRun{this->now + this->durationOf(this->lastStarted), false};
                },
                [this](const TaskId &task, jobs::RunEnd end) { this->promises.ended(task, end); },
                [this](const ListedEnd &end) {
                    this->promises.noted(end);
                }};
    }

    void checkStart(const std::string &worker, const RunKey &key)
    {
        std::vector<std::pair<std::string, RunKey>> others;
        for (const auto &other : this->fleet.workers) {
            for (const auto &run : other.runs) {
                if (other.alive && run.first.task == key.task)
                    others.push_back({other.id, run.first});
            }
        }
        this->promises.checkStart(worker, key, others, this->specs.at(key.task.job));
        this->availability.started(key.task, this->now);
        this->lastStarted = key.task;
    }

    static Duration durationOf(const TaskId &task)
    {
        return task.job == "lasting" ? Duration(1h) : Duration(plainTime);
    }

    void note(const std::string &what)
    {
        this->broken.push_back(what + " at " + std::to_string(this->tick));
    }

    /// An order is about to end a task.
    void checkEnd(const TaskId &task)
    {
        const auto isRunning = [this](const TaskId &any) {
            return this->fleet.isRunning(any);
        };
        if (task.job == "lasting" && !this->availability.mayEnd(task, isRunning, this->now))
            this->note("an order ended " + jobs::toString(task) + " while others were away");
    }

    /// The newest leader uses every VM that it reaches.
    void checkUse()
    {
        auto &scheduler = this->leaders.back()->scheduler;
        for (std::size_t i = 0; i < vmCount; ++i) {
            const auto &vm = this->fleet.vms[i];
            const auto *worker = scheduler.workerOf(vm.name);
            const auto &incarnation = this->fleet.workerAt(i);
            const bool isSound = vm.state == VmState::Up && incarnation.alive
                                 && this->now - incarnation.bornAt > settling
                                 && this->now - incarnation.cutUntil > settling;
            if (isSound && this->leaders.back()->alive && (!worker || !worker->surveyed))
                this->note(vm.name + " is not used any more");
        }
    }

    void lead()
    {
        const auto fence = static_cast<std::int64_t>(this->leaders.size() + 1);
        auto leader = std::make_shared<SimLeader>(fence, this->now);
        Configuration configuration;
        configuration.version = 1;
        Queue queue;
        queue.terms = terms();
        configuration.queues.push_back(queue);
        configuration.services.push_back({"s", true, false});
        leader->scheduler.setConfiguration(configuration);
        for (const auto &entry : this->specs) {
            auto job = std::make_unique<Job>(entry.first, entry.second, terms(), this->now);
            job->inherited = fence > 1;
            if (const auto row = this->rows.find(entry.first); row != this->rows.end()) {
                job->restore(row->second);
                job->recordedChanges = job->changes;
            }
            leader->scheduler.addJob(std::move(job));
        }
        this->leaders.push_back(leader);
        this->listEntries(*leader);
        for (const auto &vm : this->fleet.vms)
            leader->scheduler.expectWorker(vm.worker, vm.pool);
        leader->scheduler.knowsAllWorkers();
        leader->planner.addWave({1, {"vm0", "vm1", "vm2"}, 10s, 1}, this->fleet.maintained,
                                this->now);
    }

    void listEntries(SimLeader &leader)
    {
        for (const auto &listing : this->fleet.listings(this->now))
            leader.scheduler.listWorker(listing, this->now);
    }

    void runLeader(const std::shared_ptr<SimLeader> &leader)
    {
        if (!leader->alive || this->now - leader->confirmedAt >= orderLimit)
            return;
        this->availability.watch([this](const TaskId &task) { return this->fleet.isRunning(task); },
                                 this->now);
        if (leader->readsStore)
            this->listEntries(*leader);
        if (leader->writesStore) {
            leader->confirmedAt = this->now;
            for (const auto &row :
                 leader->scheduler.takeDirty(30, [](const std::string &) { return true; })) {
                this->rows[row.id] = row.row;
                leader->scheduler.recorded(row);
            }
        }
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
    }

    // One hold is always under way; it is answered at its end, or fails with the worker's
    // incarnation.
    void hold(const std::shared_ptr<SimLeader> &leader, const std::string &id)
    {
        auto &next = leader->holdAt[id];
        if (this->now < next)
            return;
        auto &worker = this->fleet.worker(id);
        const auto until = leader->scheduler.leaseUntil(id, this->now);
        if (!worker.isReached(this->now)) {
            next = this->now + retry;
            return;
        }
        const bool isSurvey = !leader->scheduler.findWorker(id)->surveyed;
        const auto asked = this->now;
        const auto acknowledged = leader->scheduler.acknowledged(id);
        const auto first =
            worker.hold(leader->fence, acknowledged, until, this->now, this->eventsOf(worker));
        if (!first) {
            leader->alive = false;
            return;
        }
        const auto wait = isSurvey || !first->ended.empty() ? Duration::zero() : holdWait;
        next = this->now + std::max<Duration>(wait, tickTime);
        if (wait == Duration::zero()) {
            leader->scheduler.report(*first, asked, this->now);
            return;
        }
        this->later(wait, [this, leader, id, asked, born = worker.born] {
            auto &answering = this->fleet.worker(id);
            if (!leader->alive || !answering.isReached(this->now) || answering.born != born)
                return;
            const auto report = answering.hold(leader->fence, 0, std::nullopt, this->now,
                                               this->eventsOf(answering));
            if (report)
                leader->scheduler.report(*report, asked, this->now);
            else
                leader->alive = false;
        });
    }

    template<typename Call, typename Answered>
    void exchange(const std::shared_ptr<SimLeader> &leader, const std::string &id, bool isLate,
                  bool isLost, Call call, Answered answered)
    {
        const auto answer = [this, leader, answered](OrderAnswer result, Duration delay) {
            this->later(delay, [leader, answered, result] {
                if (leader->alive)
                    answered(result);
            });
        };
        if (isLate) {
            this->later(lateness, [this, id, call] {
                auto &worker = this->fleet.worker(id);
                if (worker.isReached(this->now))
                    call(worker);
            });
            answer(OrderAnswer::NoAnswer, patience);
            return;
        }
        auto &worker = this->fleet.worker(id);
        if (!worker.isReached(this->now)) {
            answer(OrderAnswer::NoAnswer, patience);
            return;
        }
        const auto result = call(worker);
        answer(isLost ? OrderAnswer::NoAnswer : result, isLost ? patience : tickTime);
    }

    void order(const std::shared_ptr<SimLeader> &leader)
    {
        const auto orders = leader->scheduler.plan(this->now, 0);
        for (const auto &stop : orders.stops) {
            this->exchange(
                leader, stop.worker, this->takeArmed(OrderFault::StopLate), false,
                [this, stop, fence = leader->fence](SimWorker &worker) {
                    const bool isHere = worker.runs.count({stop.task, stop.run}) != 0;
                    if (isHere && fence >= worker.fence)
                        this->checkEnd(stop.task);
                    return worker.stop(stop, fence, this->eventsOf(worker));
                },
                [this, leader, stop](OrderAnswer answer) {
                    leader->scheduler.stopAnswered(stop, answer, this->now);
                });
        }
        for (const auto &start : orders.starts) {
            const auto until = leader->scheduler.leaseUntil(start.worker, this->now);
            if (!until) {
                leader->scheduler.startAnswered(start, OrderAnswer::NotSent, this->now);
                continue;
            }
            this->exchange(
                leader, start.worker, this->takeArmed(OrderFault::StartLate),
                this->takeArmed(OrderFault::StartUnanswered),
                [this, start, until, fence = leader->fence](SimWorker &worker) {
                    return worker.start(start, *until, fence, this->now, this->eventsOf(worker));
                },
                [this, leader, start](OrderAnswer answer) {
                    leader->scheduler.startAnswered(start, answer, this->now);
                });
        }
    }

    void orderVms(const std::shared_ptr<SimLeader> &leader)
    {
        if (this->now - leader->listedAt >= listPeriod) {
            leader->listedAt = this->now;
            leader->planner.listVms(this->fleet.vms, this->now);
        }
        for (const auto &order : leader->planner.plan(leader->scheduler, this->now, 0)) {
            const auto vm = static_cast<std::size_t>(std::stoul(order.vm.substr(2)));
            const bool isLost = this->takeArmed(OrderFault::VmOrderUnanswered);
            const auto answer = this->carryOut(order, vm);
            this->later(isLost ? patience : tickTime, [this, leader, order, answer, isLost] {
                if (leader->alive)
                    leader->planner.answered(order, isLost ? FleetAnswer::NoAnswer : answer,
                                             leader->scheduler, this->now);
            });
        }
    }

    FleetAnswer carryOut(const FleetOrder &order, std::size_t vm)
    {
        if (order.action != FleetAction::Maintain)
            return FleetAnswer::Impossible;
        const bool isNew = this->fleet.maintained.count(order.vm) == 0;
        const auto answer =
            this->fleet.maintain(vm, [this](const TaskId &task) { this->checkEnd(task); });
        if (isNew && answer == FleetAnswer::Accepted)
            this->later(migration, [this, vm] { this->fleet.join(vm, this->now); });
        return answer;
    }

    std::vector<FaultAt> faults;
    int tick = 0;
    Instant now = Instant(1h);
    Instant leadAt{};
    SimFleet fleet{vmCount, this->now};
    std::vector<std::shared_ptr<SimLeader>> leaders; // the last one is the newest
    EventQueue events;
    std::map<OrderFault, int> armed; // faults that wait for the next order of their kind
    std::map<std::string, jobs::JobSpec> specs;
    std::map<std::string, messages::JobProgress> rows; // the store
    TaskId lastStarted;
    Promises promises{mostAttempts};
    AvailabilityWatch availability{"lasting", lastingTasks, mostUnavailable};
    std::vector<std::string> broken; // beside the promises
};

} // namespace sassafrasferry::scheduling::tests
