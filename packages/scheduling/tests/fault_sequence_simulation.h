// A simulation of leaders, three VMs, a plain and a lasting job and a maintenance wave on virtual
// time. The test sets the time of each fault, so that it can try many sequences of faults. The
// simulation checks that no task runs twice, that orders end no more lasting tasks at a time than
// may be unavailable, and that the leader keeps using every reachable VM.
#pragma once

#include "availability_watch.h"
#include "event_queue.h"
#include "fault_sequence_setup.h"
#include "injected_fault.h"
#include "sim_fleet.h"
#include "task_invariants.h"

#include <memory>

namespace sassafrasferry::scheduling::tests {

using namespace std::chrono_literals;

class FaultSequenceSimulation : FaultSequenceSetup
{
public:
    explicit FaultSequenceSimulation(std::vector<TimedFault> faults)
        : faults(std::move(faults))
    {
        this->specs["plain"] = {"payload", {stepOf(false)}, 0, 0, 0ms};
        this->specs["lasting"] = {"payload", {stepOf(true)}, 0, 0, 0ms};
        this->startLeader();
    }

    void run()
    {
        for (this->tick = 0; this->tick < tickCount; ++this->tick) {
            this->now += tickTime;
            this->injectDueFaults();
            this->events.run(this->now);
            for (auto &worker : this->fleet.workers) {
                if (worker.alive)
                    worker.run(this->now, this->callbacksFor(worker));
            }
            if (this->nextLeaderAt != Instant{} && this->now >= this->nextLeaderAt) {
                this->nextLeaderAt = {};
                this->startLeader();
            }
            for (const auto &leader : this->leaders)
                this->runLeader(leader);
        }
        this->checkVmsInUse();
    }

    std::vector<std::string> violations() const
    {
        auto all = this->invariants.violations;
        all.insert(all.end(), this->otherViolations.begin(), this->otherViolations.end());
        return all;
    }

    using FaultSequenceSetup::vmCount;

private:
    void runAfter(Duration delay, std::function<void()> callback)
    {
        this->events.add(this->now + delay, std::move(callback));
    }

    void injectDueFaults()
    {
        for (const auto &fault : this->faults) {
            if (fault.tick == this->tick)
                this->inject(fault);
        }
    }

    void inject(const TimedFault &fault)
    {
        auto &worker = this->fleet.workerAt(fault.vm);
        switch (fault.fault) {
        case InjectedFault::WorkerRestarts:
            this->fleet.restart(worker, SimFleet::entryDelay, this->now);
            break;
        case InjectedFault::WorkerRestartsUnnoticed:
            this->fleet.restart(worker, SimFleet::lateEntryDelay, this->now);
            break;
        case InjectedFault::WorkerDown:
            worker.alive = false;
            worker.runs.clear();
            this->runAfter(downTime, [this, &worker] {
                worker.alive = true;
                this->fleet.restart(worker, SimFleet::entryDelay, this->now);
            });
            break;
        case InjectedFault::WorkerPartitioned:
            worker.partitionedUntil = this->now + partitionTime;
            break;
        case InjectedFault::HoldsDelayed:
            for (auto &entry : this->leaders.back()->nextHoldAt)
                entry.second = std::max(entry.second, this->now) + holdDelay;
            break;
        case InjectedFault::LeaderDies:
            this->leaders.back()->alive = false;
            this->nextLeaderAt = this->now + takeover;
            break;
        case InjectedFault::LeaderLosesStore:
            this->leaders.back()->readsStore = false;
            [[fallthrough]];
        case InjectedFault::LeaderCannotWrite:
            this->leaders.back()->writesStore = false;
            this->nextLeaderAt = this->now + takeover;
            break;
        default:
            ++this->pendingFaults[fault.fault];
        }
    }

    bool takePendingFault(InjectedFault fault)
    {
        auto &count = this->pendingFaults[fault];
        if (count == 0)
            return false;
        --count;
        return true;
    }

    SimWorkerCallbacks callbacksFor(const SimWorker &worker)
    {
        return {
            [this, id = worker.id](const RunKey &key) { this->checkStart(id, key); },
            [this] {
                return SimRun{this->now + this->durationOf(this->lastStarted), false};
            },
            [this](const TaskId &task, jobs::RunEnd end) { this->invariants.runEnded(task, end); },
            [this](const ListedEnd &end) {
                this->invariants.endAcknowledged(end);
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
        this->invariants.checkStart(worker, key, others, this->specs.at(key.task.job));
        this->availability.started(key.task, this->now);
        this->lastStarted = key.task;
    }

    void addViolation(const std::string &what)
    {
        this->otherViolations.push_back(what + " at " + std::to_string(this->tick));
    }

    /// Called before an order ends a task.
    void checkEnd(const TaskId &task)
    {
        const auto isRunning = [this](const TaskId &any) {
            return this->fleet.isRunning(any);
        };
        if (task.job == "lasting"
            && !this->availability.recordOrderedEnd(task, isRunning, this->now))
            this->addViolation("an order ended " + jobs::toString(task)
                               + " while others were away");
    }

    /// Checks that the newest leader uses every VM that it can reach.
    void checkVmsInUse()
    {
        auto &scheduler = this->leaders.back()->scheduler;
        for (std::size_t i = 0; i < vmCount; ++i) {
            const auto &vm = this->fleet.vms[i];
            const auto *worker = scheduler.workerOf(vm.name);
            const auto &incarnation = this->fleet.workerAt(i);
            const bool isUsable = vm.state == VmState::Up && incarnation.alive
                                  && this->now - incarnation.startedAt > rejoinTime
                                  && this->now - incarnation.partitionedUntil > rejoinTime;
            if (isUsable && this->leaders.back()->alive && (!worker || !worker->hasReported))
                this->addViolation(vm.name + " is not used any more");
        }
    }

    void startLeader()
    {
        const auto fence = static_cast<std::int64_t>(this->leaders.size() + 1);
        auto leader = std::make_shared<SimLeader>(fence, this->now);
        leader->scheduler.setConfiguration(configuration());
        if (!this->leaders.empty())
            leader->inheritFrom(*this->leaders.back());
        for (const auto &entry : this->specs) {
            auto job = std::make_unique<Job>(entry.first, entry.second, terms(), this->now);
            job->inherited = fence > 1;
            if (const auto row = this->storedProgress.find(entry.first);
                row != this->storedProgress.end()) {
                job->restore(row->second);
                job->recordedChanges = job->changes;
            }
            leader->scheduler.addJob(std::move(job));
        }
        this->leaders.push_back(leader);
        this->listEntries(*leader);
        for (const auto &vm : this->fleet.vms)
            leader->scheduler.addUnlistedWorker(vm.worker, vm.pool);
        leader->scheduler.setAllWorkersKnown();
        leader->planner.addWave({1, {"vm0", "vm1", "vm2"}, 10s, 1}, this->fleet.maintained,
                                this->now);
    }

    void listEntries(SimLeader &leader)
    {
        for (const auto &listing : this->fleet.listings(this->now))
            leader.scheduler.listWorker(listing, this->now,
                                        this->fleet.worker(listing.id).startedAt);
    }

    void runLeader(const std::shared_ptr<SimLeader> &leader)
    {
        if (!leader->alive || this->now - leader->confirmedAt >= orderLimit)
            return;
        this->availability.update(
            [this](const TaskId &task) { return this->fleet.isRunning(task); }, this->now);
        if (leader->readsStore)
            this->listEntries(*leader);
        if (leader->writesStore) {
            leader->confirm(this->now);
            for (const auto &row :
                 leader->scheduler.takeDirty(30, [](const std::string &) { return true; })) {
                this->storedProgress[row.id] = row.row;
                leader->scheduler.recorded(row);
            }
        }
        std::vector<std::string> ids;
        for (const auto &entry : leader->scheduler.workers()) {
            if (!entry.second.hasEnded)
                ids.push_back(entry.first);
        }
        for (const auto &id : ids)
            this->hold(leader, id);
        if (!leader->alive)
            return;
        this->sendOrders(leader);
        this->invariants.checkCounts(leader->scheduler);
        if (leader->writesStore)
            this->sendVmOrders(leader);
    }

    // A leader always has one pending hold at each worker. The hold is answered at once if runs
    // have ended or the leader has not surveyed the worker yet, otherwise after `holdWait`. It
    // fails if the worker's incarnation ends.
    void hold(const std::shared_ptr<SimLeader> &leader, const std::string &id)
    {
        auto &next = leader->nextHoldAt[id];
        if (this->now < next)
            return;
        auto &worker = this->fleet.worker(id);
        const auto until = leader->scheduler.leaseUntil(id, this->now);
        if (!worker.isReachable(this->now)) {
            next = this->now + retryDelay;
            return;
        }
        const bool isSurvey = !leader->scheduler.findWorker(id)->hasReported;
        const auto asked = this->now;
        const auto acknowledged = leader->scheduler.canAcknowledge(id, this->now)
                                      ? leader->scheduler.acknowledged(id)
                                      : 0;
        const auto first =
            worker.hold(leader->fence, acknowledged, until, this->now, this->callbacksFor(worker));
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
        this->runAfter(wait, [this, leader, id, asked, born = worker.born] {
            auto &answering = this->fleet.worker(id);
            if (!leader->alive || !answering.isReachable(this->now) || answering.born != born)
                return;
            const auto report = answering.hold(leader->fence, 0, std::nullopt, this->now,
                                               this->callbacksFor(answering));
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
            this->runAfter(delay, [leader, answered, result] {
                if (leader->alive)
                    answered(result);
            });
        };
        if (isLate) {
            this->runAfter(lateOrderDelay, [this, id, call] {
                auto &worker = this->fleet.worker(id);
                if (worker.isReachable(this->now))
                    call(worker);
            });
            answer(OrderAnswer::NoAnswer, callTimeout);
            return;
        }
        auto &worker = this->fleet.worker(id);
        if (!worker.isReachable(this->now)) {
            answer(OrderAnswer::NoAnswer, callTimeout);
            return;
        }
        const auto result = call(worker);
        answer(isLost ? OrderAnswer::NoAnswer : result, isLost ? callTimeout : tickTime);
    }

    void sendOrders(const std::shared_ptr<SimLeader> &leader)
    {
        const auto orders = leader->scheduler.plan(this->now, 0);
        for (const auto &stop : orders.stops) {
            this->exchange(
                leader, stop.worker, this->takePendingFault(InjectedFault::StopLate), false,
                [this, stop, fence = leader->fence](SimWorker &worker) {
                    const bool isHere = worker.runs.count({stop.task, stop.run}) != 0;
                    if (isHere && fence >= worker.fence)
                        this->checkEnd(stop.task);
                    return worker.stop(stop, fence, this->callbacksFor(worker));
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
            leader->scheduler.startSent(start, this->now);
            this->exchange(
                leader, start.worker, this->takePendingFault(InjectedFault::StartLate),
                this->takePendingFault(InjectedFault::StartUnanswered),
                [this, start, until, fence = leader->fence](SimWorker &worker) {
                    return worker.start(start, *until, fence, this->now,
                                        this->callbacksFor(worker));
                },
                [this, leader, start](OrderAnswer answer) {
                    leader->scheduler.startAnswered(start, answer, this->now);
                });
        }
    }

    void sendVmOrders(const std::shared_ptr<SimLeader> &leader)
    {
        if (this->now - leader->vmsListedAt >= listPeriod) {
            leader->vmsListedAt = this->now;
            leader->planner.updateVms(this->fleet.vms, this->now);
        }
        for (const auto &order : leader->planner.plan(leader->scheduler, this->now, 0)) {
            const auto vm = static_cast<std::size_t>(std::stoul(order.vm.substr(2)));
            const bool isLost = this->takePendingFault(InjectedFault::VmOrderUnanswered);
            const auto answer = this->execute(order, vm);
            this->runAfter(isLost ? callTimeout : tickTime, [this, leader, order, answer, isLost] {
                if (leader->alive)
                    leader->planner.handleAnswer(order, isLost ? FleetAnswer::NoAnswer : answer,
                                                 leader->scheduler, this->now);
            });
        }
    }

    FleetAnswer execute(const FleetOrder &order, std::size_t vm)
    {
        if (order.action != FleetAction::Maintain)
            return FleetAnswer::Impossible;
        const bool isNew = this->fleet.maintained.count(order.vm) == 0;
        const auto answer =
            this->fleet.maintain(vm, [this](const TaskId &task) { this->checkEnd(task); });
        if (isNew && answer == FleetAnswer::Accepted)
            this->runAfter(maintenanceTime, [this, vm] { this->fleet.startWorker(vm, this->now); });
        return answer;
    }

    std::vector<TimedFault> faults;
    int tick = 0;
    Instant now = Instant(1h);
    Instant nextLeaderAt{};
    SimFleet fleet{vmCount, this->now};
    std::vector<std::shared_ptr<SimLeader>> leaders; // the newest is last
    EventQueue events;
    // The number of faults that will hit the next order of their kind.
    std::map<InjectedFault, int> pendingFaults;
    std::map<std::string, jobs::JobSpec> specs;
    std::map<std::string, messages::JobProgress> storedProgress; // the store, by job
    TaskId lastStarted;
    TaskInvariants invariants{maxAttempts};
    AvailabilityWatch availability{"lasting", lastingTasks, maxUnavailable};
    std::vector<std::string> otherViolations; // beside those of `invariants`
};

} // namespace sassafrasferry::scheduling::tests
