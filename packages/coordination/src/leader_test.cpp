#include <sassafrasferry/coordination/leader.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include "../tests/memory_store.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;

namespace {

/// A worker that never answers.
struct SilentWorker
{
    SilentWorker(http::asio::any_io_executor, std::string, const model::Endpoint &)
    {}

    Awaitable<HoldAnswer> hold(HoldRequest)
    {
        co_return HoldAnswer{};
    }

    Awaitable<scheduling::OrderReply> start(const scheduling::StartOrder &, std::int64_t,
                                            std::int64_t)
    {
        co_return scheduling::OrderReply{scheduling::OrderAnswer::NoAnswer, {}};
    }

    Awaitable<scheduling::OrderReply> stop(const scheduling::StopOrder &, std::int64_t)
    {
        co_return scheduling::OrderReply{scheduling::OrderAnswer::NoAnswer, {}};
    }

    Awaitable<scheduling::OrderAnswer> pace(const scheduling::PaceOrder &, std::int64_t)
    {
        co_return scheduling::OrderAnswer::NoAnswer;
    }
};

struct ListedCloud
{
    std::vector<scheduling::Vm> vms;

    Awaitable<absl::StatusOr<std::vector<scheduling::Vm>>> list()
    {
        co_return this->vms;
    }

    Awaitable<scheduling::FleetAnswer> sendOrder(scheduling::FleetOrder, std::int64_t)
    {
        co_return scheduling::FleetAnswer{};
    }
};

struct TestPlatform
{
    using Store = MemoryStore;
    using Worker = SilentWorker;
    using Cloud = ListedCloud;

    static std::string workerTable()
    {
        return "workers";
    }

    static absl::StatusOr<scheduling::WorkerListing> decodeListing(const std::string &,
                                                                   const std::string &)
    {
        return absl::DataLossError("no workers here");
    }

    static WaveStatusRow waveStatus(std::int64_t, bool)
    {
        return {};
    }
};

struct Case
{
    std::string name;
    ReadFault fault;
    std::string table;
    bool isFailing; ///< expected: the leader reports that it can't lead
    bool isReady; ///< expected: the leader becomes ready
};

const std::vector<Case> cases{
    {"sound tables", ReadFault::None, "", false, true},
    {"progress that can't be decoded", ReadFault::Throws, table::progress, true, false},
    {"intake that can't be decoded", ReadFault::Throws, table::intake, true, false},
    {"progress that is never read", ReadFault::Fails, table::progress, true, false},
    {"workers that are never read", ReadFault::Fails, "workers", true, false},
};

} // namespace

// Guards against a leader whose loading has ended by an exception, or never ends, while it keeps
// renewing its lease: callers get no state of any job, no task starts, and no other entry VM takes
// the lease. The leader has to detect this and report it, so that its lease is released.
TEST_CASE("A leader that can't load the jobs reports a failure")
{
    const auto row = GENERATE(from_range(cases));
    CAPTURE(row.name);
    http::asio::io_context context;
    MemoryStore memory;
    memory.fault = row.fault;
    memory.faultyTable = row.table;
    ListedCloud cloud;
    Tenure tenure;
    tenure.fence = 7;
    tenure.term = 1;
    tenure.isFirst = true;
    std::vector<std::string> failures;
    bool isOver = false;
    Leader<TestPlatform>::Options options;
    options.loadStall = std::chrono::milliseconds(400);
    options.sinceConfirmed = [] {
        return Duration::zero();
    };
    options.onFailed = [&](const std::string &why) {
        failures.push_back(why);
        isOver = true;
    };
    options.onDeposed = [&](const std::string &) {
        isOver = true;
    };
    const scheduling::Configuration configuration;
    auto leader = std::make_shared<Leader<TestPlatform>>(context.get_executor(), memory, cloud,
                                                         tenure, std::move(options), configuration);
    leader->begin();
    while (!isOver && !leader->isReady())
        context.run_one();
    CHECK(leader->isReady() == row.isReady);
    CHECK(failures.empty() != row.isFailing);
    leader->stop();
    context.run_for(std::chrono::milliseconds(300));
}

// Guards against a task that runs twice. A worker is cut off from the store, so it has no entry
// there, and the leading process is killed. The next process of the same entry VM leads at once,
// and learns of the worker only if it reads the platform's list, like any other new leader.
TEST_CASE("A leader that was restarted waits for workers that only the platform lists")
{
    const std::int64_t term = GENERATE(1, 2);
    http::asio::io_context context;
    MemoryStore memory;
    ListedCloud cloud;
    scheduling::Vm vm;
    vm.name = "vm-1";
    vm.pool = "s";
    vm.worker = "w-1";
    cloud.vms.push_back(vm);
    Tenure tenure;
    tenure.fence = 7;
    tenure.term = term;
    tenure.predecessorStopped = true;
    tenure.isFirst = true;
    Leader<TestPlatform>::Options options;
    options.sinceConfirmed = [] {
        return Duration::zero();
    };
    const scheduling::Configuration configuration;
    auto leader = std::make_shared<Leader<TestPlatform>>(context.get_executor(), memory, cloud,
                                                         tenure, std::move(options), configuration);
    leader->begin();
    context.run_for(std::chrono::milliseconds(300));
    CHECK(leader->isReady());
    CHECK(leader->jobs().workers().count("w-1") == (term > 1 ? 1 : 0));
    leader->stop();
    context.run_for(std::chrono::milliseconds(300));
}

// Guards against long waits after a takeover, when every known task waits until all workers have
// answered. If a third of the answers is lost, one of thirty workers has to be called four times.
TEST_CASE("The survey timeout is short for few workers and grows with their number")
{
    struct Row
    {
        std::size_t workers;
        int timeout; // ms
    };
    const auto row = GENERATE(Row{1, 250}, Row{48, 250}, Row{100, 300}, Row{350, 800});
    CAPTURE(row.workers);
    CHECK(WorkerSession<SilentWorker>::surveyTimeout(row.workers).count() == row.timeout);
}

// Guards against a crash of the entry VM shortly after it lost the lease. A leader is stopped and
// releases its parts while one of them waits for the store, whose answer must not access a
// destroyed part. The address sanitizer detects such an access.
TEST_CASE("A leader that is stopped while it loads is destroyed safely")
{
    const int answersBefore = GENERATE(range(0, 12));
    CAPTURE(answersBefore);
    http::asio::io_context context;
    MemoryStore memory;
    memory.delay = std::chrono::milliseconds(5);
    ListedCloud cloud;
    Tenure tenure;
    tenure.fence = 7;
    tenure.term = 2;
    Leader<TestPlatform>::Options options;
    options.sinceConfirmed = [] {
        return Duration::zero();
    };
    const scheduling::Configuration configuration;
    auto leader = std::make_shared<Leader<TestPlatform>>(context.get_executor(), memory, cloud,
                                                         tenure, std::move(options), configuration);
    leader->begin();
    context.run_for(memory.delay * answersBefore + memory.delay / 2);
    leader->stop();
    const std::weak_ptr<Leader<TestPlatform>> watched = leader;
    leader.reset();
    context.restart();
    context.run_for(std::chrono::milliseconds(600));
    CHECK(watched.expired());
}

// Guards against jobs that no leader knows after the rates of the store in the settings change, as
// they are in parts that the new layout has not.
TEST_CASE("A leader knows the jobs of all layouts of parts")
{
    struct Row
    {
        std::size_t stored; ///< parts of the layout by which the jobs were stored
        std::size_t own; ///< parts of the leader's layout
    };
    const auto row = GENERATE(Row{2, 8}, Row{8, 2}, Row{8, 8}, Row{16, 3});
    CAPTURE(row.stored, row.own);
    constexpr int jobCount = 40;
    http::asio::io_context context;
    MemoryStore memory;
    spawn(context.get_executor(), "store", [&]() -> Awaitable<void> {
        messages::JobRecord record;
        record.set_queue("q");
        record.add_steps()->set_count(1);
        for (int i = 0; i < jobCount; ++i) {
            const auto job = "job" + std::to_string(i);
            store::PartTransaction put{JobParts(row.stored).partOf(job),
                                       {},
                                       {{table::intake, job, record.SerializeAsString()}},
                                       {}};
            co_await memory.commit(put);
        }
    });
    context.run_for(std::chrono::milliseconds(100));
    context.restart();
    ListedCloud cloud;
    Tenure tenure;
    tenure.fence = 7;
    tenure.term = 2;
    Leader<TestPlatform>::Options options;
    options.jobParts = JobParts(row.own);
    options.sinceConfirmed = [] {
        return Duration::zero();
    };
    const scheduling::Configuration configuration;
    auto leader = std::make_shared<Leader<TestPlatform>>(context.get_executor(), memory, cloud,
                                                         tenure, std::move(options), configuration);
    leader->begin();
    context.run_for(std::chrono::milliseconds(300));
    REQUIRE(leader->isReady());
    for (int i = 0; i < jobCount; ++i)
        CHECK(leader->jobs().stateOf("job" + std::to_string(i)) == scheduling::JobState::Queued);
    leader->stop();
    context.run_for(std::chrono::milliseconds(300));
}
