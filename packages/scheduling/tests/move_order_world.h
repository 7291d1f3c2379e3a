// Leaders, VMs of two pools and a standby pool, demand that moves between the pools, and a
// maintenance wave on virtual time, where each fault strikes at a moment that the test sets.
// Answers of workers take a while, and are lost if the VM is moved or maintained meanwhile.
#pragma once

#include "event_queue.h"
#include "move_faults.h"
#include "move_fleet.h"
#include "promises.h"

#include <memory>

namespace sassafrasferry::scheduling::tests {

using namespace std::chrono_literals;

class MoveOrderWorld
{
public:
    MoveOrderWorld(std::vector<MoveFaultAt> faults, IdOrder idOrder)
        : faults(std::move(faults))
        , fleet({"s", "s", "s", "t", "off", "off"}, idOrder, this->now)
    {
        this->lead();
        this->handIn("lasting", "s", lastingStep());
    }

    void run()
    {
        for (this->tick = 0; this->tick < tickCount; ++this->tick) {
            this->now += tickTime;
            this->strike();
            this->bringWork();
            this->events.run(this->now);
            for (auto &worker : this->fleet.workers) {
                if (worker.alive)
                    worker.run(this->now, this->eventsOf(worker));
            }
            if (this->leadAt != Instant{} && this->now >= this->leadAt) {
                this->leadAt = {};
                this->lead();
            }
            this->lists.push_back(this->fleet.vms);
            for (const auto &leader : this->leaders)
                this->runLeader(leader);
        }
    }

    const std::vector<std::string> &violations() const
    {
        return this->promises.violations;
    }

    static constexpr std::size_t vmCount = 6;
    static constexpr int tickCount = 130;

    std::size_t moves = 0; ///< of VMs, begun
    std::vector<std::string> notes; ///< what leaders decided, with the tick

private:
    static constexpr Duration tickTime = 100ms;
    static constexpr std::uint32_t mostAttempts = 4;
    static constexpr Duration orderLimit = 6500ms; ///< a leader orders that long without the store
    static constexpr Duration takeover = 1600ms; ///< until another leads
    static constexpr Duration restartTime = 800ms; ///< until the same entry VM leads again
    static constexpr Duration holdWait = 1s; ///< until a hold without an end is answered
    static constexpr Duration answerTime = 100ms; ///< of a worker
    static constexpr Duration retry = 100ms; ///< of a worker that was not reached
    static constexpr Duration patience = 800ms; ///< until a call counts as unanswered
    static constexpr Duration lateness = 2500ms; ///< of an order that is carried out late
    static constexpr Duration darkFor = 4s;
    static constexpr Duration cutFor = 5s;
    static constexpr Duration hangFor = 3s;
    static constexpr Duration reuse = 2s; ///< until another worker answers at an address
    static constexpr Duration moveTime = 600ms;
    static constexpr Duration maintenance = 1500ms;
    static constexpr Duration lateVmAnswer = 1s;
    static constexpr Duration listPeriod = 1s;
    static constexpr std::size_t listAge = 25; ///< ticks, of a list that is behind
    static constexpr Duration listBehindFor = 5s;
    static constexpr Duration storeTime = 300ms;
    static constexpr Duration slowStoreTime = 1s;
    static constexpr Duration storeSlowFor = 3s;
    static constexpr Duration disruption =
        8s; ///< a fault and the time after it that counts as near
    static constexpr int workPeriod = 8; ///< ticks between two jobs
    static constexpr int turnPeriod = 24; ///< ticks until the work goes to the other pool
    static constexpr int lastWork = 100; ///< tick
    static constexpr Duration taskTime = 500ms;

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
        bool writesStore = true;
        Instant confirmedAt;
        Instant listedAt{};
        std::map<std::string, Instant> holdAt; // of each worker: when it is asked again
        std::map<std::string, std::int64_t> entries; // births that were read
    };

    using LeaderPointer = std::shared_ptr<SimLeader>;

    struct HandedIn
    {
        jobs::JobSpec spec;
        std::string queue;
        bool cancelled = false;
    };

    static jobs::QueueTerms terms(const std::string &queue)
    {
        return {queue, queue, 0, mostAttempts, 2, 600ms};
    }

    static jobs::StepSpec lastingStep()
    {
        jobs::StepSpec step;
        step.count = 2;
        step.need = {1000, 100, 0};
        step.estimate = 1s;
        step.lasting = true;
        step.perVmLimit = 1;
        step.maxUnavailable = 1;
        return step;
    }

    static jobs::StepSpec plainStep()
    {
        jobs::StepSpec step;
        step.count = 5;
        step.need = {1500, 100, 0};
        step.estimate = 800ms;
        return step;
    }

    void later(Duration delay, std::function<void()> happen)
    {
        this->events.add(this->now + delay, std::move(happen));
    }

    void handIn(const std::string &id, const std::string &queue, const jobs::StepSpec &step)
    {
        this->jobTable[id] = {{"payload", {step}, 0, 0, 0ms}, queue, false};
        auto &leader = *this->leaders.back();
        if (leader.alive)
            leader.scheduler.addJob(
                std::make_unique<Job>(id, this->jobTable[id].spec, terms(queue), this->now));
    }

    void bringWork()
    {
        if (this->tick % workPeriod != 0 || this->tick > lastWork)
            return;
        this->newest = "j" + std::to_string(this->tick);
        this->handIn(this->newest, (this->tick / turnPeriod) % 2 == 0 ? "s" : "t", plainStep());
    }

    void strike()
    {
        for (const auto &fault : this->faults) {
            if (fault.tick == this->tick) {
                if (isDisruption(fault.fault))
                    this->promises.disrupted(this->now, this->now + disruption);
                this->strike(fault);
            }
        }
    }

    void strike(const MoveFaultAt &fault);
    void strikeWorker(const MoveFaultAt &fault, SimWorker &worker);

    bool takeArmed(MoveFault fault)
    {
        auto &count = this->armed[fault];
        if (count == 0)
            return false;
        --count;
        return true;
    }

    bool isHanging(const std::string &id) const
    {
        const auto at = this->hangUntil.find(id);
        return at != this->hangUntil.end() && this->now < at->second;
    }

    /// Another worker answers at its address.
    bool isReused(const std::string &id) const
    {
        const auto at = this->reusedAt.find(id);
        return at != this->reusedAt.end() && this->now >= at->second;
    }

    SimWorkerEvents eventsOf(const SimWorker &worker)
    {
        return {
            [this, id = worker.id](const RunKey &key) { this->checkStart(id, key); },
            [this] {
                const auto &job = this->jobTable.at(this->lastStarted.job);
                const auto longer = static_cast<int>(this->lastStarted.index) * tickTime;
                return SimRun{this->now + (job.spec.isLasting() ? 1h : taskTime + longer), false};
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
        this->promises.checkStart(worker, key, others, this->jobTable.at(key.task.job).spec,
                                  this->now);
        this->lastStarted = key.task;
    }

    void cancel(const std::string &id)
    {
        this->jobTable.at(id).cancelled = true;
        if (this->leaders.back()->alive)
            this->leaders.back()->scheduler.cancelJob(id);
    }

    std::vector<Vm> listedVms() const
    {
        if (this->now >= this->listBehindUntil || this->lists.size() <= listAge)
            return this->fleet.vms;
        return this->lists[this->lists.size() - 1 - listAge];
    }

    void lead();
    void readEntries(SimLeader &leader);
    void runLeader(const LeaderPointer &leader);

    void tell(const DecisionNote &note)
    {
        this->notes.push_back(std::to_string(this->tick) + " " + note.event + " " + note.subject
                              + " " + note.detail);
    }

    void record(const LeaderPointer &leader);

    void hold(const LeaderPointer &leader, const std::string &id);
    /// Waits for an end, or until `deadline`, and answers with the report.
    void awaitEnd(const LeaderPointer &leader, const WorkerReport &report, Instant asked,
                  Instant deadline);
    void answerHold(const LeaderPointer &leader, const WorkerReport &report, Instant asked);
    template<typename Call, typename Answered>
    void exchange(const LeaderPointer &leader, const std::string &id, bool isLate, bool isLost,
                  Call call, Answered answered);
    /// When a call that reaches the worker now is carried out; nothing if never.
    std::optional<Duration> carriedOutAfter(const std::string &id, bool isLate);
    void order(const LeaderPointer &leader);
    void orderVms(const LeaderPointer &leader);
    FleetAnswer carryOut(const FleetOrder &order, std::size_t vm);

    std::vector<MoveFaultAt> faults;
    int tick = 0;
    Instant now = Instant(1h);
    Instant leadAt{};
    MoveFleet fleet;
    std::vector<LeaderPointer> leaders; // the last one is the newest
    EventQueue events;
    std::map<MoveFault, int> armed; // faults that wait for the next order of their kind
    std::map<std::string, Instant> hangUntil; // of each worker
    std::map<std::string, Instant> reusedAt; // of each worker
    std::set<std::string> dropsCalls; // workers, while they hang
    std::map<std::string, HandedIn> jobTable;
    std::string newest = "lasting"; // job
    std::map<std::string, messages::JobProgress> rows; // the store
    std::vector<std::vector<Vm>> lists; // of VMs, at each tick
    Instant listBehindUntil{};
    Instant storeSlowUntil{};
    Instant writtenAt{}; // the last write
    TaskId lastStarted;
    Promises promises{mostAttempts};
};

} // namespace sassafrasferry::scheduling::tests

#include "move_order_calls.h"
#include "move_order_faults.h"
#include "move_order_leader.h"
