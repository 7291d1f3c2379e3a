// Two leaders, three VMs, a plain and a lasting job on virtual time, where each fault strikes at a
// moment that the test sets: for trying orders of events one after the other. It checks that no
// task runs twice, and that orders take away no more lasting tasks than may be unavailable.
#pragma once

#include "event_queue.h"
#include "sim_worker.h"

#include <sassafrasferry/scheduling/fleet_planner.h>

#include <memory>

namespace sassafrasferry::scheduling::tests {

using namespace std::chrono_literals;

enum class OrderFault {
    WorkerRestarts, ///< at once, under its id
    WorkerRestartsUnnoticed, ///< the same, and its new entry is late
    WorkerDark, ///< dies, and returns under its id after seconds
    WorkerCut, ///< reached by nobody, and runs on
    HoldsDelayed, ///< the leader is busy, and asks no worker for a moment
    StartLate, ///< the next start is carried out late, without an answer
    StartUnanswered, ///< the next start is carried out, and its answer is lost
    StopLate,
    VmOrderUnanswered, ///< the next order about a VM is carried out, and its answer is lost
    LeaderDies,
    LeaderLosesStore, ///< another leads, and this one goes on ordering for a while
    LeaderCannotWrite, ///< the same, but it goes on reading the store
};

constexpr auto enumNames(OrderFault)
{
    return std::array{
        model::EnumName{OrderFault::WorkerRestarts, "worker restarts"},
        model::EnumName{OrderFault::WorkerRestartsUnnoticed, "worker restarts unnoticed"},
        model::EnumName{OrderFault::WorkerDark, "worker dark"},
        model::EnumName{OrderFault::WorkerCut, "worker cut"},
        model::EnumName{OrderFault::HoldsDelayed, "holds delayed"},
        model::EnumName{OrderFault::StartLate, "start late"},
        model::EnumName{OrderFault::StartUnanswered, "start unanswered"},
        model::EnumName{OrderFault::StopLate, "stop late"},
        model::EnumName{OrderFault::VmOrderUnanswered, "VM order unanswered"},
        model::EnumName{OrderFault::LeaderDies, "leader dies"},
        model::EnumName{OrderFault::LeaderLosesStore, "leader loses store"},
        model::EnumName{OrderFault::LeaderCannotWrite, "leader cannot write"},
    };
}

constexpr bool strikesVm(OrderFault fault)
{
    return fault <= OrderFault::WorkerCut;
}

struct FaultAt
{
    OrderFault fault = OrderFault::WorkerRestarts;
    int tick = 0; ///< when it strikes
    std::size_t vm = 0; ///< which it strikes, if it strikes one
};

inline std::string toString(const std::vector<FaultAt> &faults)
{
    std::string text;
    for (const auto &fault : faults)
        text += std::string(model::nameOf(fault.fault)) + " vm" + std::to_string(fault.vm) + " at "
                + std::to_string(fault.tick) + "; ";
    return text;
}

class FaultOrderWorld
{
public:
    explicit FaultOrderWorld(std::vector<FaultAt> faults)
        : faults(std::move(faults))
    {
        for (std::size_t i = 0; i < vmCount; ++i) {
            this->vms.push_back({"vm" + std::to_string(i),
                                 "s",
                                 VmState::Up,
                                 "a",
                                 rackOf(i),
                                 {4000, 100000, 0},
                                 ""});
            this->join(i);
        }
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
            for (auto &worker : this->workers) {
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

    const std::vector<std::string> &violations() const
    {
        return this->broken;
    }

    static constexpr std::size_t vmCount = 3;

private:
    static constexpr int tickCount = 120;
    static constexpr Duration tickTime = 100ms;
    static constexpr std::size_t lastingTasks = 2;
    static constexpr Duration orderLimit = 6500ms;
    static constexpr Duration takeover = 1600ms;
    static constexpr Duration notice = 4500ms; ///< a task that is away for longer counts as such
    static constexpr Duration holdWait = 1s;
    static constexpr Duration retry = 100ms;
    static constexpr Duration patience = 800ms;
    static constexpr Duration holdDelay = 300ms;
    static constexpr Duration startup = 200ms;
    static constexpr Duration lateness = 2500ms;
    static constexpr Duration darkFor = 8s;
    static constexpr Duration cutFor = 6s;
    static constexpr Duration migration = 1500ms;
    static constexpr Duration entryDelay = 100ms;
    static constexpr Duration lateEntryDelay = 1200ms;
    static constexpr Duration listPeriod = 1s;
    static constexpr Duration plainTime = 2s;
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

    static std::string rackOf(std::size_t vm)
    {
        return "r" + std::to_string(vm);
    }

    static jobs::QueueTerms terms()
    {
        return {"q", "s", 0, 4, 2, 600ms};
    }

    static jobs::StepSpec stepOf(bool lasting)
    {
        jobs::StepSpec step;
        step.count = lasting ? lastingTasks : 1;
        step.need = {1000, 100, 0};
        step.estimate = 1s;
        step.lasting = lasting;
        step.perVmLimit = lasting ? 1 : 0;
        step.maxUnavailable = lasting ? 1 : 0;
        return step;
    }

    void later(Duration delay, std::function<void()> happen)
    {
        this->events.add(this->now + delay, std::move(happen));
    }

    /// A new incarnation of a VM, with an id of its own.
    void join(std::size_t vm)
    {
        SimWorker worker;
        worker.id = "w" + std::to_string(this->workers.size());
        worker.born = ++this->births;
        worker.bornAt = this->now;
        this->vms[vm].worker = worker.id;
        this->vms[vm].state = VmState::Up;
        this->workers.push_back(worker);
        this->vmOf.push_back(vm);
        this->entries[worker.id] = {worker.born, this->now + entryDelay};
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
        const auto index = this->indexOf(this->vms[fault.vm].worker);
        switch (fault.fault) {
        case OrderFault::WorkerRestarts:
            this->restart(index, entryDelay);
            break;
        case OrderFault::WorkerRestartsUnnoticed:
            this->restart(index, lateEntryDelay);
            break;
        case OrderFault::WorkerDark:
            this->workers[index].alive = false;
            this->workers[index].runs.clear();
            this->later(darkFor, [this, index] {
                this->workers[index].alive = true;
                this->restart(index, entryDelay);
            });
            break;
        case OrderFault::WorkerCut:
            this->workers[index].cutUntil = this->now + cutFor;
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

    void restart(std::size_t index, Duration entryAfter)
    {
        auto &worker = this->workers[index];
        if (!worker.alive)
            return;
        worker.rebirth(++this->births, this->now);
        this->entries[worker.id] = {worker.born, this->now + entryAfter};
    }

    bool takeArmed(OrderFault fault)
    {
        auto &count = this->armed[fault];
        if (count == 0)
            return false;
        --count;
        return true;
    }

    std::size_t indexOf(const std::string &id) const
    {
        return static_cast<std::size_t>(std::stoul(id.substr(1)));
    }

    SimWorkerEvents eventsOf(const SimWorker &worker)
    {
        return {[this, id = worker.id](const RunKey &key) { this->checkStart(id, key); },
                [this] {
                    return SimRun{this->now + this->durationOf(this->lastStarted), false};
                },
                [](const TaskId &, jobs::RunEnd) {},
                [this](const ListedEnd &end) {
                    if (end.end == jobs::RunEnd::Done)
                        this->doneNoted.insert(end.task);
                }};
    }

    void checkStart(const std::string &worker, const RunKey &key)
    {
        if (this->doneNoted.count(key.task) != 0)
            this->note("run again after a noted end: " + jobs::toString(key.task));
        for (const auto &other : this->workers) {
            for (const auto &run : other.runs) {
                if (other.alive && run.first.task == key.task)
                    this->note("two runs of " + jobs::toString(key.task) + ": on " + other.id
                               + " and " + worker);
            }
        }
        this->startedAt[key.task] = this->now;
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

    bool isAtWork(const TaskId &task) const
    {
        const auto started = this->startedAt.find(task);
        if (started == this->startedAt.end() || this->now - started->second < startup)
            return false;
        return std::any_of(this->workers.begin(), this->workers.end(), [&](const auto &worker) {
            return worker.alive
                   && std::any_of(worker.runs.begin(), worker.runs.end(),
                                  [&](const auto &run) { return run.first.task == task; });
        });
    }

    /// An order is about to end a task.
    void checkEnd(const TaskId &task)
    {
        if (task.job != "lasting" || !this->isAtWork(task))
            return;
        std::size_t away = 0;
        for (std::size_t i = 0; i < lastingTasks; ++i) {
            const TaskId other{task.job, 0, 0, i};
            if (i == task.index || this->isAtWork(other))
                continue;
            const bool isEnded = this->endedByOrder.count(other) != 0;
            const bool isLongAway =
                this->seenAtWork.count(other) == 0 || this->now - this->seenAtWork[other] >= notice;
            away += isEnded || isLongAway ? 1 : 0;
        }
        if (away >= stepOf(true).maxUnavailable)
            this->note("an order ended " + jobs::toString(task) + " while " + std::to_string(away)
                       + " were away");
        this->endedByOrder.insert(task);
    }

    /// The newest leader uses every VM that it reaches.
    void checkUse()
    {
        auto &scheduler = this->leaders.back()->scheduler;
        for (std::size_t i = 0; i < vmCount; ++i) {
            const auto &vm = this->vms[i];
            const auto *worker = scheduler.workerOf(vm.name);
            const auto &incarnation = this->workers[this->indexOf(vm.worker)];
            const bool isSound = vm.state == VmState::Up && incarnation.alive
                                 && this->now - incarnation.bornAt > settling
                                 && this->now - incarnation.cutUntil > settling;
            if (isSound && this->leaders.back()->alive && (!worker || !worker->surveyed))
                this->note(vm.name + " is not used any more");
        }
    }

    void watchAtWork()
    {
        for (std::size_t i = 0; i < lastingTasks; ++i) {
            const TaskId task{"lasting", 0, 0, i};
            if (!this->isAtWork(task))
                continue;
            this->seenAtWork[task] = this->now;
            this->endedByOrder.erase(task);
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
        for (const auto &vm : this->vms)
            leader->scheduler.expectWorker(vm.worker, vm.pool);
        leader->scheduler.knowsAllWorkers();
        leader->planner.addWave({1, {"vm0", "vm1", "vm2"}, 10s, 1}, this->maintained, this->now);
    }

    void listEntries(SimLeader &leader)
    {
        for (std::size_t i = 0; i < this->workers.size(); ++i) {
            const auto &worker = this->workers[i];
            const auto &entry = this->entries[worker.id];
            if (this->now < entry.second || this->vms[this->vmOf[i]].worker != worker.id)
                continue;
            WorkerListing listing;
            listing.id = worker.id;
            listing.vm = this->vms[this->vmOf[i]].name;
            listing.born = entry.first;
            listing.service = "s";
            listing.rack = rackOf(this->vmOf[i]);
            listing.capacity = {4000, 100000, 0};
            leader.scheduler.listWorker(listing, this->now);
        }
    }

    void runLeader(const std::shared_ptr<SimLeader> &leader)
    {
        if (!leader->alive || this->now - leader->confirmedAt >= orderLimit)
            return;
        this->watchAtWork();
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
        auto &worker = this->workers[this->indexOf(id)];
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
            auto &answering = this->workers[this->indexOf(id)];
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
    void exchange(const std::shared_ptr<SimLeader> &leader, std::size_t index, bool isLate,
                  bool isLost, Call call, Answered answered)
    {
        const auto answer = [this, leader, answered](OrderAnswer result, Duration delay) {
            this->later(delay, [leader, answered, result] {
                if (leader->alive)
                    answered(result);
            });
        };
        if (isLate) {
            this->later(lateness, [this, index, call] {
                auto &worker = this->workers[index];
                if (worker.isReached(this->now))
                    call(worker);
            });
            answer(OrderAnswer::NoAnswer, patience);
            return;
        }
        auto &worker = this->workers[index];
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
                leader, this->indexOf(stop.worker), this->takeArmed(OrderFault::StopLate), false,
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
                leader, this->indexOf(start.worker), this->takeArmed(OrderFault::StartLate),
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
            leader->planner.listVms(this->vms, this->now);
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
        if (this->maintained.count(order.vm) != 0)
            return FleetAnswer::Accepted;
        auto &worker = this->workers[this->indexOf(this->vms[vm].worker)];
        if (this->vms[vm].state != VmState::Up || !worker.alive)
            return FleetAnswer::Busy;
        for (const auto &run : worker.runs)
            this->checkEnd(run.first.task);
        worker.runs.clear();
        worker.alive = false;
        this->maintained.insert(order.vm);
        this->vms[vm].state = VmState::Maintenance;
        this->later(migration, [this, vm] { this->join(vm); });
        return FleetAnswer::Accepted;
    }

    std::vector<FaultAt> faults;
    int tick = 0;
    Instant now = Instant(1h);
    Instant leadAt{};
    std::vector<Vm> vms;
    std::vector<SimWorker> workers;
    std::vector<std::size_t> vmOf; // of each worker
    /// Of each worker: the birth that its entry tells, and when leaders see it.
    std::map<std::string, std::pair<std::int64_t, Instant>> entries;
    std::vector<std::shared_ptr<SimLeader>> leaders; // the last one is the newest
    std::int64_t births = 0;
    EventQueue events;
    std::map<OrderFault, int> armed; // faults that wait for the next order of their kind
    std::map<std::string, jobs::JobSpec> specs;
    std::map<std::string, messages::JobProgress> rows; // the store
    std::set<std::string> maintained;
    std::set<TaskId> doneNoted;
    TaskId lastStarted;
    std::map<TaskId, Instant> startedAt;
    std::map<TaskId, Instant> seenAtWork;
    std::set<TaskId> endedByOrder; // and not at work since
    std::vector<std::string> broken;
};

} // namespace sassafrasferry::scheduling::tests
