// Late starts and late acknowledgements, which a later incarnation of their worker may carry out
// one after the other: which call has to wait for which.
#include "../tests/scheduler_bench.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t firstToken = 100;
constexpr std::int64_t newerToken = 101;

/// A worker whose only run has ended as done, which is in the store.
struct EndedBench : Bench
{
    EndedBench()
        : Bench(1)
    {
        this->scheduler.setFence(firstToken);
        this->report("w0");
        const auto first = this->startOf("first");
        this->scheduler.startAnswered(first, OrderAnswer::Accepted, this->now);
        this->report("w0", {}, {endOf(first, 1, jobs::RunEnd::Done)});
        this->record();
    }

    /// Sends the start of a new job.
    StartOrder startOf(const std::string &job)
    {
        this->add(job, {stepOf(1)});
        auto order = this->plan().starts.at(0);
        order.fence = this->scheduler.fenceFor("w0");
        this->scheduler.startSent(order, this->now);
        return order;
    }

    bool canAcknowledge()
    {
        return this->scheduler.canAcknowledge("w0", this->now);
    }
};

} // namespace

// Guards against a task that runs again: a later incarnation carries out a late start and then a
// late acknowledgement, which drops the end of the start's run unread.
TEST_CASE("no end is acknowledged while a start may be carried out before it")
{
    struct Case
    {
        const char *name;
        std::function<void(EndedBench &, const StartOrder &)> event;
        bool isAcknowledged;
    };
    const auto answered = [](OrderAnswer answer) {
        return [answer](EndedBench &bench, const StartOrder &start) {
            bench.scheduler.startAnswered(start, answer, bench.now);
        };
    };
    const auto row = GENERATE_COPY(
        Case{"the start is under way", [](EndedBench &, const StartOrder &) {}, false},
        Case{"the start is accepted", answered(OrderAnswer::Accepted), true},
        Case{"the start is refused", answered(OrderAnswer::NoRoom), true},
        Case{"the start is not sent", answered(OrderAnswer::NotSent), true},
        Case{"the start has no answer", answered(OrderAnswer::NoAnswer), false},
        Case{"its run is listed",
             [&](EndedBench &bench, const StartOrder &start) {
                 answered(OrderAnswer::NoAnswer)(bench, start);
                 bench.report("w0", {{start.task, start.run, "", 100, 0}});
             },
             true},
        Case{"its run has ended",
             [&](EndedBench &bench, const StartOrder &start) {
                 answered(OrderAnswer::NoAnswer)(bench, start);
                 bench.report("w0", {}, {endOf(start, 2, jobs::RunEnd::Done)});
             },
             true},
        Case{"a stop of it is answered",
             [&](EndedBench &bench, const StartOrder &start) {
                 answered(OrderAnswer::NoAnswer)(bench, start);
                 StopOrder stop{"w0", start.task, start.run, ""};
                 stop.fence = start.fence;
                 bench.scheduler.stopAnswered(stop, OrderAnswer::Accepted, bench.now);
                 bench.now += 10ms;
                 bench.report("w0");
             },
             false},
        Case{"it may still be carried out",
             [&](EndedBench &bench, const StartOrder &start) {
                 answered(OrderAnswer::NoAnswer)(bench, start);
                 bench.now += SchedulerTimes{}.lateCallLimit;
             },
             false},
        Case{"it is too old, but its worker may have carried it out unheard",
             [&](EndedBench &bench, const StartOrder &start) {
                 answered(OrderAnswer::NoAnswer)(bench, start);
                 bench.now += SchedulerTimes{}.lateCallLimit + 1ms;
             },
             false},
        Case{"it is too old, and its worker has answered since",
             [&](EndedBench &bench, const StartOrder &start) {
                 answered(OrderAnswer::NoAnswer)(bench, start);
                 bench.now += SchedulerTimes{}.lateCallLimit + 1ms;
                 bench.report("w0");
             },
             true});
    INFO(row.name);
    EndedBench bench;
    CHECK(bench.canAcknowledge());
    const auto start = bench.startOf("second");
    row.event(bench, start);
    CHECK(bench.canAcknowledge() == row.isAcknowledged);
}

// Guards against a task that runs again: a late acknowledgement that was sent before a start is
// carried out after it, by a later incarnation that has no newer token from the start.
TEST_CASE("a start has a higher token than an acknowledgement that may be late")
{
    EndedBench bench;
    auto &scheduler = bench.scheduler;
    scheduler.acknowledgementSent("w0", scheduler.fenceFor("w0"));
    const auto isAnswered = GENERATE(true, false);
    CAPTURE(isAnswered);
    bench.add("second", {stepOf(1)});
    auto order = bench.plan().starts.at(0);
    const auto isWanted = [&] {
        order.fence = scheduler.fenceFor("w0");
        return scheduler.isStartWanted(order);
    };
    CHECK_FALSE(isWanted()); // the acknowledgement is under way
    scheduler.acknowledgementOver("w0", isAnswered);
    CHECK(isWanted() == isAnswered);
    scheduler.setFence(newerToken);
    CHECK(isWanted() == isAnswered); // the worker has not answered the newer token yet
    WorkerReport report{"w0", 1, 2000, {}, {}};
    report.fence = scheduler.fenceFor("w0");
    CHECK(report.fence == (isAnswered ? firstToken : newerToken));
    scheduler.startAnswered(order, OrderAnswer::NotSent, bench.now);
    scheduler.report(report, bench.now, bench.now);
    order = bench.plan().starts.at(0);
    CHECK(isWanted());
    CHECK(order.fence == report.fence);
}

// Guards against runs that count for longer than their lease lasts: a higher token without a
// restart says nothing about leases.
TEST_CASE("an acknowledgement without an answer does not lengthen the worker's lease")
{
    EndedBench bench;
    auto &scheduler = bench.scheduler;
    scheduler.acknowledgementSent("w0", scheduler.fenceFor("w0"));
    scheduler.acknowledgementOver("w0", false);
    scheduler.setFence(newerToken);
    WorkerReport report{"w0", 1, 2000, {}, {}};
    report.fence = scheduler.fenceFor("w0");
    scheduler.report(report, bench.now, bench.now);
    CHECK(scheduler.restartedWorkers(bench.now).empty());
}
