// Tests the parts of the worker contract that entry VMs rely on: slots, start deadlines and
// recorded results.
#include <sassafrasferry/standins/worker_standin.h>

#include <sassafrasferry/fakes/run.h>
#include <sassafrasferry/http/client.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::standins;
using namespace std::chrono_literals;
using http::Awaitable;

namespace {

struct Fixture
{
    explicit Fixture(std::size_t slots = 8)
        : worker(std::make_shared<WorkerStandin>(context, WorkerOptions{"w", slots, 64, 1ms}))
        , client(context.get_executor(), worker->listen({"127.0.0.1", 0}), {})
    {}

    http::Exchange ask(http::Request request)
    {
        return fakes::run(this->context, this->client.exchange(std::move(request), 10s));
    }

    boost::asio::io_context context;
    std::shared_ptr<WorkerStandin> worker;
    http::Client client;
};

http::Request job(const std::string &operation, const std::string &deadline)
{
    http::Request request{http::Verb::post, "/x", 11};
    request.set(http::header::operationId, operation);
    request.set(http::header::startDeadline, deadline);
    request.set(http::header::idempotencyKey, "k");
    request.body() = "b";
    request.prepare_payload();
    return request;
}

struct RefusalCase
{
    std::string title;
    std::size_t slots;
    std::string deadline;
    WorkerFaults faults;
    std::string leaving;
};

const std::string farDeadline = "9999999999999";

} // namespace

TEST_CASE("a worker that refuses a request does not run it and answers not-run")
{
    const auto row = GENERATE(values<RefusalCase>({
        {"no slot free", 0, farDeadline, {}, ""},
        {"too late to start", 8, "1", {}, ""},
        {"leaving", 8, farDeadline, {false, false, false, false, true, false}, "true"},
        {"refuses", 8, farDeadline, {false, false, false, false, false, true}, ""},
    }));
    INFO(row.title);
    Fixture fixture(row.slots);
    fixture.worker->faults = row.faults;
    const auto exchange = fixture.ask(job("o", row.deadline));
    CHECK(exchange.response.result_int() == 503);
    CHECK(http::fieldOf(exchange.response, http::header::outcome) == "not-run");
    CHECK(http::fieldOf(exchange.response, http::header::leaving) == row.leaving);
    CHECK(fixture.worker->runs().empty());
}

TEST_CASE("a worker reports the state and the result of an operation")
{
    Fixture fixture;
    const http::Request question{http::Verb::get, "/runs/o", 11};
    auto before = fixture.ask(question);
    CHECK(http::fieldOf(before.response, "Run-State") == "never-seen");
    CHECK_FALSE(http::fieldOf(before.response, http::header::startedAt).empty());
    const auto answer = fixture.ask(job("o", farDeadline));
    auto after = fixture.ask(question);
    CHECK(http::fieldOf(after.response, "Run-State") == "done");
    CHECK(after.response.body() == answer.response.body());
}

TEST_CASE("a worker records the whole answer when it sends a truncated one")
{
    Fixture fixture;
    fixture.worker->faults.truncateAnswers = true;
    CHECK(fixture.ask(job("o", farDeadline)).state == http::ExchangeState::Broken);
    const auto kept = fixture.ask(http::Request{http::Verb::get, "/runs/o", 11});
    CHECK_THAT(kept.response.body(), Catch::Contains("\"echo\":\"b\""));
}
