// A leader with a lease in the store, one worker that it reaches, and jobs.
#pragma once

#include <sassafrasferry/coordination/leader.h>
#include <sassafrasferry/coordination/peer_store_answers.h>
#include <sassafrasferry/coordination/stored_jobs.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include "busy_worker.h"
#include "store_link.h"

namespace sassafrasferry::coordination {

constexpr const char *cancelledJob = "cancelled";
constexpr const char *otherJob = "other";
constexpr std::size_t tasksPerJob = 2000;
constexpr Duration patience = std::chrono::seconds(60); // for what has to happen eventually

struct NoVms
{
    Awaitable<absl::StatusOr<std::vector<scheduling::Vm>>> list()
    {
        co_return std::vector<scheduling::Vm>{};
    }

    Awaitable<scheduling::FleetAnswer> sendOrder(scheduling::FleetOrder, std::int64_t)
    {
        co_return scheduling::FleetAnswer{};
    }
};

/// A platform with one worker.
struct OneWorkerPlatform
{
    using Store = StoreLink;
    using Worker = BusyWorkerCalls;
    using Cloud = NoVms;

    static std::string workerTable()
    {
        return "workers";
    }

    static absl::StatusOr<scheduling::WorkerListing> decodeListing(const std::string &id,
                                                                   const std::string &)
    {
        scheduling::WorkerListing listing;
        listing.id = id;
        listing.born = 100;
        listing.vm = "vm-1";
        listing.service = "s";
        listing.capacity = {3000, 1000, 0};
        return listing;
    }

    static WaveStatusRow waveStatus(std::int64_t, bool)
    {
        return {};
    }
};

inline std::string intakeValue()
{
    jobs::StepSpec step;
    step.count = tasksPerJob;
    step.need = {1000, 100, 0};
    step.perVmLimit = 1; // so that one job leaves room for the other
    step.estimate = std::chrono::milliseconds(100);
    jobs::QueueTerms terms;
    terms.queue = "q";
    terms.service = "s";
    auto record = recordOf({"text", {step}, 0, 0, std::chrono::milliseconds(0)}, terms);
    record.set_accepted_milliseconds(http::unixNow());
    return record.SerializeAsString();
}

/// A leader with a lease in the store, a worker and two jobs of many tasks.
class LeadingFixture
{
public:
    LeadingFixture()
        : leadership(this->link, "only", {"127.0.0.1", 1}, 1,
                     {[this](const Tenure &tenure) { this->lead(tenure); },
                      [this](const std::string &) {
                          this->dropLeader();
                      }},
                     {})
    {
        BusyWorkerCalls::worker = &this->worker;
        this->run([this]() -> Awaitable<void> {
            co_await this->put(OneWorkerPlatform::workerTable(), "", workerId, "");
            for (const auto *job : {cancelledJob, otherJob}) {
                const auto value = intakeValue();
                co_await this->put(table::intake, JobParts().partOf(job), job, value);
            }
        });
        spawn(this->context.get_executor(), "leadership",
              [this] { return this->leadership.run(); });
    }

    ~LeadingFixture()
    {
        this->dropLeader();
        this->peerFollows = false;
        this->store.isAway = true; // ends the calls of feeds
        this->context.run_for(std::chrono::milliseconds(400));
    }

    LeadingFixture(const LeadingFixture &) = delete;
    LeadingFixture &operator=(const LeadingFixture &) = delete;

    /// Runs until the condition holds. False if that takes too long.
    template<typename Condition>
    bool runUntil(Condition condition)
    {
        const auto latest = bootNow() + patience;
        while (!condition() && bootNow() < latest)
            this->context.run_one();
        return condition();
    }

    void runUntilTime(Instant time)
    {
        while (bootNow() < time)
            this->context.run_one();
    }

    /// Writes a row to the store, as another entry VM would.
    void putRow(const std::string &table, const std::string &part, const std::string &key,
                const std::string &value)
    {
        this->run([&]() -> Awaitable<void> { co_await this->put(table, part, key, value); });
    }

    /// Stores the cancellation. Returns when that was confirmed.
    Instant cancel()
    {
        bool isStored = false;
        this->run([&]() -> Awaitable<void> {
            const auto deadline = bootNow() + patience;
            isStored = co_await this->stored.cancel(cancelledJob, JobParts().partOf(cancelledJob),
                                                    deadline);
        });
        REQUIRE(isStored);
        return bootNow();
    }

    /// Adds another entry VM, which asks the store and sends hellos to the leader while
    /// `peerFollows`.
    void addPeer()
    {
        this->peerFollows = true;
        spawn(this->context.get_executor(), "peer", [this] { return this->sendHellos(); });
    }

    bool hasStartAfter(const std::string &job, Instant time) const
    {
        return this->countStartsAfter(job, time) > 0;
    }

    std::size_t countStartsAfter(const std::string &job, Instant time) const
    {
        const auto &starts = this->worker.starts;
        return static_cast<std::size_t>(
            std::count_if(starts.begin(), starts.end(),
                          [&](const Start &start) { return start.job == job && start.at > time; }));
    }

    /// When the last start of the job stops being valid.
    Instant validUntil(const std::string &job) const
    {
        Instant latest{};
        for (const auto &start : this->worker.starts) {
            if (start.job == job)
                latest = std::max(latest, start.validUntil);
        }
        return latest;
    }

    FeedStore store;
    StoreLink link{store}; ///< the leader's
    BusyWorker worker;
    Leadership<StoreLink> leadership;
    std::shared_ptr<Leader<OneWorkerPlatform>> leader; ///< null unless the lease is held
    bool peerFollows = false; ///< whether the peer's hellos reach this leader

private:
    static constexpr Duration helloPeriod = std::chrono::milliseconds(250);

    Awaitable<void> sendHellos()
    {
        Instant answeredAt{};
        while (this->peerFollows) {
            const store::PartRange range{table::lease, table::lease, "", ""};
            const auto page = co_await this->store.scan(range);
            if (page.ok())
                answeredAt = bootNow();
            auto hello = helloOf(1, answeredAt, bootNow());
            hello.set_address("peer");
            this->peerStoreAnswers.noteQuestion(hello, bootNow());
            co_await pause(helloPeriod);
        }
    }

    void lead(const Tenure &tenure)
    {
        Leader<OneWorkerPlatform>::Options options;
        options.sinceConfirmed = [this] {
            return this->leadership.sinceConfirmed();
        };
        options.confirmations = [this]() -> const ReadIndex & {
            return this->leadership.confirmations();
        };
        options.peerContact = [this] {
            return this->peerStoreAnswers.contact(bootNow());
        };
        options.leadership = LeadershipTimes{};
        options.announce = [this](std::vector<std::string> vms) {
            return this->leadership.announce(std::move(vms));
        };
        options.onDeposed = [this](const std::string &why) {
            this->leadership.deposed(why);
        };
        options.onFailed = options.onDeposed;
        const scheduling::Configuration configuration;
        this->leader = std::make_shared<Leader<OneWorkerPlatform>>(
            this->context.get_executor(), this->link, this->cloud, tenure, std::move(options),
            configuration);
        this->leader->begin();
    }

    void dropLeader()
    {
        if (this->leader)
            this->leader->stop();
        this->leader.reset();
    }

    Awaitable<void> put(std::string table, std::string part, std::string key, std::string value)
    {
        const store::PartTransaction transaction{part, {}, {{table, key, value}}, {}};
        co_await this->store.commit(transaction);
    }

    template<typename Body>
    void run(Body body)
    {
        bool isOver = false;
        spawn(this->context.get_executor(), "test", [&]() -> Awaitable<void> {
            co_await body();
            isOver = true;
        });
        while (!isOver)
            this->context.run_one();
    }

    http::asio::io_context context;
    // Keeps `run_one` from returning at once while no coroutine is active.
    http::asio::executor_work_guard<http::asio::io_context::executor_type> work{
        this->context.get_executor()};
    NoVms cloud;
    StoredJobs<FeedStore> stored{store}; // of another entry VM
    PeerStoreAnswers peerStoreAnswers;
};

} // namespace sassafrasferry::coordination
