// Retries of idempotent requests on other workers, and the outcome that the caller gets.
#include "../../tests/fault_world.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::entry;
using namespace std::chrono_literals;
using model::Outcome;

namespace {

struct Case
{
    std::string title;
    std::vector<FakeWorker> workers; // w1, w2, w3, tried in this order
    Outcome outcome;
    int status;
    int runs;
};

FakeWorker worker(bool FakeWorker::*fault)
{
    FakeWorker state;
    state.*fault = true;
    return state;
}

const FakeWorker good;
const FakeWorker fails = worker(&FakeWorker::fails);
const FakeWorker breaks = worker(&FakeWorker::breaksAnswers);
const FakeWorker down = worker(&FakeWorker::isDown);
const FakeWorker leaving = worker(&FakeWorker::isLeaving);
const FakeWorker stops = worker(&FakeWorker::isPreemptedOnce);
const FakeWorker refuses = worker(&FakeWorker::refuses);

} // namespace

TEST_CASE("an idempotent request is retried on other workers and reports its outcome")
{
    // Each worker is tried once, in order. The outcome is "not run" only if none of them can have
    // run the request. An error answer of a worker is forwarded if no other worker succeeds.
    const auto row = GENERATE(values<Case>({
        {"first is good", {good, good, good}, Outcome::Completed, 200, 1},
        {"first fails", {fails, good, good}, Outcome::Completed, 200, 2},
        {"first breaks off", {breaks, good, good}, Outcome::Completed, 200, 2},
        {"first is down", {down, good, good}, Outcome::Completed, 200, 1},
        {"first is leaving", {leaving, good, good}, Outcome::Completed, 200, 1},
        {"all fail", {fails, fails, fails}, Outcome::Completed, 500, 3},
        {"all are down", {down, down, down}, Outcome::NotRun, 503, 0},
        {"all are full", {refuses, refuses, refuses}, Outcome::NotRun, 503, 0},
        {"broken, then down", {breaks, down, down}, Outcome::Unknown, 503, 1},
        {"stopped for an urgent one", {stops, good, good}, Outcome::Completed, 200, 2},
        {"all break off", {breaks, breaks, breaks}, Outcome::Unknown, 502, 3},
    }));
    INFO(row.title);
    World world;
    for (std::size_t i = 0; i < row.workers.size(); ++i)
        world.workers["w" + std::to_string(i + 1)] = row.workers[i];
    FakeEntry entry(world, "e1");
    Cancellation never;
    auto request = keyedRequest(world, 10s);
    boost::asio::io_context context(1);
    IdempotentFlow<FakeEntry> flow(entry, request, never);
    const auto answer = fakes::run(context, flow.run());
    CHECK(answer.outcome == row.outcome);
    CHECK(answer.status == row.status);
    CHECK(static_cast<int>(world.startedOperations.size()) == row.runs);
    CHECK(entry.slotsHeld == 0);
    CHECK((answer.outcome == Outcome::Completed || answer.retryAfter > 0s));
}
