// The scheduling leader: loads all jobs and workers, plans, gives orders to workers and VMs, and
// records the results in the store.
#pragma once

#include <sassafrasferry/coordination/call_relay.h>
#include <sassafrasferry/coordination/decision_log.h>
#include <sassafrasferry/coordination/fleet_controller.h>
#include <sassafrasferry/coordination/inherited_lease.h>
#include <sassafrasferry/coordination/job_loader.h>
#include <sassafrasferry/coordination/job_platform.h>
#include <sassafrasferry/coordination/job_recorder.h>
#include <sassafrasferry/coordination/job_tables.h>
#include <sassafrasferry/coordination/leader_options.h>
#include <sassafrasferry/coordination/leader_timing.h>
#include <sassafrasferry/coordination/load_watch.h>
#include <sassafrasferry/coordination/loop_watch.h>
#include <sassafrasferry/coordination/order_gate.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/coordination/table_follower.h>
#include <sassafrasferry/coordination/vm_survey.h>
#include <sassafrasferry/coordination/withdrawal_sweep.h>
#include <sassafrasferry/coordination/worker_roster.h>

#include <sassafrasferry/http/clock.h>

#include <boost/asio/post.hpp>

namespace sassafrasferry::coordination {

/// Leads for one tenure of the lease. A new object is created for each tenure.
template<JobPlatform Platform>
class Leader : public std::enable_shared_from_this<Leader<Platform>>
{
public:
    using Store = typename Platform::Store;
    using Cloud = typename Platform::Cloud;
    using Worker = RelayedWorker<typename Platform::Worker>;
    using Roster = WorkerRoster<Platform, Worker>;
    using Options = LeaderOptions;

    Leader(http::asio::any_io_executor executor, Store &store, Cloud &cloud, const Tenure &tenure,
           Options options, scheduling::Configuration configuration)
        : executor(executor)
        , store(store)
        , cloud(cloud)
        , tenure(tenure)
        , options(afterTakeover(std::move(options), tenure, bootNow()))
        , gate(this->options, this->tenure, bootNow())
        , scheduler(this->options.times, tenure.term * runsPerTerm, bootNow())
        , jobLoader(this->scheduler)
        , withdrawals(store, this->options.withdrawalRetention)
        , planWake(executor)
    {
        this->scheduler.setConfiguration(std::move(configuration));
        this->scheduler.setLeadConfirmed(this->options.confirmations().newest());
        this->scheduler.inheritRestarts(this->tenure.restartedWorkers,
                                        this->tenure.restartsKnownUntil);
    }

    void begin()
    {
        auto self = this->shared_from_this();
        logTakeover(this->tenure, this->options.times);
        this->spawnPart("lead", [self] { return self->run(); });
        this->spawnPart("load-watch", [self] { return watchLoad(self->loadWatch()); });
        this->spawnPart("loop-watch", [self] { return self->logLoop(); });
    }

    /// Stops giving orders and recording.
    void stop()
    {
        this->stopped = true;
        if (this->roster)
            this->roster->stop();
        if (this->intakeFollower)
            this->intakeFollower->stop();
        if (this->workerFollower)
            this->workerFollower->stop();
        if (this->fleet)
            this->fleet->stop();
        this->planWake.notify();
        if (this->recorder)
            this->recorder->stop();
        // The callbacks of these parts hold a reference to this leader, and one of them may be the
        // caller of `stop`, so the parts are destroyed later.
        http::asio::post(this->executor, [self = this->shared_from_this()] {
            self->fleet.reset();
            self->intakeFollower.reset();
            self->workerFollower.reset();
            self->roster.reset();
            self->recorder.reset();
        });
    }

    /// True once all jobs and all worker entries have been loaded.
    bool isReady() const
    {
        return this->jobLoader.isComplete() && this->knowsWorkers;
    }

    void setConfiguration(scheduling::Configuration configuration)
    {
        this->scheduler.setConfiguration(std::move(configuration));
        this->planWake.notify();
    }

    void addWave(const scheduling::Wave &wave)
    {
        this->waves.push_back(wave);
        if (this->fleet)
            this->fleet->addWave(wave);
    }

    /// VMs about which an order was given within the last hand-over delay.
    std::vector<std::string> orderedVms() const
    {
        return this->fleet ? this->fleet->orderedSince(bootNow() - this->options.handOverDelay)
                           : std::vector<std::string>{};
    }

    /// Orders about VMs, of this leader or an earlier one, that the platform may still execute.
    std::vector<scheduling::OpenVmOrder> openVmOrders() const
    {
        return this->fleet ? this->fleet->openOrders() : this->tenure.openVmOrders;
    }

    /// Workers that may run tasks on a lease by the clock of a former incarnation.
    std::vector<scheduling::RestartedWorker> restartedWorkers() const
    {
        return this->scheduler.restartedWorkers(bootNow());
    }

    scheduling::Scheduler &jobs()
    {
        return this->scheduler;
    }

    /// Time since which jobs and cancellations that the store acknowledged may be unknown here.
    Duration intakeAge() const
    {
        return bootNow() - this->coveredUntil(this->intakeFollower);
    }

private:
    template<typename Body>
    void spawnPart(std::string_view name, Body body)
    {
        spawn(this->executor, name, std::move(body),
              [self = this->shared_from_this()](const std::string &error) { self->fail(error); });
    }

    void fail(const std::string &why)
    {
        if (!this->stopped)
            this->options.onFailed(why);
    }

    LoadWatch loadWatch()
    {
        return {[this] { return this->loadSteps; },
                [this] { return this->stopped || this->isReady(); }, this->options.sinceConfirmed,
                this->options.loadStall,
                [this] {
                    this->fail("loading the tables of jobs and workers has stalled");
                }};
    }

    Awaitable<void> run()
    {
        auto self = this->shared_from_this();
        JobTables<Store> tables(this->store, [self] { return self->stopped; });
        this->jobPartNames = co_await tables.listParts(this->options.jobParts);
        if (this->jobPartNames.empty())
            co_return;
        ++this->loadSteps;
        this->recorder = std::make_shared<JobRecorder<Store>>(
            this->executor, this->store, this->scheduler, this->tenure.fence,
            this->options.jobParts, this->jobPartNames,
            typename JobRecorder<Store>::Events{[self] { self->roster->acknowledgeRecorded(); },
                                                [self](const std::string &why) {
                                                    if (!self->stopped)
                                                        self->options.onDeposed(why);
                                                },
                                                [self](const std::string &error) {
                                                    self->fail(error);
                                                }},
            this->options.rowLimits);
        // `stop` releases the parts while one of their coroutines may be suspended here. A local
        // reference keeps each part alive until its call returns.
        const auto openedRecorder = this->recorder;
        const bool isOpen = co_await openedRecorder->open();
        ++this->loadSteps;
        if (!isOpen)
            co_return;
        const auto takeProgress = [self](const std::vector<store::PartRow> &rows) {
            self->jobLoader.addProgress(rows);
            ++self->loadSteps;
        };
        const bool isLoaded = co_await tables.loadProgress(this->jobPartNames, takeProgress);
        if (!isLoaded)
            co_return;
        this->intakeFollower = std::make_shared<TableFollower<Store>>(
            this->store, FollowOptions{table::intake, this->jobPartNames, feedWait},
            [self](const auto &rows, bool) { self->takeIntake(rows); });
        // Workers are called only after all jobs are loaded. Otherwise this leader would stop the
        // runs of jobs that it does not know, and acknowledge their ends, which are then lost.
        const auto readIntake = this->intakeFollower;
        const bool knowsIntake = co_await readIntake->refreshUntilRead();
        if (!knowsIntake)
            co_return;
        this->intakeFollower->begin(this->executor);
        this->beginRoster();
        this->workerFollower = std::make_shared<TableFollower<Store>>(
            this->store, FollowOptions{Platform::workerTable(), {""}, feedWait, listPause},
            [self](const auto &rows, bool isWhole) { self->takeWorkers(rows, isWhole); });
        const auto readEntries = this->workerFollower;
        const bool knowsEntries = co_await readEntries->refreshUntilRead();
        if (!knowsEntries)
            co_return;
        this->workerFollower->begin(this->executor);
        this->spawnPart("learn-vms", [self] { return self->surveyPlatformVms(); });
        auto stored = this->jobLoader.takePieces();
        this->recorder->takePieces(std::move(stored.ofJobs), std::move(stored.stale));
        this->recorder->begin();
        this->beginFleet();
        co_await this->planLoop();
    }

    Awaitable<void> surveyPlatformVms()
    {
        const std::function<bool()> isStopped = [this] {
            return this->stopped;
        };
        // The first leader of all has no predecessor that could have started runs.
        if (this->tenure.term > 1)
            co_await surveyVms(this->cloud, this->scheduler, isStopped);
        if (this->stopped)
            co_return;
        this->scheduler.setAllWorkersKnown();
        this->planWake.notify();
    }

    using Follower = std::shared_ptr<TableFollower<Store>>;

    Instant coveredUntil(const Follower &follower) const
    {
        return follower ? this->options.confirmations().coveredUntil(follower->readVersion())
                        : Instant{};
    }

    bool canStart() const
    {
        return this->gate.canStart(this->readTimes(), this->scheduler.configuration().hasCaps());
    }

    ReadTimes readTimes() const
    {
        return {this->coveredUntil(this->intakeFollower), this->coveredUntil(this->workerFollower)};
    }

    void beginFleet()
    {
        auto self = this->shared_from_this();
        typename FleetController<Store, Cloud>::Options fleetOptions;
        fleetOptions.fence = this->tenure.fence;
        fleetOptions.deferredVms = this->tenure.orderedVms;
        fleetOptions.inheritedOrders = this->tenure.openVmOrders;
        fleetOptions.deferredUntil = this->gate.deferredUntil();
        fleetOptions.canOrder = [self] {
            return self->isReady() && self->gate.canOrderVms();
        };
        fleetOptions.announce = this->options.announce;
        fleetOptions.statusRow = &Platform::waveStatus;
        fleetOptions.onChange = [self] {
            self->planWake.notify();
        };
        this->fleet = std::make_shared<FleetController<Store, Cloud>>(
            this->executor, this->store, this->cloud, this->scheduler, std::move(fleetOptions));
        for (const auto &wave : this->waves)
            this->fleet->addWave(wave);
        this->fleet->begin();
    }

    void takeIntake(const std::vector<store::PartRow> &rows)
    {
        for (const auto &row : rows) {
            if (takeoverFence(row).value_or(0) > this->tenure.fence) {
                this->options.onDeposed("a newer leader has read the intake");
                return;
            }
            this->withdrawals.note(row, bootNow());
            if (!row.deleted && row.key != takeoverKey && !withdrawalIn(row))
                this->recorder->notePart(parseIntakeKey(row.key).job, row.part);
        }
        for (const auto &job : this->jobLoader.addIntake(rows))
            this->recorder->addCancellation(job);
        ++this->loadSteps;
        this->planWake.notify();
        this->recorder->wake();
    }

    Awaitable<void> sweepWithdrawals()
    {
        this->isSweeping = true;
        bool hasMore = true;
        while (hasMore && !this->stopped)
            hasMore = co_await this->withdrawals.sweep(bootNow());
        this->isSweeping = false;
    }

    void beginRoster()
    {
        auto self = this->shared_from_this();
        SessionEvents events;
        events.onChange = [self] {
            self->planWake.notify();
            if (self->scheduler.hasDirty())
                self->recorder->wake();
        };
        events.onFenced = [self](const std::string &why) {
            if (!self->stopped)
                self->options.onDeposed(why);
        };
        events.canOrder = [self] {
            return self->gate.canOrder();
        };
        events.canStart = [self] {
            return self->canStart();
        };
        events.leasesEndBy = this->options.leasesEndBy;
        events.startsValidUntil = [self] {
            return startsValidUntil(self->coveredUntil(self->intakeFollower), bootNow());
        };
        const auto makeWorker = [self](const std::string &id, const model::Endpoint &address) {
            return std::make_unique<Worker>(self->executor, id, address, [self] {
                return relayFor(self->options.relay, self->listedWorkers);
            });
        };
        this->roster = std::make_shared<Roster>(this->executor, this->scheduler, this->tenure.fence,
                                                makeWorker, std::move(events));
    }

    void takeWorkers(const std::vector<store::PartRow> &rows, bool isWhole)
    {
        this->roster->take(rows, isWhole);
        this->knowsWorkers = true;
        this->planWake.notify();
    }

    Awaitable<void> planLoop()
    {
        while (!this->stopped) {
            co_await this->planWake.wait(planTick);
            co_await pause(
                std::max<Duration>(planBatchDelay, planPauseFactor * this->lastPlanDuration));
            if (this->stopped)
                co_return;
            if (!this->isReady() || !this->gate.canOrder())
                continue;
            const auto begin = bootNow();
            this->scheduler.setLeadConfirmed(this->options.confirmations().newest());
            if (this->options.leaseVersion)
                this->scheduler.setFence(this->options.leaseVersion());
            const bool startsAllowed = this->canStart();
            this->startLog.note(startsAllowed, this->gate.newestAnswer(), this->readTimes(),
                                this->options.sinceConfirmed());
            this->roster->give(startsAllowed ? this->scheduler.plan(begin, http::unixNow())
                                             : this->scheduler.planStops(begin));
            this->lastPlanDuration = bootNow() - begin;
            this->loopFigures.addRound(this->lastPlanDuration);
            logRound(this->scheduler.takeNotes(), begin,
                     {this->options.sinceConfirmed(), this->intakeAge()});
            if (this->scheduler.hasDirty())
                this->recorder->wake();
            this->logLoadsPeriodically(begin);
        }
    }

    Awaitable<void> logLoop()
    {
        auto loggedAt = bootNow();
        while (!this->stopped) {
            auto &figures = this->loopFigures;
            co_await measureDelay(figures);
            const auto follower = this->intakeFollower;
            if (this->stopped || !follower || bootNow() - loggedAt < loadPeriod)
                continue;
            loggedAt = bootNow();
            logLeaderLoop(figures, {this->isReady(), this->options.sinceConfirmed(),
                                    follower->feedRows(), follower->readVersion(),
                                    this->options.leaseVersion ? this->options.leaseVersion() : 0});
            figures = {};
        }
    }

    void logLoadsPeriodically(Instant now)
    {
        if (now - this->loadsLoggedAt < loadPeriod)
            return;
        this->loadsLoggedAt = now;
        this->roster->forget(now);
        this->listedWorkers = this->scheduler.listedWorkers();
        logLoads(this->scheduler.loads(now, http::unixNow()));
        logCustomerUsage(this->scheduler.customerUsage(http::unixNow()));
        this->scheduler.noteWaitingTasks(now);
        if (!this->isSweeping && this->withdrawals.hasDue(now))
            this->spawnPart("withdrawal-sweep",
                            [self = this->shared_from_this()] { return self->sweepWithdrawals(); });
    }

    http::asio::any_io_executor executor;
    Store &store;
    Cloud &cloud;
    Tenure tenure;
    Options options;
    OrderGate gate;
    scheduling::Scheduler scheduler;
    std::vector<std::string> jobPartNames; // parts that hold rows of jobs, set at the start
    std::shared_ptr<JobRecorder<Store>> recorder;
    JobLoader jobLoader;
    WithdrawalSweep<Store> withdrawals;
    std::shared_ptr<Roster> roster;
    std::vector<scheduling::Wave> waves;
    std::shared_ptr<FleetController<Store, Cloud>> fleet;
    std::shared_ptr<TableFollower<Store>> intakeFollower;
    std::shared_ptr<TableFollower<Store>> workerFollower;
    Wake planWake;
    Instant loadsLoggedAt{};
    std::size_t listedWorkers = 0; // updated once a second
    Duration lastPlanDuration{}; // duration of the last planning round
    LoopFigures loopFigures; // since the last line about the event loop
    std::size_t loadSteps = 0; // number of table reads completed so far
    bool knowsWorkers = false;
    bool isSweeping = false; // a transaction that deletes withdrawals is under way
    StartLog startLog;
    bool stopped = false;
};

} // namespace sassafrasferry::coordination
