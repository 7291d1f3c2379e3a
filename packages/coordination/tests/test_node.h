// One entry VM over an in-memory store, without workers.
#pragma once

#include <sassafrasferry/coordination/job_node.h>

#include <sassafrasferry/store/digest.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <sstream>

#include "feed_store.h"

namespace sassafrasferry::coordination {

constexpr const char *queueHost = "jobs";
constexpr std::int64_t taskNeed = 100; // of each job's only task, in millicores

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

/// A platform without workers, so that no job starts.
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

    /// The value is the version, then the prefixes of the queues and, as `CUSTOMER:KEY` or
    /// `CUSTOMER:KEY=CAP`, the keys of customers and their caps in millicores. A prefix that begins
    /// with `/open` needs no key.
    static absl::StatusOr<scheduling::Configuration> decodeConfiguration(const std::string &value)
    {
        std::istringstream words(value);
        scheduling::Configuration configuration;
        words >> configuration.version;
        for (std::string prefix; words >> prefix;) {
            if (const auto colon = prefix.find(':'); colon != std::string::npos) {
                const auto equals = prefix.find('=');
                const auto key = prefix.substr(colon + 1, equals - colon - 1);
                const auto cap =
                    equals == std::string::npos ? 0 : std::stoll(prefix.substr(equals + 1));
                configuration.customers.push_back(
                    {prefix.substr(0, colon), {store::sha256(key)}, 0, {cap, 0, 0}});
                continue;
            }
            scheduling::Queue queue;
            queue.isAnonymous = prefix.rfind("/open", 0) == 0;
            queue.terms.queue = prefix;
            queue.terms.service = "s";
            queue.host = queueHost;
            queue.prefix = prefix;
            configuration.queues.push_back(queue);
        }
        return configuration;
    }

    /// The body is the job's payload.
    static absl::StatusOr<jobs::JobSpec> decodeJob(const std::string &body)
    {
        jobs::StepSpec step;
        step.count = 1;
        step.need.cpu = taskNeed;
        step.estimate = std::chrono::seconds(1);
        jobs::JobSpec spec;
        spec.payload = body;
        spec.steps.push_back(step);
        return spec;
    }
};

// A loopback port that was free a moment ago.
inline model::Endpoint freeEndpoint()
{
    http::asio::io_context context;
    const http::Tcp::acceptor acceptor(context, {http::asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/// An entry VM that leads unless another one holds the lease. It runs until the process ends.
class TestNode
{
public:
    explicit TestNode(const std::string &configuration, NodeOptions options = NodeOptions())
    {
        options.name = "only";
        options.peer = this->endpoint;
        this->node = std::make_shared<JobNode<TestPlatform>>(this->context, this->store,
                                                             this->cloud, std::move(options));
        this->configure(configuration);
        REQUIRE(this->node->begin().ok());
    }

    /// Writes a configuration, as `TestPlatform::decodeConfiguration` reads it, into the store.
    void configure(const std::string &configuration)
    {
        this->commit(
            {"",
             {},
             {{TestPlatform::operatorTable(), TestPlatform::configurationKey(), configuration}},
             {}});
    }

    void commit(const store::PartTransaction &transaction)
    {
        this->run([&]() -> Awaitable<void> { co_await this->store.commit(transaction); });
    }

    http::Response request(http::Verb verb, const std::string &target)
    {
        return this->send(requestOf(verb, target));
    }

    /// With the key in the header that the platform uses.
    http::Response request(http::Verb verb, const std::string &target, const std::string &key)
    {
        auto request = requestOf(verb, target);
        request.set(http::Field::authorization, "Token " + key);
        return this->send(std::move(request));
    }

    /// Submits a job with this payload.
    http::Response submit(const std::string &target, std::string payload)
    {
        auto request = requestOf(http::Verb::post, target);
        request.body() = std::move(payload);
        return this->send(std::move(request));
    }

    http::Response send(const http::Request &request)
    {
        http::Response response;
        this->run([&]() -> Awaitable<void> { response = co_await this->node->handle(request); });
        return response;
    }

    bool isReady() const
    {
        return this->node->isReady();
    }

    /// Begins all GET requests in this order before the first of them is answered.
    std::vector<http::Status> requestTogether(const std::vector<std::string> &targets)
    {
        std::vector<http::Status> answers(targets.size(), http::Status::unknown);
        std::size_t open = targets.size();
        for (std::size_t i = 0; i < targets.size(); ++i) {
            spawn(this->context.get_executor(), "request", [&, i]() -> Awaitable<void> {
                const auto response =
                    co_await this->node->handle(requestOf(http::Verb::get, targets[i]));
                answers[i] = response.result();
                --open;
            });
        }
        this->run([&]() -> Awaitable<void> {
            while (open > 0)
                co_await pause(std::chrono::milliseconds(5));
        });
        return answers;
    }

    /// Hands a job in as a peer would that can't store it; `nullopt` without an answer.
    std::optional<IntakeResult> handIn(const std::string &job, const messages::JobRecord &record,
                                       const std::string &keyDigest = "")
    {
        auto &messenger =
            this->addPeer(freeEndpoint(), [](const auto &) { return messages::JobAnswer{}; });
        messages::JobQuestion question;
        question.mutable_hand_in()->set_job(job);
        question.mutable_hand_in()->set_record(record.SerializeAsString());
        question.mutable_hand_in()->set_key_digest(keyDigest);
        question.mutable_hand_in()->set_patience_milliseconds(10000);
        JobMessenger::Answer answer;
        this->run([&]() -> Awaitable<void> {
            answer = co_await messenger.ask(this->endpoint, question, std::chrono::seconds(10));
        });
        if (!answer || answer->hand_in_result() == 0)
            return std::nullopt;
        return static_cast<IntakeResult>(answer->hand_in_result() - 1);
    }

    /// Sends a hello, as a peer would that takes this entry VM for the leader.
    void sayHello(const messages::JobQuestion &hello)
    {
        if (!this->follower)
            this->follower =
                &this->addPeer(freeEndpoint(), [](const auto &) { return messages::JobAnswer{}; });
        JobMessenger::Answer answer;
        this->run([&]() -> Awaitable<void> {
            answer = co_await this->follower->ask(this->endpoint, hello, std::chrono::seconds(10));
        });
        REQUIRE(answer);
    }

    /// Adds the peer port of another entry VM. It is kept, as an operation of the port may still be
    /// under way when an answer has come.
    JobMessenger &addPeer(const model::Endpoint &address, JobMessenger::OnQuestion onQuestion)
    {
        this->peers.push_back(std::make_unique<JobMessenger>(
            this->context, address, std::move(onQuestion),
            [](auto) -> Awaitable<messages::JobAnswer> { co_return messages::JobAnswer{}; },
            [](const auto &) {}));
        REQUIRE(this->peers.back()->open().ok());
        return *this->peers.back();
    }

    /// Keeps the process from handling anything.
    static void block(Duration duration)
    {
        const auto end = bootNow() + duration;
        while (bootNow() < end) {
        }
    }

    void pauseFor(Duration duration)
    {
        this->run([duration]() -> Awaitable<void> { co_await pause(duration); });
    }

    FeedStore store;
    Instant stalledAt{}; ///< last time at which this process is known to have stood still

private:
    static constexpr Duration stall = std::chrono::milliseconds(500);

    static http::Request requestOf(http::Verb verb, const std::string &target)
    {
        http::Request request{verb, target, 11};
        request.set(http::Field::host, queueHost);
        return request;
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
    std::vector<std::unique_ptr<JobMessenger>> peers; // ports of other entry VMs
    JobMessenger *follower = nullptr; // that of the peer that sends hellos
    EmptyCloud cloud;
    model::Endpoint endpoint = freeEndpoint();
    std::shared_ptr<JobNode<TestPlatform>> node;
};

} // namespace sassafrasferry::coordination
