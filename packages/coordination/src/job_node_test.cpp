// Tests the counts of pending jobs that a leading entry VM answers while it reads the table of
// accepted jobs late or not at all.
#include <sassafrasferry/coordination/job_node.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include "../tests/feed_store.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

constexpr const char *queueHost = "jobs";
constexpr const char *queuePrefix = "/q/";
constexpr Duration maxCountAge = 2s; // a count of pending jobs may be this old
constexpr Duration submitFor = 2s;
constexpr Duration countFor = 9s; // includes a time without new jobs that is longer than a feed
constexpr Duration roundPause = 100ms;
constexpr Duration patience = 60s; // for what has to happen eventually

/// A worker that never answers.
struct SilentWorker
{
    SilentWorker(http::asio::any_io_executor, std::string, const model::Endpoint &)
    {}

    Awaitable<HoldAnswer> hold(HoldRequest)
    {
        co_return HoldAnswer{};
    }

    Awaitable<scheduling::OrderAnswer> start(const scheduling::StartOrder &, std::int64_t,
                                             std::int64_t)
    {
        co_return scheduling::OrderAnswer::NoAnswer;
    }

    Awaitable<scheduling::OrderAnswer> stop(const scheduling::StopOrder &, std::int64_t)
    {
        co_return scheduling::OrderAnswer::NoAnswer;
    }

    Awaitable<scheduling::OrderAnswer> pace(const scheduling::PaceOrder &, std::int64_t)
    {
        co_return scheduling::OrderAnswer::NoAnswer;
    }
};

struct EmptyCloud
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

/// A platform with one queue and no workers, so that no job starts.
struct TestPlatform
{
    using Store = FeedStore;
    using Worker = SilentWorker;
    using Cloud = EmptyCloud;

    static std::string workerTable()
    {
        return "workers";
    }

    static std::string operatorTable()
    {
        return "operators";
    }

    static std::string configurationKey()
    {
        return "configuration";
    }

    static std::string deadlineHeader()
    {
        return "Deadline-Ms";
    }

    static bool isWaveKey(const std::string &)
    {
        return false;
    }

    static absl::StatusOr<scheduling::Wave> decodeWave(const std::string &)
    {
        return absl::DataLossError("no waves here");
    }

    static WaveStatusRow waveStatus(std::int64_t, bool)
    {
        return {};
    }

    static absl::StatusOr<scheduling::WorkerListing> decodeListing(const std::string &,
                                                                   const std::string &)
    {
        return absl::DataLossError("no workers here");
    }

    static absl::StatusOr<scheduling::Configuration> decodeConfiguration(const std::string &)
    {
        scheduling::Queue queue;
        queue.terms.queue = "q";
        queue.terms.service = "s";
        queue.host = queueHost;
        queue.prefix = queuePrefix;
        scheduling::Configuration configuration;
        configuration.version = 1;
        configuration.queues.push_back(queue);
        return configuration;
    }

    static absl::StatusOr<jobs::JobSpec> decodeJob(const std::string &)
    {
        jobs::StepSpec step;
        step.count = 1;
        step.estimate = 1s;
        jobs::JobSpec spec;
        spec.steps.push_back(step);
        return spec;
    }
};

// A loopback port that was free a moment ago.
model::Endpoint freeEndpoint()
{
    http::asio::io_context context;
    const http::Tcp::acceptor acceptor(context, {http::asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/// An answer to a request for the number of pending jobs.
struct CountAnswer
{
    Instant askedAt{};
    http::Response response;

    bool isCount() const
    {
        return this->response.result() == http::Status::ok;
    }

    std::size_t count() const
    {
        return http::parseJson(this->response.body()).at("pending").get<std::size_t>();
    }
};

/// An entry VM that leads, as there is no other one.
class LeadingNode
{
public:
    LeadingNode()
    {
        NodeOptions options;
        options.name = "only";
        options.peer = freeEndpoint();
        this->node = std::make_shared<JobNode<TestPlatform>>(this->context, this->store,
                                                             this->cloud, std::move(options));
        this->run([this]() -> Awaitable<void> {
            const store::PartTransaction transaction{
                "",
                {},
                {{TestPlatform::operatorTable(), TestPlatform::configurationKey(), ""}},
                {}};
            co_await this->store.commit(transaction);
        });
        REQUIRE(this->node->begin().ok());
        REQUIRE(this->awaitCount());
    }

    /// Submits a job. Once it is accepted, counts that are too old have to include it.
    void submit()
    {
        const auto target = queuePrefix + ("j" + std::to_string(this->submittedJobs++));
        const auto response = this->request(http::Verb::post, target);
        REQUIRE(response.result() == http::Status::ok);
        this->acceptedAt.push_back(bootNow());
    }

    CountAnswer askCount()
    {
        CountAnswer answer;
        answer.askedAt = bootNow();
        answer.response = this->request(http::Verb::get, queuePrefix);
        return answer;
    }

    /// Asks until the answer is the number of all jobs. False if that takes too long.
    bool awaitCount()
    {
        const auto latest = bootNow() + patience;
        while (bootNow() < latest) {
            const auto answer = this->askCount();
            if (answer.isCount() && answer.count() == this->submittedJobs)
                return true;
            this->pauseRound();
        }
        return false;
    }

    /// Number of jobs that were accepted so long before this time that a count must include them.
    std::size_t jobsAcceptedLongBefore(Instant time) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->acceptedAt.begin(), this->acceptedAt.end(),
                          [&](Instant accepted) { return accepted + maxCountAge < time; }));
    }

    void pauseRound()
    {
        this->run([]() -> Awaitable<void> { co_await pause(roundPause); });
    }

    FeedStore store;
    std::size_t submittedJobs = 0;
    Instant stalledAt{}; ///< last time at which this process is known to have stood still

private:
    static constexpr Duration stall = 500ms;

    http::Response request(http::Verb verb, const std::string &target)
    {
        http::Request request{verb, target, 11};
        request.set(http::Field::host, queueHost);
        http::Response response;
        this->run([&]() -> Awaitable<void> {
            response = co_await this->node->handle(std::move(request));
        });
        return response;
    }

    template<typename Body>
    void run(Body body)
    {
        bool isOver = false;
        spawn(this->context.get_executor(), "test", [&]() -> Awaitable<void> {
            co_await body();
            isOver = true;
        });
        while (!isOver) {
            const auto begin = bootNow();
            this->context.run_one();
            if (bootNow() - begin > stall)
                this->stalledAt = bootNow();
        }
    }

    http::asio::io_context context;
    // Keeps `run_one` from returning at once while no coroutine is active.
    http::asio::executor_work_guard<http::asio::io_context::executor_type> work{
        this->context.get_executor()};
    EmptyCloud cloud;
    std::shared_ptr<JobNode<TestPlatform>> node;
    std::vector<Instant> acceptedAt; // of each job
};

/// A new node, kept until the process ends: a node runs until then.
LeadingNode &newNode()
{
    static auto &nodes = *new std::vector<std::unique_ptr<LeadingNode>>;
    nodes.push_back(std::make_unique<LeadingNode>());
    return *nodes.back();
}

/// What the answers to requests for the count were like.
struct Findings
{
    std::size_t counts = 0;
    std::size_t refusals = 0;
    std::size_t refusalsWithoutStall = 0;
    std::size_t refusalsWithoutWait = 0; ///< without a Retry-After header
    std::size_t countsThatLackJobs = 0;
    std::size_t countsAboveAllJobs = 0;
    std::size_t mostLacking = 0; ///< jobs that a single count lacked
};

/// Submits jobs for a time and asks for the count during a longer one.
Findings submitAndCount(LeadingNode &node)
{
    Findings findings;
    const auto begin = bootNow();
    while (bootNow() - begin < countFor) {
        if (bootNow() - begin < submitFor)
            node.submit();
        const auto answer = node.askCount();
        if (answer.isCount()) {
            ++findings.counts;
            const auto required = node.jobsAcceptedLongBefore(answer.askedAt);
            const auto count = answer.count();
            findings.countsAboveAllJobs += count > node.submittedJobs ? 1 : 0;
            if (count < required) {
                ++findings.countsThatLackJobs;
                findings.mostLacking = std::max(findings.mostLacking, required - count);
            }
        } else {
            ++findings.refusals;
            const bool isRefusal =
                answer.response.result() == http::Status::service_unavailable
                && answer.response.find(http::Field::retry_after) != answer.response.end();
            findings.refusalsWithoutWait += isRefusal ? 0 : 1;
            // A process that stood still has to get its lease confirmed first.
            findings.refusalsWithoutStall += answer.askedAt - node.stalledAt > maxCountAge ? 1 : 0;
        }
        node.pauseRound();
    }
    return findings;
}

struct Case
{
    std::string name;
    FeedFault fault;
};

const std::vector<Case> cases{
    {"the feed of jobs gets no answer", FeedFault::Unanswered},
    {"the feed of jobs fails", FeedFault::Fails},
};

} // namespace

// Guards against counts that lack jobs which were accepted many seconds ago. The store confirms the
// leader's lease all the time, while the leader's reads of the accepted jobs get no answer.
TEST_CASE("A count of pending jobs includes all jobs that are older than two seconds")
{
    const auto row = GENERATE(from_range(cases));
    CAPTURE(row.name);
    auto &node = newNode();
    node.store.faultyFeed = table::intake;
    node.store.fault = row.fault;
    const auto findings = submitAndCount(node);
    CAPTURE(node.submittedJobs, findings.counts, findings.refusals, findings.mostLacking);
    CHECK(findings.countsThatLackJobs == 0);
    CHECK(findings.countsAboveAllJobs == 0);
    CHECK(findings.refusalsWithoutWait == 0);
    node.store.fault = FeedFault::None;
    CHECK(node.awaitCount());
}

// Guards against refusals by a leader that has read all jobs: the feed of a table without changes
// answers only every few seconds.
TEST_CASE("A leader whose reads are answered counts its pending jobs at any time")
{
    auto &node = newNode();
    const auto findings = submitAndCount(node);
    CAPTURE(node.submittedJobs, findings.counts, findings.refusals, findings.mostLacking);
    CHECK(findings.refusalsWithoutStall == 0);
    CHECK(findings.refusalsWithoutWait == 0);
    CHECK(findings.countsThatLackJobs == 0);
    CHECK(findings.countsAboveAllJobs == 0);
    CHECK(node.awaitCount());
}
