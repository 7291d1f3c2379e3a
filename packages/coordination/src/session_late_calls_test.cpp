// Tests how a session keeps starts and acknowledgements apart that a later incarnation of its
// worker could carry out one after the other.
#include "../tests/scripted_worker.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using scheduling::OrderAnswer;
using namespace std::chrono_literals;

// Guards against tasks that run again after they were done: an acknowledgement was sent before a
// start, and a later incarnation of the worker carries out first the start and then it.
TEST_CASE("A start is sent only once a worker can't carry out an earlier acknowledgement")
{
    constexpr std::int64_t newerToken = 8;
    struct Case
    {
        const char *name;
        OrderAnswer answer; ///< to the acknowledgement
        std::int64_t token; ///< of the start
    };
    const auto row = GENERATE(Case{"it is answered", OrderAnswer::Accepted, 7},
                              Case{"it is not sent", OrderAnswer::NotSent, 7},
                              Case{"it has no answer", OrderAnswer::NoAnswer, newerToken});
    CAPTURE(row.name);
    ScriptedWorker worker;
    worker.endRun(1);
    SessionFixture fixture(worker);
    std::size_t startsBeside = 0;
    worker.onHold = [&](std::size_t call) {
        if (call != 2)
            return OrderAnswer::Accepted;
        CHECK(worker.acknowledged.back() == 1);
        CHECK(worker.waits.back() == 0ms);
        fixture.orderStarts({"queued"});
        startsBeside = worker.starts.size();
        return row.answer;
    };
    fixture.session->begin();
    fixture.runUntil(worker, 4);
    CHECK(startsBeside == 0);
    CHECK(worker.starts.empty() == (row.token == newerToken));
    fixture.scheduler.setFence(newerToken);
    fixture.runUntil(worker, 7);
    if (worker.starts.empty())
        fixture.orderPlanned();
    fixture.runUntil(worker, 8);
    REQUIRE(worker.starts == std::vector<std::string>{"queued"});
    CHECK(worker.startFences.front() == row.token);
    fixture.session->stop();
    fixture.context.run_for(150ms);
}

// Guards against tasks that run again after they were done: a start was sent before an
// acknowledgement, and a later incarnation of the worker carries out both, in this order.
TEST_CASE("No end is acknowledged while a start has no answer")
{
    ScriptedWorker worker;
    worker.startAnswer = GENERATE(OrderAnswer::Accepted, OrderAnswer::NoAnswer);
    CAPTURE(model::nameOf(worker.startAnswer));
    SessionFixture fixture(worker);
    worker.onHold = [&](std::size_t call) {
        if (call == 2) {
            worker.endRun(1);
            fixture.orderStarts({"queued"});
        }
        return OrderAnswer::Accepted;
    };
    const auto begin = bootNow();
    fixture.run(worker, 5);
    CHECK(worker.starts.size() == 1);
    const bool isAcknowledged = std::any_of(worker.acknowledged.begin(), worker.acknowledged.end(),
                                            [](std::int64_t cursor) { return cursor != 0; });
    CHECK(isAcknowledged == (worker.startAnswer == OrderAnswer::Accepted));
    // A worker answers holds at once while it lists ends.
    if (!isAcknowledged)
        CHECK(bootNow() - begin > 400ms);
}
