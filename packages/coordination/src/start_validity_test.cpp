// How long after it was checked a start may take effect, by the age of what its leader knows of
// jobs.
#include <sassafrasferry/coordination/order_gate.h>
#include <sassafrasferry/coordination/worker_session.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include "../../scheduling/tests/scheduler_bench.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using scheduling::OrderAnswer;
using scheduling::OrderReply;
using namespace std::chrono_literals;

namespace {

constexpr Duration cancellationBound = 3s;
constexpr const char *workerId = "w0";

/// A worker that receives each start late and carries it out unless its time is over by the
/// worker's clock.
struct DistantWorker
{
    Duration delay{}; ///< from the check of a start to its arrival
    double clockRate = 1;
    Instant readAt{}; ///< when its clock was last read
    std::int64_t clock = 0; ///< as read then, milliseconds
    std::vector<OrderAnswer> answers; ///< to starts
    std::vector<std::int64_t> ends; ///< of the validity of starts, by its clock

    std::int64_t clockAt(Instant time) const
    {
        const auto passed = policy::seconds(time - this->readAt) * 1000 * this->clockRate;
        return this->clock + static_cast<std::int64_t>(passed);
    }
};

/// The session's client of a distant worker.
struct DistantCalls
{
    DistantWorker *worker;

    Awaitable<HoldAnswer> hold(HoldRequest)
    {
        co_return HoldAnswer{};
    }

    Awaitable<OrderReply> start(const scheduling::StartOrder &, std::int64_t until, std::int64_t)
    {
        const auto arrival = this->worker->clockAt(bootNow() + this->worker->delay);
        const auto answer = until < arrival ? OrderAnswer::Expired : OrderAnswer::Accepted;
        this->worker->ends.push_back(until);
        this->worker->answers.push_back(answer);
        co_return OrderReply{answer, arrival};
    }

    Awaitable<OrderReply> stop(const scheduling::StopOrder &, std::int64_t)
    {
        co_return OrderReply{OrderAnswer::Accepted, {}};
    }

    Awaitable<OrderAnswer> pace(const scheduling::PaceOrder &, std::int64_t)
    {
        co_return OrderAnswer::Accepted;
    }
};

/// Sends one start to the worker, whose last report is nearly too old for that.
void sendStart(DistantWorker &worker, SessionEvents events)
{
    const auto now = bootNow();
    scheduling::Bench bench(1, 4000, false, {}, now - 10s);
    worker.readAt = now - scheduling::SchedulerTimes{}.answerTimeout + 200ms;
    worker.clock = 50000;
    bench.scheduler.report({workerId, 1, worker.clock, {}, {}}, worker.readAt, worker.readAt);
    bench.now = now;
    bench.add("j", {scheduling::stepOf(1)});
    const auto orders = bench.plan();
    REQUIRE(orders.starts.size() == 1);
    http::asio::io_context context;
    const auto session = std::make_shared<WorkerSession<DistantCalls>>(
        context.get_executor(), bench.scheduler, workerId,
        std::make_unique<DistantCalls>(DistantCalls{&worker}), 7, std::move(events));
    session->order(orders.starts[0]);
    context.run();
    session->stop();
    REQUIRE(worker.answers.size() == 1);
}

SessionEvents openEvents()
{
    SessionEvents events;
    events.onChange = [] {
    };
    events.canOrder = events.canStart = [] {
        return true;
    };
    return events;
}

} // namespace

// Guards against tasks that start long after their job was cancelled: the start was checked in time
// and then delayed by a relay, a connection or a process that stood still.
TEST_CASE("A start that arrives late takes effect within the cancellation bound or not at all")
{
    const Duration age = GENERATE(0ms, 400ms, 1000ms, 1900ms, 2400ms); // of what the leader knows
    const Duration delay =
        GENERATE(0ms, 100ms, 700ms, 1200ms, 1700ms, 2200ms, 2700ms, 3000ms, 3500ms, 3900ms);
    CAPTURE(age / 1ms, delay / 1ms);
    DistantWorker worker;
    worker.clockRate = GENERATE(1.0, 1 - scheduling::SchedulerTimes{}.clockDrift);
    CAPTURE(worker.clockRate);
    worker.delay = delay;
    auto events = openEvents();
    events.startsValidUntil = [&] {
        const auto now = bootNow();
        return startsValidUntil(now - age, now);
    };
    sendStart(worker, std::move(events));
    const bool hasStarted = worker.answers[0] == OrderAnswer::Accepted;
    if (age + delay > cancellationBound)
        CHECK_FALSE(hasStarted);
    if (age + delay < cancellationBound - 500ms || delay <= 100ms)
        CHECK(hasStarted);
}

TEST_CASE("The earlier of the ends of leases and of the validity of starts goes with a start")
{
    struct Case
    {
        const char *name;
        Duration leaseLimit;
        Duration validity;
        Duration granted;
    };
    const auto row =
        GENERATE(Case{"neither is near", 1h, 1h, 4s}, Case{"the validity ends first", 3s, 2s, 2s},
                 Case{"leases end first", 1s, 2s, 1s});
    CAPTURE(row.name);
    const auto now = bootNow();
    DistantWorker worker;
    auto events = openEvents();
    events.leasesEndBy = [&] {
        return now + row.leaseLimit;
    };
    events.startsValidUntil = [&] {
        return now + row.validity;
    };
    sendStart(worker, std::move(events));
    const auto granted = std::chrono::milliseconds(worker.ends[0] - worker.clockAt(now));
    CHECK(granted > row.granted - 500ms);
    CHECK(granted < row.granted + 500ms);
}

TEST_CASE("A start is valid for less than the cancellation bound after what its leader knows")
{
    struct Case
    {
        const char *name;
        Duration age; ///< of what the leader knows
        Duration validity;
    };
    const std::vector<Case> cases{
        {"all is known", 0ms, 2700ms},
        {"the feed of jobs was read just before its next answer", 1000ms, 1700ms},
        {"what is known becomes old", 2299ms, 401ms},
        {"starts are about to pause", 2400ms, 400ms},
        {"the store is silent", 6400ms, 400ms},
    };
    const Instant now(1h);
    for (const auto &row : cases) {
        CAPTURE(row.name);
        CHECK((startsValidUntil(now - row.age, now) - now) / 1ms == row.validity / 1ms);
    }
    CHECK(startsValidUntil(Instant{}, now) == now + 400ms); // nothing was read yet
}
