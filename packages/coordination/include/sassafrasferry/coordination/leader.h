// The scheduling leader at work: it learns all jobs and workers, plans, orders and records.
#pragma once

#include <sassafrasferry/coordination/call_relay.h>
#include <sassafrasferry/coordination/fleet_keeper.h>
#include <sassafrasferry/coordination/job_recorder.h>
#include <sassafrasferry/coordination/leadership.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/coordination/table_follower.h>
#include <sassafrasferry/coordination/worker_session.h>

#include <sassafrasferry/http/clock.h>

#include <boost/asio/post.hpp>

#include <map>
#include <set>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::coordination {

/// How a leader is tied to its platform.
template<typename T>
concept JobPlatform = requires(std::string text, http::asio::any_io_executor executor,
                               const model::Endpoint &endpoint)
{
    requires store::PartStore<typename T::Store>;
    requires WorkerCalls<typename T::Worker>;
    requires CloudCalls<typename T::Cloud>;
    // The table in which workers list themselves.
    {
        T::workerTable()
        } -> std::convertible_to<std::string>;
    {
        T::decodeListing(text, text)
        } -> std::same_as<absl::StatusOr<scheduling::WorkerListing>>;
};

/// One tenure of the lease. Made anew for each.
template<JobPlatform Platform>
class Leader : public std::enable_shared_from_this<Leader<Platform>>
{
public:
    using Store = typename Platform::Store;
    using Cloud = typename Platform::Cloud;
    using Worker = RelayedWorker<typename Platform::Worker>;
    using Session = WorkerSession<Worker>;

    struct Options
    {
        scheduling::SchedulerTimes times;
        std::function<void(const std::string &why)> onDeposed;
        OnFailure onFailed; ///< this process can't lead now
        std::function<Duration()> sinceConfirmed; ///< how long ago the store confirmed the lease
        CallRelay *relay = nullptr; ///< through which workers are called once there are many
        Duration orderLimit{}; ///< no order is given that long after
        /// Between the last order about a VM of one leader and the first of the next.
        Duration turn = std::chrono::milliseconds(3000);
        /// Without a further part of the tables while the store confirms the lease. A slow store
        /// takes seconds for a part of many pages.
        Duration loadStall = std::chrono::seconds(8);
    };

    Leader(http::asio::any_io_executor executor, Store &store, Cloud &cloud, const Tenure &tenure,
           Options options, scheduling::Configuration configuration)
        : executor(executor)
        , store(store)
        , cloud(cloud)
        , tenure(tenure)
        , tookOverAt(bootNow())
        , options(std::move(options))
        , scheduler(timesFor(this->options, tenure), tenure.term * runsPerTerm, bootNow())
        , planWake(executor)
    {
        this->scheduler.setConfiguration(std::move(configuration));
    }

    void begin()
    {
        this->spawnPart("lead", [self = this->shared_from_this()] { return self->run(); });
        this->spawnPart("load-watch",
                        [self = this->shared_from_this()] { return self->watchLoad(); });
    }

    /// Nothing is ordered or recorded any more.
    void stop()
    {
        this->stopped = true;
        for (auto &entry : this->sessions)
            entry.second->stop();
        if (this->intakeFollower)
            this->intakeFollower->stop();
        if (this->workerFollower)
            this->workerFollower->stop();
        this->sessions.clear();
        if (this->fleet)
            this->fleet->stop();
        this->planWake.notify();
        if (this->recorder)
            this->recorder->stop();
        // Those hold this leader by their callbacks, one of which may be what called here.
        http::asio::post(this->executor, [self = this->shared_from_this()] {
            self->fleet.reset();
            self->intakeFollower.reset();
            self->workerFollower.reset();
            self->recorder.reset();
        });
    }

    /// True once it knows every job.
    bool isReady() const
    {
        return this->knowsJobs && this->knowsWorkers;
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

    /// VMs about which an order was given within the last turn.
    std::vector<std::string> orderedVms() const
    {
        return this->fleet ? this->fleet->orderedSince(bootNow() - this->options.turn)
                           : std::vector<std::string>{};
    }

    scheduling::Scheduler &jobs()
    {
        return this->scheduler;
    }

private:
    static scheduling::SchedulerTimes timesFor(const Options &options, const Tenure &tenure)
    {
        auto times = options.times;
        // What a leader that has stopped had sent lives for one lease; another may go on ordering
        // until it gives up by itself.
        times.inheritedLease =
            policy::fromSeconds(policy::seconds(times.workerLease) * (1 + times.clockDrift))
            + times.leaseMargin;
        if (!tenure.predecessorStopped)
            times.inheritedLease += options.orderLimit;
        return times;
    }

    // Above all starts of one task in one term, so that no leader's run numbers meet another's.
    static constexpr std::int64_t runsPerTerm = 1000;
    // Orders about VMs are given only under a lease that was confirmed this lately: less than the
    // term after which another may take it, so the other need not add the whole of it to its wait.
    static constexpr Duration vmOrderLimit = std::chrono::milliseconds(800);
    static constexpr Duration vmOrderMargin = std::chrono::milliseconds(200);
    static constexpr Duration confirmedLately = std::chrono::milliseconds(1000);
    static constexpr auto loadWatchTick = std::chrono::milliseconds(200);
    static constexpr auto loadPeriod = std::chrono::seconds(1);
    static constexpr auto planTick = std::chrono::milliseconds(50);
    // Ends and answers that come together are planned for together.
    static constexpr auto planGather = std::chrono::milliseconds(2);
    // Planning takes at most this part of the time, so that answers are still taken in.
    static constexpr int planShare = 4;
    static constexpr auto retryPause = std::chrono::milliseconds(50);
    // Workers write their entry every second or two; news of a drain may be this much later.
    static constexpr std::chrono::milliseconds listPause{250};

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

    // A leader that renews its lease but never learns the jobs keeps all others from leading, and
    // callers wait for good. The store confirms its lease, so others can read what it can't.
    Awaitable<void> watchLoad()
    {
        auto seen = this->loadSteps;
        auto movedAt = bootNow();
        while (!this->stopped && !this->isReady()) {
            co_await pause(loadWatchTick);
            const auto now = bootNow();
            const bool isConfirmed = this->options.sinceConfirmed() < confirmedLately;
            if (std::exchange(seen, this->loadSteps) != this->loadSteps || !isConfirmed)
                movedAt = now;
            if (now - movedAt > this->options.loadStall && !this->isReady())
                this->fail("the jobs can't be read");
        }
    }

    Awaitable<void> run()
    {
        auto self = this->shared_from_this();
        this->recorder = std::make_shared<JobRecorder<Store>>(
            this->executor, this->store, this->scheduler, this->tenure.fence,
            typename JobRecorder<Store>::Events{[self] { self->tellRecorded(); },
                                                [self](const std::string &why) {
                                                    if (!self->stopped)
                                                        self->options.onDeposed(why);
                                                },
                                                [self](const std::string &error) {
                                                    self->fail(error);
                                                }});
        const bool isOpen = co_await this->recorder->open();
        ++this->loadSteps;
        if (!isOpen)
            co_return;
        const bool isLoaded = co_await this->loadProgress();
        if (!isLoaded)
            co_return;
        this->intakeFollower = std::make_shared<TableFollower<Store>>(
            this->store, FollowOptions{table::intake, allJobParts()},
            [self](const auto &rows, bool) { self->takeIntake(rows); });
        // Workers are asked only once all jobs are known: a run or an end of a job that this leader
        // does not know would be stopped, or acknowledged and so forgotten.
        while (!this->knowsJobs && !this->stopped) {
            if (!co_await this->intakeFollower->refresh())
                co_await pause(retryPause);
        }
        if (this->stopped)
            co_return;
        this->intakeFollower->begin(this->executor);
        this->workerFollower = std::make_shared<TableFollower<Store>>(
            this->store,
            FollowOptions{
                Platform::workerTable(), {""}, std::chrono::milliseconds(2500), listPause},
            [self](const auto &rows, bool isWhole) { self->takeWorkers(rows, isWhole); });
        while (!this->knowsWorkers && !this->stopped) {
            if (!co_await this->workerFollower->refresh())
                co_await pause(retryPause);
        }
        if (this->stopped)
            co_return;
        this->workerFollower->begin(this->executor);
        this->spawnPart("learn-vms", [self] { return self->learnVms(); });
        this->recorder->begin();
        this->beginFleet();
        co_await this->planLoop();
    }

    void tellRecorded()
    {
        for (auto &entry : this->sessions)
            entry.second->recorded();
    }

    // A worker that is cut off from the store is in the platform's list of VMs alone; one whose VM
    // was moved may still be in the store's.
    Awaitable<void> learnVms()
    {
        while (this->tenure.term > 1 && !this->stopped) {
            const auto listedBefore = this->listedIds();
            const auto vms = co_await this->cloud.list();
            if (vms.ok() && !this->stopped) {
                this->takeVms(*vms, listedBefore);
                break;
            }
            co_await pause(retryPause);
        }
        this->scheduler.knowsAllWorkers();
        this->planWake.notify();
    }

    std::set<std::string> listedIds() const
    {
        std::set<std::string> ids;
        for (const auto &entry : this->scheduler.workers())
            ids.insert(entry.first);
        return ids;
    }

    void takeVms(const std::vector<scheduling::Vm> &vms, const std::set<std::string> &listedBefore)
    {
        for (const auto &vm : vms) {
            if (!vm.worker.empty())
                this->scheduler.expectWorker(vm.worker, vm.pool);
            if (vm.state == scheduling::VmState::Down)
                continue;
            const bool isUp = vm.state == scheduling::VmState::Up;
            this->scheduler.endEarlierLives({vm.name, vm.pool, vm.worker, isUp}, listedBefore,
                                            bootNow());
        }
    }

    // Below this many workers the leader calls them itself: the detour costs a few milliseconds.
    static constexpr std::size_t fewestRelayed = 100;

    CallRelay *relay() const
    {
        const bool isMany = this->listedWorkers >= fewestRelayed;
        return isMany && this->options.relay->isOpen() ? this->options.relay : nullptr;
    }

    // Woken after a freeze, it must not order by what it believed before.
    bool mayOrder() const
    {
        return this->options.sinceConfirmed() < this->options.orderLimit;
    }

    void beginFleet()
    {
        auto self = this->shared_from_this();
        typename FleetKeeper<Store, Cloud>::Options fleetOptions;
        fleetOptions.fence = this->tenure.fence;
        fleetOptions.deferred = this->tenure.orderedVms;
        fleetOptions.deferredUntil = this->tookOverAt + this->options.turn + vmOrderMargin;
        fleetOptions.mayOrder = [self] {
            return self->mayOrderVms();
        };
        fleetOptions.statusRow = &Platform::waveStatus;
        fleetOptions.onChange = [self] {
            self->planWake.notify();
        };
        this->fleet = std::make_shared<FleetKeeper<Store, Cloud>>(
            this->executor, this->store, this->cloud, this->scheduler, std::move(fleetOptions));
        for (const auto &wave : this->waves)
            this->fleet->addWave(wave);
        this->fleet->begin();
    }

    // The leader before may have sent an order just before the store stopped confirming its lease.
    bool mayOrderVms() const
    {
        const auto wait = this->tenure.isFirst || this->tenure.handedOver
                              ? Duration::zero()
                              : this->options.turn + vmOrderMargin;
        return this->isReady() && this->options.sinceConfirmed() < vmOrderLimit
               && bootNow() - this->tookOverAt > wait;
    }

    Awaitable<bool> loadProgress()
    {
        for (const auto &part : allJobParts()) {
            for (;;) {
                const store::PartRange range{table::progress, part, "", ""};
                const auto page = co_await this->store.scan(range);
                if (this->stopped)
                    co_return false;
                if (page.ok()) {
                    for (const auto &row : page->rows) {
                        messages::JobProgress progress;
                        if (progress.ParseFromString(row.value))
                            this->inherited[row.key] = std::move(progress);
                        else
                            LOG(ERROR) << "event=progress-unreadable job=" << row.key;
                    }
                    ++this->loadSteps;
                    break;
                }
                co_await pause(retryPause);
            }
        }
        co_return true;
    }

    void takeIntake(const std::vector<store::PartRow> &rows)
    {
        std::vector<std::string> cancelled;
        for (const auto &row : rows) {
            if (row.deleted)
                continue;
            const auto key = parseIntakeKey(row.key);
            if (key.cancels)
                cancelled.push_back(key.job);
            else
                this->takeJob(key.job, row.value);
        }
        // What is over has left the intake; its progress row tells how.
        for (const auto &entry : this->inherited) {
            const auto state = static_cast<scheduling::JobState>(entry.second.state());
            if (jobs::isFinal(state))
                this->addOver(entry.first, state);
        }
        this->inherited.clear();
        for (const auto &job : cancelled) {
            if (this->scheduler.cancelJob(job))
                this->recorder->cancelled(job);
        }
        this->knowsJobs = true;
        ++this->loadSteps;
        this->planWake.notify();
        this->recorder->wake();
    }

    void addOver(const std::string &id, scheduling::JobState state)
    {
        auto job = std::make_unique<jobs::Job>(id, jobs::JobSpec{}, jobs::QueueTerms{}, bootNow());
        job->state = state;
        this->scheduler.addJob(std::move(job));
    }

    void takeJob(const std::string &id, const std::string &bytes)
    {
        messages::JobRecord record;
        if (!record.ParseFromString(bytes)) {
            LOG(ERROR) << "event=job-unreadable job=" << id;
            return;
        }
        jobs::QueueTerms terms;
        terms.queue = record.queue();
        terms.service = record.service();
        terms.priority = record.priority();
        terms.maxAttempts = record.max_attempts();
        terms.stretch = record.stretch();
        terms.target = std::chrono::milliseconds(record.target_milliseconds());
        // A wall clock that was set back or ahead must not put a job far from its turn.
        const auto age = std::chrono::milliseconds(std::clamp<std::int64_t>(
            http::unixNow() - record.accepted_milliseconds(), 0, this->knowsJobs ? 5000 : 60000));
        auto job = std::make_unique<jobs::Job>(id, jobs::specFrom(record), std::move(terms),
                                               bootNow() - age);
        job->inherited = !this->knowsJobs;
        if (const auto at = this->inherited.find(id); at != this->inherited.end()) {
            job->restore(at->second);
            job->recordedChanges = job->changes;
        }
        this->scheduler.addJob(std::move(job));
    }

    void takeWorkers(const std::vector<store::PartRow> &rows, bool isWhole)
    {
        const auto now = bootNow();
        std::set<std::string> seen;
        for (const auto &row : rows) {
            if (row.deleted) {
                this->scheduler.unlistWorker(row.key);
                continue;
            }
            seen.insert(row.key);
            this->takeListing(row, now);
        }
        if (isWhole) {
            std::vector<std::string> gone;
            for (const auto &entry : this->scheduler.workers()) {
                if (entry.second.listed && seen.count(entry.first) == 0)
                    gone.push_back(entry.first);
            }
            for (const auto &id : gone)
                this->scheduler.unlistWorker(id);
        }
        this->knowsWorkers = true;
        this->planWake.notify();
    }

    void takeListing(const store::PartRow &row, Instant now)
    {
        const auto listing = Platform::decodeListing(row.key, row.value);
        if (!listing.ok()) {
            LOG(WARNING) << "event=worker-unreadable worker=" << row.key
                         << " version=" << row.version << " error=\"" << listing.status().message()
                         << '"';
            this->scheduler.unlistWorker(row.key);
            return;
        }
        auto &known = this->addresses[row.key];
        const bool isNew = this->sessions.count(row.key) == 0 || !(known == listing->address);
        this->scheduler.listWorker(*listing, now);
        if (!isNew)
            return;
        known = listing->address;
        if (const auto at = this->sessions.find(row.key); at != this->sessions.end())
            at->second->stop();
        auto self = this->shared_from_this();
        auto session = std::make_shared<Session>(
            this->executor, this->scheduler, row.key,
            std::make_unique<Worker>(this->executor, row.key, listing->address,
                                     [self] { return self->relay(); }),
            this->tenure.fence,
            SessionEvents{[self] {
                              self->planWake.notify();
                              if (self->scheduler.hasDirty())
                                  self->recorder->wake();
                          },
                          [self](const std::string &why) {
                              if (!self->stopped)
                                  self->options.onDeposed(why);
                          },
                          [self] {
                              return self->mayOrder();
                          }});
        this->sessions[row.key] = session;
        session->begin();
    }

    Awaitable<void> planLoop()
    {
        while (!this->stopped) {
            co_await this->planWake.wait(planTick);
            co_await pause(std::max<Duration>(planGather, planShare * this->planTook));
            if (this->stopped)
                co_return;
            if (!this->isReady() || !this->mayOrder())
                continue;
            const auto begin = bootNow();
            this->give(this->scheduler.plan(begin, http::unixNow()));
            this->planTook = bootNow() - begin;
            this->tellNotes(begin);
            if (this->scheduler.hasDirty())
                this->recorder->wake();
            this->tellLoads();
        }
    }

    // The notes of a round go out as one record of many lines: a record each costs the leader more
    // than the decisions themselves.
    void tellNotes(Instant at)
    {
        const auto notes = this->scheduler.takeNotes();
        if (notes.empty())
            return;
        const auto time = at.time_since_epoch() / std::chrono::milliseconds(1);
        std::string lines = "event=round notes=" + std::to_string(notes.size());
        for (const auto &note : notes)
            absl::StrAppend(&lines, "\nt=", time, " event=", note.event, " of=", note.subject, " ",
                            note.detail);
        LOG(INFO) << lines;
    }

    void forgetWorkers(Instant now)
    {
        this->scheduler.forgetWorkers(now);
        this->listedWorkers = this->scheduler.listedWorkers();
        std::erase_if(this->sessions, [&](const auto &entry) {
            const bool isGone = !this->scheduler.findWorker(entry.first);
            if (isGone)
                entry.second->stop();
            return isGone;
        });
        std::erase_if(this->addresses,
                      [&](const auto &entry) { return this->sessions.count(entry.first) == 0; });
    }

    // One line a second for each service: what it has to do, and with what.
    void tellLoads()
    {
        const auto now = bootNow();
        if (now - this->loadsToldAt < loadPeriod)
            return;
        this->loadsToldAt = now;
        this->forgetWorkers(now);
        for (const auto &entry : this->scheduler.loads(now, http::unixNow())) {
            const auto &load = entry.second;
            LOG(INFO) << "event=load service=" << entry.first << " workers=" << load.workers
                      << " jobs=" << load.jobs << " cpu=" << load.capacity.cpu
                      << " free=" << load.room.cpu << " lasting=" << load.lasting.cpu
                      << " running=" << load.running.cpu << " ready=" << load.ready.cpu
                      << " ready-core-s=" << load.readySeconds
                      << " hopeful-core-s=" << load.hopefulSeconds;
        }
    }

    void give(scheduling::Orders orders)
    {
        this->giveAll(std::move(orders.stops));
        this->giveAll(std::move(orders.starts));
        this->giveAll(std::move(orders.paces));
    }

    template<typename Order>
    void giveAll(std::vector<Order> orders)
    {
        for (auto &order : orders) {
            const auto at = this->sessions.find(order.worker);
            if (at != this->sessions.end())
                at->second->order(std::move(order));
        }
    }

    http::asio::any_io_executor executor;
    Store &store;
    Cloud &cloud;
    Tenure tenure;
    Instant tookOverAt;
    Options options;
    scheduling::Scheduler scheduler;
    std::shared_ptr<JobRecorder<Store>> recorder;
    std::map<std::string, messages::JobProgress> inherited; // until the intake is known
    std::map<std::string, std::shared_ptr<Session>> sessions;
    std::map<std::string, model::Endpoint> addresses; // of the sessions
    std::vector<scheduling::Wave> waves;
    std::shared_ptr<FleetKeeper<Store, Cloud>> fleet;
    std::shared_ptr<TableFollower<Store>> intakeFollower;
    std::shared_ptr<TableFollower<Store>> workerFollower;
    Wake planWake;
    Instant loadsToldAt{};
    std::size_t listedWorkers = 0; // as counted once a second
    Duration planTook{}; // the last time
    std::size_t loadSteps = 0; // parts of the store's tables that have been read
    bool knowsJobs = false;
    bool knowsWorkers = false;
    bool stopped = false;
};

} // namespace sassafrasferry::coordination
