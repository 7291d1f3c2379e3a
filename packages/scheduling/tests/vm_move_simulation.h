// A simulation of leaders, VMs of two pools and a standby pool, demand that shifts between the
// pools, and a maintenance wave on virtual time. The test sets the time of each fault. Answers of
// workers are delayed, and are lost if the VM is moved or goes into maintenance in the meantime.
#pragma once

#include "event_queue.h"
#include "move_faults.h"
#include "move_fleet.h"
#include "task_invariants.h"

#include <memory>

namespace sassafrasferry::scheduling::tests {

using namespace std::chrono_literals;

class VmMoveSimulation
{
public:
    VmMoveSimulation(std::vector<TimedMoveFault> faults, IdOrder idOrder)
        : faults(std::move(faults))
        , fleet({"s", "s", "s", "t", "off", "off"}, idOrder, this->now)
    {
        this->startLeader();
        this->submitJob("lasting", "s", lastingStep());
    }

    void run()
    {
        for (this->tick = 0; this->tick < tickCount; ++this->tick) {
            this->now += tickTime;
            this->injectDueFaults();
            this->submitJobs();
            this->events.run(this->now);
            for (auto &worker : this->fleet.workers) {
                if (worker.alive)
                    worker.run(this->now, this->callbacksFor(worker));
            }
            if (this->nextLeaderAt != Instant{} && this->now >= this->nextLeaderAt) {
                this->nextLeaderAt = {};
                this->startLeader();
            }
            this->vmListHistory.push_back(this->fleet.vms);
            for (const auto &leader : this->leaders)
                this->runLeader(leader);
        }
    }

    const std::vector<std::string> &violations() const
    {
        return this->invariants.violations;
    }

    static constexpr std::size_t vmCount = 6;
    static constexpr int tickCount = 130;

    std::size_t moves = 0; ///< the number of VM moves that were started
    /// The number of VM orders that were executed after another leader had taken over.
    std::size_t ordersOfFormerLeaders = 0;
    std::vector<std::string> notes; ///< decisions of the leaders, each with its tick

private:
    static constexpr Duration tickTime = 100ms;
    static constexpr std::uint32_t maxAttempts = 4;
    /// How long a leader may send orders after it lost the store.
    static constexpr Duration orderLimit = 6500ms;
    static constexpr Duration takeover = 1600ms; ///< until another leader starts
    /// Until the same entry VM starts as leader again.
    static constexpr Duration restartTime = 800ms;
    static constexpr Duration holdWait = 1s; ///< until a hold is answered if no run ends
    static constexpr Duration answerTime = 100ms; ///< until the answer of a worker arrives
    static constexpr Duration retryDelay = 100ms; ///< until an unreachable worker is called again
    static constexpr Duration callTimeout = 800ms;
    static constexpr Duration lateOrderDelay = 2500ms; ///< until a delayed order is executed
    static constexpr Duration downTime = 4s;
    static constexpr Duration partitionTime = 5s;
    static constexpr Duration hangTime = 3s;
    /// Until another worker answers at the address of a lost one.
    static constexpr Duration addressReuseDelay = 2s;
    /// Until a delayed VM order is executed.
    static constexpr Duration lateVmOrderDelay = 2500ms;
    /// Minimum time between a leader's last order about a VM and its successor's first.
    static constexpr Duration handOverDelay = 3s;
    static constexpr Duration vmOrderMargin = 200ms;
    static constexpr std::int64_t runsPerTerm = 1000;
    static constexpr Duration moveTime = 600ms;
    static constexpr Duration maintenanceTime = 1500ms;
    static constexpr Duration lateVmAnswer = 1s;
    static constexpr Duration listPeriod = 1s;
    static constexpr std::size_t staleListAge = 25; ///< age of a stale list of VMs, in ticks
    static constexpr Duration vmListStaleTime = 5s;
    static constexpr Duration writeTime = 300ms;
    static constexpr Duration slowWriteTime = 1s;
    static constexpr Duration storeSlowdownTime = 3s;
    static constexpr Duration disruptionTime = 8s; ///< from a fault until its effects are over
    static constexpr int jobPeriod = 8; ///< ticks between two submitted jobs
    /// Ticks until jobs are submitted to the other pool.
    static constexpr int poolSwitchPeriod = 24;
    static constexpr int lastJobTick = 100; ///< tick after which no job is submitted
    static constexpr Duration taskTime = 500ms;

    struct SimLeader
    {
        SimLeader(std::int64_t fence, Instant now)
            : fence(fence)
            , scheduler(SchedulerTimes{}, fence * runsPerTerm, now)
            , planner(FleetPlannerOptions{})
            , confirmedAt(now)
        {
            this->scheduler.setLeadConfirmed(now);
        }

        std::int64_t fence;
        Scheduler scheduler;
        FleetPlanner planner;
        bool alive = true;
        bool writesStore = true;
        Instant confirmedAt;
        Instant vmsListedAt{};
        std::map<std::string, Instant> nextHoldAt; // by worker: when the next hold is sent
        std::map<std::string, Instant> orderedAt; // by VM: time of its last order
        // By worker: the incarnation in the entry that was read last.
        std::map<std::string, std::int64_t> seenIncarnations;
    };

    using LeaderPointer = std::shared_ptr<SimLeader>;

    struct SubmittedJob
    {
        jobs::JobSpec spec;
        std::string queue;
        bool cancelled = false;
    };

    static jobs::QueueTerms terms(const std::string &queue)
    {
        return {queue, queue, 0, maxAttempts, 2, 600ms};
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

    void runAfter(Duration delay, std::function<void()> callback)
    {
        this->events.add(this->now + delay, std::move(callback));
    }

    void submitJob(const std::string &id, const std::string &queue, const jobs::StepSpec &step)
    {
        this->submittedJobs[id] = {{"payload", {step}, 0, 0, 0ms}, queue, false};
        auto &leader = *this->leaders.back();
        if (leader.alive)
            leader.scheduler.addJob(
                std::make_unique<Job>(id, this->submittedJobs[id].spec, terms(queue), this->now));
    }

    void submitJobs()
    {
        if (this->tick % jobPeriod != 0 || this->tick > lastJobTick)
            return;
        this->newestJob = "j" + std::to_string(this->tick);
        this->submitJob(this->newestJob, (this->tick / poolSwitchPeriod) % 2 == 0 ? "s" : "t",
                        plainStep());
    }

    void injectDueFaults()
    {
        for (const auto &fault : this->faults) {
            if (fault.tick == this->tick) {
                if (isDisruption(fault.fault))
                    this->invariants.addDisruption(this->now, this->now + disruptionTime);
                this->inject(fault);
            }
        }
    }

    void inject(const TimedMoveFault &fault);
    void injectIntoWorker(const TimedMoveFault &fault, SimWorker &worker);

    bool takePendingFault(MoveFault fault)
    {
        auto &count = this->pendingFaults[fault];
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

    /// Whether another worker answers at the address of this one.
    bool isAddressReused(const std::string &id) const
    {
        const auto at = this->addressReusedAt.find(id);
        return at != this->addressReusedAt.end() && this->now >= at->second;
    }

    SimWorkerCallbacks callbacksFor(const SimWorker &worker)
    {
        return {
            [this, id = worker.id](const RunKey &key) { this->checkStart(id, key); },
            [this] {
                const auto &job = this->submittedJobs.at(this->lastStarted.job);
                const auto longer = static_cast<int>(this->lastStarted.index) * tickTime;
                return SimRun{this->now + (job.spec.isLasting() ? 1h : taskTime + longer), false};
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
        this->invariants.checkStart(worker, key, others, this->submittedJobs.at(key.task.job).spec,
                                    this->now);
        this->lastStarted = key.task;
    }

    void cancel(const std::string &id)
    {
        this->submittedJobs.at(id).cancelled = true;
        if (this->leaders.back()->alive)
            this->leaders.back()->scheduler.cancelJob(id);
    }

    std::vector<Vm> listedVms() const
    {
        if (this->now >= this->vmListStaleUntil || this->vmListHistory.size() <= staleListAge)
            return this->fleet.vms;
        return this->vmListHistory[this->vmListHistory.size() - 1 - staleListAge];
    }

    void startLeader();
    void deferOrdersOfPredecessor(SimLeader &leader);
    void writeLease(SimLeader &leader);
    void readEntries(SimLeader &leader);
    void runLeader(const LeaderPointer &leader);

    void addNote(const DecisionNote &note)
    {
        this->notes.push_back(std::to_string(this->tick) + " " + note.event + " " + note.subject
                              + " " + note.detail);
    }

    void writeRows(const LeaderPointer &leader);

    void hold(const LeaderPointer &leader, const std::string &id);
    /// Answers a hold with the report once a run has ended or `deadline` has passed.
    void awaitEnd(const LeaderPointer &leader, const WorkerReport &report, Instant asked,
                  Instant deadline);
    void answerHold(const LeaderPointer &leader, const WorkerReport &report, Instant asked);
    template<typename Call, typename Answered>
    void exchange(const LeaderPointer &leader, const std::string &id, bool isLate, bool isLost,
                  Call call, Answered answered);
    /// The delay until a call sent to the worker now is executed; empty if it never is.
    std::optional<Duration> executionDelay(const std::string &id, bool isLate);
    void sendOrders(const LeaderPointer &leader);
    void sendVmOrders(const LeaderPointer &leader);
    void sendVmOrder(const LeaderPointer &leader, const FleetOrder &order);
    FleetAnswer execute(const FleetOrder &order, std::int64_t fence);
    void checkOrderEndsNothing(const SimWorker &worker, const FleetOrder &order,
                               std::int64_t fence);

    std::vector<TimedMoveFault> faults;
    int tick = 0;
    Instant now = Instant(1h);
    Instant nextLeaderAt{};
    MoveFleet fleet;
    std::vector<LeaderPointer> leaders; // the newest is last
    EventQueue events;
    // The number of faults that will hit the next call of their kind.
    std::map<MoveFault, int> pendingFaults;
    std::map<std::string, Instant> hangUntil; // by worker
    std::map<std::string, Instant> addressReusedAt; // by worker
    std::set<std::string> droppingWorkers; // workers that drop calls while they hang
    std::map<std::string, SubmittedJob> submittedJobs;
    std::string newestJob = "lasting"; // id of the job
    std::map<std::string, messages::JobProgress> storedProgress; // the store, by job
    std::string leaseRow; // the store's lease row
    std::vector<std::vector<Vm>> vmListHistory; // the list of VMs at each tick
    Instant vmListStaleUntil{};
    Instant storeSlowUntil{};
    Instant lastWriteAt{}; // when the last write is done
    TaskId lastStarted;
    TaskInvariants invariants{maxAttempts};
};

} // namespace sassafrasferry::scheduling::tests

#include "vm_move_calls.h"
#include "vm_move_injection.h"
#include "vm_move_leader.h"
