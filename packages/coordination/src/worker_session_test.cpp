// Tests which ends of runs a session acknowledges to which incarnation of a worker, which may
// restart and keep its id at any time, and which starts a session withdraws.
#include "../tests/scripted_worker.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using scheduling::OrderAnswer;
using namespace std::chrono_literals;

// Guards against tasks that run twice: a lease outlasts the time for which a successor waits for a
// worker that it can't reach.
TEST_CASE("A session grants no lease beyond the limit of its leader's leases")
{
    const auto leaseLimit = GENERATE(std::chrono::seconds(2), std::chrono::seconds(0));
    CAPTURE(leaseLimit.count());
    ScriptedWorker worker;
    worker.onHold = [](std::size_t) {
        return OrderAnswer::Accepted;
    };
    const auto clock = worker.clock;
    SessionFixture fixture(worker, leaseLimit);
    fixture.run(worker, 4);
    REQUIRE(worker.leaseEnds.size() >= 4);
    for (std::size_t i = 1; i < worker.leaseEnds.size(); ++i) { // the first has no clock to go by
        const auto end = worker.leaseEnds[i];
        CHECK(end.has_value() == (leaseLimit > leaseLimit.zero()));
        // The clock of the scripted worker goes by one with each hold.
        CHECK(end.value_or(0) <= clock + static_cast<std::int64_t>(i) + leaseLimit / 1ms);
    }
}

// Guards against a leader that steps down for its own newer call, and against calls for a former
// incarnation that a restarted worker can't tell from later ones.
TEST_CASE("Calls to a restarted worker bear a higher token")
{
    struct Case
    {
        const char *name;
        bool isRestarted; ///< the worker, and the lease was renewed before
        std::size_t depositions;
    };
    const auto row = GENERATE(Case{"refused for a newer call of this leader", true, 0},
                              Case{"refused for another leader", false, 1});
    CAPTURE(row.name);
    ScriptedWorker worker;
    SessionFixture fixture(worker);
    worker.onHold = [&](std::size_t call) {
        if (call != 3)
            return OrderAnswer::Accepted;
        if (!row.isRestarted)
            return OrderAnswer::Fenced;
        fixture.scheduler.setFence(8);
        worker.restart();
        auto listing = fixture.scheduler.findWorker(workerId)->listing;
        listing.born = worker.born;
        fixture.scheduler.listWorker(listing, bootNow());
        return OrderAnswer::Fenced;
    };
    fixture.run(worker, 5);
    CHECK(fixture.depositions == row.depositions);
    const std::int64_t raised = row.isRestarted ? 8 : 7;
    worker.fences.resize(5);
    CHECK(worker.fences == std::vector<std::int64_t>{7, 7, 7, raised, raised});
    CHECK(fixture.scheduler.findWorker(workerId)->fence.isSettled());
}

// Guards against a system without a leader: an agent of another team that lists itself as a worker
// refuses each call as fenced.
TEST_CASE("A refusal by a party that never answered as a worker deposes no leader")
{
    ScriptedWorker agent;
    agent.onHold = [](std::size_t) {
        return OrderAnswer::Fenced;
    };
    SessionFixture fixture(agent);
    fixture.run(agent, 3);
    CHECK(fixture.depositions == 0);
}

// Guards against tasks of cancelled jobs that run on at a worker that can be reached again: that
// they still ran was shown only by a report for which the session waited another second.
TEST_CASE("A hold after one without an answer does not wait for an end")
{
    const auto lost = GENERATE(OrderAnswer::NoAnswer, OrderAnswer::NotSent, OrderAnswer::Unhealthy);
    CAPTURE(model::nameOf(lost));
    ScriptedWorker worker;
    worker.onHold = [&](std::size_t call) {
        return call == 3 || call == 4 ? lost : OrderAnswer::Accepted;
    };
    SessionFixture fixture(worker);
    fixture.run(worker, 7);
    // The first hold is the survey of a new leader.
    const std::vector<std::chrono::milliseconds> expected{0ms, 1s, 1s, 0ms, 0ms, 1s, 1s};
    REQUIRE(worker.waits.size() >= expected.size());
    worker.waits.resize(expected.size());
    CHECK(worker.waits == expected);
}

// Guards against tasks that run again after they were done: the worker restarted and kept its id,
// and ends of the new incarnation were acknowledged with a number of the previous one.
TEST_CASE("Ends of a restarted worker are not acknowledged before they are read")
{
    struct Case
    {
        const char *name;
        std::size_t restartsAt; ///< number of the hold before which the worker restarts
        OrderAnswer answer; ///< of that hold
    };
    // The first hold lists three ends, the second acknowledges them.
    const auto row = GENERATE(
        Case{"the hold that acknowledges is lost", 2, OrderAnswer::NoAnswer},
        Case{"the hold that acknowledges is not sent", 2, OrderAnswer::NotSent},
        Case{"a hold after it is lost", 3, OrderAnswer::NoAnswer},
        Case{"a later hold is lost", 5, OrderAnswer::NoAnswer},
        Case{"a hold that has nothing new to acknowledge is carried out", 3, OrderAnswer::Accepted},
        Case{"a later one is carried out", 5, OrderAnswer::Accepted},
        Case{"the worker can't answer", 3, OrderAnswer::Unhealthy});
    CAPTURE(row.name);
    ScriptedWorker worker;
    for (std::int64_t number = 1; number <= 3; ++number)
        worker.endRun(number);
    worker.onHold = [&](std::size_t call) {
        if (call != row.restartsAt)
            return OrderAnswer::Accepted;
        worker.restart();
        worker.endRun(1);
        worker.endRun(2);
        return row.answer;
    };
    SessionFixture fixture(worker);
    fixture.run(worker, row.restartsAt + 4);
    CHECK(worker.unread.empty());
    CHECK(worker.ends.empty());
}

TEST_CASE("Each end is acknowledged once it is recorded, and again after a lost hold")
{
    ScriptedWorker worker;
    worker.endRun(1);
    const std::size_t lost = GENERATE(2, 3, 4);
    CAPTURE(lost);
    worker.onHold = [&](std::size_t call) {
        if (call == 4)
            worker.endRun(2);
        return call == lost ? OrderAnswer::NoAnswer : OrderAnswer::Accepted;
    };
    SessionFixture fixture(worker);
    fixture.run(worker, 9);
    CHECK(worker.ends.empty());
    CHECK(worker.unread.empty());
    CHECK(fixture.scheduler.findWorker(workerId)->endsRecorded == 2);
}

// Guards against tasks that start after the cancellation of their job was acknowledged, and on
// workers that drain: their starts waited behind unanswered ones meanwhile.
TEST_CASE("a start that waited in its session is sent only if it is still wanted")
{
    struct Case
    {
        const char *name;
        std::function<void(scheduling::Scheduler &)> change;
        bool isSent;
    };
    const auto listAgain = [](scheduling::Scheduler &scheduler, bool draining,
                              const char *service) {
        auto listing = scheduler.findWorker(workerId)->listing;
        listing.draining = draining;
        listing.service = service;
        scheduler.listWorker(listing, bootNow());
    };
    const auto row = GENERATE_COPY(
        Case{"nothing changes", [](scheduling::Scheduler &) {}, true},
        Case{"its job is cancelled", [](auto &scheduler) { scheduler.cancelJob("queued"); }, false},
        Case{"its worker drains", [&](auto &scheduler) { listAgain(scheduler, true, "s"); }, false},
        Case{"its worker changes service",
             [&](auto &scheduler) { listAgain(scheduler, false, "t"); }, false},
        Case{"its worker is unlisted", [](auto &scheduler) { scheduler.unlistWorker(workerId); },
             false},
        Case{"its worker is evacuated",
             [](auto &scheduler) { scheduler.evacuate(workerId, false, bootNow()); }, false});
    CAPTURE(row.name);
    ScriptedWorker worker;
    worker.startTime = std::chrono::milliseconds(20);
    SessionFixture fixture(worker);
    auto &scheduler = fixture.scheduler;
    fixture.orderStarts({"first", "second", "queued"}); // the session sends two at a time
    while (worker.starts.size() < 2)
        fixture.context.run_one();
    row.change(scheduler);
    fixture.context.run();
    const std::vector<std::string> sent{"first", "second", "queued"};
    CHECK(worker.starts == std::vector<std::string>(sent.begin(), sent.end() - !row.isSent));
    CHECK(scheduler.findJob("queued")->hasRuns() == row.isSent);
    CHECK(scheduler.findWorker(workerId)->runs.size() == worker.starts.size());
    fixture.session->stop();
}

// Guards against tasks of cancelled jobs that run on: their stops waited behind starts that the
// worker left without an answer.
TEST_CASE("a stop does not wait for the answers to starts")
{
    ScriptedWorker worker;
    worker.startTime = std::chrono::milliseconds(100);
    SessionFixture fixture(worker);
    fixture.orderStarts({"first", "second", "queued"});
    while (worker.starts.size() < 2)
        fixture.context.run_one();
    const scheduling::StopOrder order{workerId, {"cancelled", 0, 0, 0}, 1, ""};
    fixture.session->order(order);
    fixture.context.run_for(50ms);
    CHECK(worker.stops == std::vector<std::int64_t>{1});
    CHECK(worker.starts.size() == 2);
    fixture.context.run();
    CHECK(worker.starts.size() == 3);
    fixture.session->stop();
}

// Guards against tasks of cancelled jobs that run on: while a worker left stops without an answer,
// each report asked for further stops of the same runs, and those of other runs waited behind them.
TEST_CASE("a stop that was repeated while it waited is sent once")
{
    constexpr std::int64_t runs = 4;
    constexpr int reports = 5;
    ScriptedWorker worker;
    worker.stopTime = 50ms;
    worker.stopAnswer = OrderAnswer::NoAnswer;
    SessionFixture fixture(worker);
    for (int report = 0; report < reports; ++report) {
        for (std::int64_t run = 1; run <= runs; ++run)
            fixture.session->order(
                scheduling::StopOrder{workerId, {"cancelled", 0, 0, 0}, run, ""});
    }
    fixture.session->order(scheduling::StopOrder{workerId, {"cancelled", 0, 0, 0}, runs + 1, ""});
    fixture.context.run();
    CHECK(worker.stops == std::vector<std::int64_t>{1, 2, 3, 4, 5});
    fixture.session->stop();
}

// Guards against a second run of a task: its worker restarts, and is cut off before a hold tells
// the leader which incarnation has accepted the start.
TEST_CASE("a worker whose clock went back is asked at once, beside a hold without an answer")
{
    ScriptedWorker worker;
    SessionFixture fixture(worker);
    bool isDark = false;
    worker.onHold = [&](std::size_t) {
        return isDark && worker.waits.back() != 0ms ? OrderAnswer::NoAnswer : OrderAnswer::Accepted;
    };
    fixture.session->begin();
    fixture.runUntil(worker, 1);
    worker.waitTime = 300ms;
    fixture.runUntil(worker, 2);
    worker.restart();
    worker.replyClock = 10;
    const auto begin = bootNow();
    fixture.orderStarts({"queued"});
    fixture.runUntil(worker, 3);
    fixture.context.run_for(20ms);
    CHECK(bootNow() - begin < worker.waitTime);
    CHECK(worker.waits.back() == 0ms);
    CHECK_FALSE(worker.leaseEnds.back().has_value());
    CHECK(fixture.scheduler.findWorker(workerId)->listing.born == firstBorn + 1);
    CHECK(fixture.scheduler.findWorker(workerId)->hasReported);
    isDark = true;
    fixture.runUntil(worker, 4);
    CHECK(fixture.scheduler.findWorker(workerId)->hasReported);
    fixture.session->stop();
    fixture.context.run_for(350ms);
}
