// The leader's control of VMs: lists them, gives the orders that the fleet planner decides, and
// records the progress of maintenance waves.
#pragma once

#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/scheduling/fleet_planner.h>

#include <sassafrasferry/http/clock.h>

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <functional>
#include <memory>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// A client of the platform's interface to VMs.
template<typename T>
concept CloudCalls = requires(T &cloud, scheduling::FleetOrder order, std::int64_t fence)
{
    {
        cloud.list()
        } -> std::same_as<Awaitable<absl::StatusOr<std::vector<scheduling::Vm>>>>;
    {
        cloud.sendOrder(order, fence)
        } -> std::same_as<Awaitable<scheduling::FleetAnswer>>;
};

/// The row in which operators read the state of a wave.
struct WaveStatusRow
{
    std::string table;
    std::string key;
    std::string value;
};

template<store::PartStore Store, CloudCalls Cloud>
class FleetController : public std::enable_shared_from_this<FleetController<Store, Cloud>>
{
public:
    struct Options
    {
        std::int64_t fence = 0;
        std::vector<std::string> deferredVms; ///< VMs of the predecessor's last orders
        /// Orders of earlier leaders that the platform may still execute.
        std::vector<scheduling::OpenVmOrder> inheritedOrders;
        /// No order is given about `deferredVms` and the VMs of `inheritedOrders` before this time.
        Instant deferredUntil{};
        /// Records the VMs of the next orders for a successor. If it returns false, the orders must
        /// not be given.
        std::function<Awaitable<bool>(std::vector<std::string> vms)> announce;
        std::function<bool()> canOrder; ///< true while orders about VMs are allowed
        std::function<WaveStatusRow(std::int64_t wave, bool completed)> statusRow;
        std::function<void()> onChange; ///< called when the scheduler should plan again
    };

    FleetController(http::asio::any_io_executor executor, Store &store, Cloud &cloud,
                    scheduling::Scheduler &scheduler, Options options)
        : executor(executor)
        , store(store)
        , cloud(cloud)
        , scheduler(scheduler)
        , options(std::move(options))
        , planner(termsFor(scheduler))
    {}

    /// VMs about which an order was given since the given time.
    std::vector<std::string> orderedSince(Instant since) const
    {
        std::vector<std::string> vms;
        for (const auto &entry : this->orderedAt) {
            if (entry.second >= since)
                vms.push_back(entry.first);
        }
        return vms;
    }

    /// Orders that the platform may execute from now on, including inherited ones.
    std::vector<scheduling::OpenVmOrder> openOrders() const
    {
        return this->planner.openOrders();
    }

    void begin()
    {
        for (const auto &vm : this->options.deferredVms)
            this->planner.deferOrders(vm, this->options.deferredUntil);
        for (const auto &order : this->options.inheritedOrders)
            this->planner.adoptOrder(order, this->scheduler, this->options.deferredUntil);
        spawn(this->executor, "fleet", [self = this->shared_from_this()] {
            return restarted("fleet", [self] { return self->run(); });
        });
    }

    void stop()
    {
        this->stopped = true;
    }

    void addWave(const scheduling::Wave &wave)
    {
        this->newWaves.push_back(wave);
    }

private:
    static scheduling::FleetPlannerOptions termsFor(const scheduling::Scheduler &scheduler)
    {
        scheduling::FleetPlannerOptions terms;
        terms.sizing.mechanisms = scheduler.mechanisms();
        return terms;
    }

    static constexpr auto tick = std::chrono::milliseconds(60);
    static constexpr auto listPause = std::chrono::milliseconds(2500);
    static constexpr auto busyListPause = std::chrono::milliseconds(1000);
    static constexpr auto missingVmListPause = std::chrono::milliseconds(500);
    static constexpr auto retryPause = std::chrono::milliseconds(200);

    Awaitable<void> run()
    {
        while (!this->stopped) {
            co_await pause(tick);
            if (this->stopped)
                continue;
            this->planner.releaseSettledVms(this->scheduler);
            this->logNotes();
            if (!this->options.canOrder())
                continue;
            co_await this->loadWaves();
            co_await this->list();
            if (this->stopped || !this->hasListed)
                continue;
            auto orders = this->planner.plan(this->scheduler, bootNow(), http::unixNow());
            co_await this->announceAndGive(std::move(orders));
            this->logNotes();
            co_await this->recordWaves();
        }
    }

    // Loads which VMs of each new wave earlier leaders have maintained, and hands the waves that
    // are not completed to the planner.
    Awaitable<void> loadWaves()
    {
        while (!this->newWaves.empty() && !this->stopped) {
            const auto wave = this->newWaves.front();
            const store::PartRange range{table::waves, table::waves, "", ""};
            const auto page = co_await this->store.scan(range);
            if (!page.ok() || this->stopped)
                co_return;
            std::set<std::string> done;
            bool isCompleted = false;
            for (const auto &row : page->rows) {
                if (row.key != std::to_string(wave.number))
                    continue;
                for (const auto &vm : absl::StrSplit(row.value, ',', absl::SkipEmpty()))
                    done.insert(std::string(vm));
                isCompleted = done.erase(completedMark) != 0;
            }
            this->newWaves.erase(this->newWaves.begin());
            if (!isCompleted)
                this->planner.addWave(wave, std::move(done), bootNow());
        }
    }

    Duration wantedListPause() const
    {
        if (this->planner.hasMissingWaveVms())
            return missingVmListPause;
        return this->planner.hasPendingChanges() ? busyListPause : listPause;
    }

    Awaitable<void> list()
    {
        const auto asked = bootNow();
        if (this->hasListed && asked - this->listedAt < this->wantedListPause())
            co_return;
        const auto vms = co_await this->cloud.list();
        if (!vms.ok()) {
            LOG(WARNING) << "event=vms-unlisted error=\"" << vms.status().message() << '"';
            this->listedAt = asked;
            co_return;
        }
        this->listedAt = asked;
        this->hasListed = true;
        this->planner.updateVms(*vms, asked);
    }

    Awaitable<void> announceAndGive(std::vector<scheduling::FleetOrder> orders)
    {
        if (orders.empty())
            co_return;
        std::vector<std::string> names;
        for (const auto &order : orders)
            names.push_back(order.vm);
        const bool isAnnounced = co_await this->options.announce(std::move(names));
        if (this->stopped)
            co_return;
        for (auto &order : orders) {
            if (isAnnounced && this->options.canOrder()
                && this->planner.canSend(order, this->scheduler, bootNow()))
                this->give(std::move(order));
            else
                this->planner.handleAnswer(order, scheduling::FleetAnswer::Refused, this->scheduler,
                                           bootNow());
        }
    }

    void give(scheduling::FleetOrder order)
    {
        spawn(this->executor, "vm-order",
              [self = this->shared_from_this(), order = std::move(order)] {
                  return self->call(order);
              });
    }

    Awaitable<void> call(scheduling::FleetOrder order)
    {
        this->orderedAt[order.vm] = bootNow();
        const auto answer = co_await this->cloud.sendOrder(order, this->options.fence);
        this->orderedAt[order.vm] = bootNow();
        if (this->stopped)
            co_return;
        this->planner.handleAnswer(order, answer, this->scheduler, bootNow());
        this->logNotes();
        this->options.onChange();
    }

    void logNotes()
    {
        for (const auto &note : this->planner.takeNotes())
            LOG(INFO) << "event=" << note.event << " of=" << note.subject << ' ' << note.detail;
    }

    Awaitable<void> recordWaves()
    {
        // Copied, because answers to orders change the planner's waves during the writes below.
        const auto waves = this->planner.waves();
        for (const auto &entry : waves) {
            const auto &progress = entry.second;
            auto &recorded = this->recordedChanges[entry.first];
            if (recorded >= progress.changes || this->stopped)
                continue;
            auto done = absl::StrJoin(progress.done, ",");
            if (progress.completed)
                done += std::string(",") + completedMark;
            store::PartTransaction transaction;
            transaction.part = table::waves;
            transaction.puts.push_back({table::waves, std::to_string(entry.first), done});
            const auto commit = co_await this->store.commit(transaction);
            const auto row = this->options.statusRow(entry.first, progress.completed);
            store::PartTransaction status;
            status.puts.push_back({row.table, row.key, row.value});
            auto statusCommit = store::CommitState::Committed;
            if (recorded == 0 || progress.completed) {
                const auto answer = co_await this->store.commit(status);
                statusCommit = answer.state;
            }
            if (commit.state == store::CommitState::Committed
                && statusCommit == store::CommitState::Committed)
                recorded = progress.changes;
            else
                co_await pause(retryPause);
        }
    }

    static constexpr const char *completedMark = "completed";

    http::asio::any_io_executor executor;
    Store &store;
    Cloud &cloud;
    scheduling::Scheduler &scheduler; // not accessed after `stop`
    Options options;
    scheduling::FleetPlanner planner;
    std::vector<scheduling::Wave> newWaves;
    std::map<std::int64_t, std::uint64_t> recordedChanges; // by wave number
    std::map<std::string, Instant> orderedAt; // by VM: time of its last order, or of the answer
    Instant listedAt{};
    bool hasListed = false;
    bool stopped = false;
};

} // namespace sassafrasferry::coordination
