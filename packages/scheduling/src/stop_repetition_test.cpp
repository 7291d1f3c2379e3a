// Tests when a stop that may have been lost, or may have come before its start, is repeated.
#include "../tests/scheduler_bench.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

// Guards against tasks of cancelled jobs that run on: their stops were lost, and the next report of
// the worker, which showed that they still ran, came seconds later.
TEST_CASE("a stop without an answer is repeated before the next report")
{
    struct Case
    {
        const char *name;
        OrderAnswer answer;
        Duration after; ///< the answer comes so long after the stop was requested
        bool hasEnded; ///< the end of the run is reported before
        std::size_t repeats;
    };
    const auto row = GENERATE(
        Case{"no answer in time", OrderAnswer::NoAnswer, 800ms, false, 1},
        Case{"no answer in time, but the run has ended", OrderAnswer::NoAnswer, 800ms, true, 0},
        Case{"the connection breaks at once", OrderAnswer::NoAnswer, 10ms, false, 0},
        Case{"accepted", OrderAnswer::Accepted, 800ms, false, 0},
        Case{"the worker knows a newer leader", OrderAnswer::Fenced, 800ms, false, 0});
    CAPTURE(row.name);
    Bench bench(1);
    bench.reportAll(1);
    bench.add("j", {stepOf(1)});
    const auto started = bench.plan();
    REQUIRE(started.starts.size() == 1);
    bench.acceptAll(started);
    bench.scheduler.cancelJob("j");
    const auto stops = bench.plan().stops;
    REQUIRE(stops.size() == 1);
    bench.now += row.after;
    if (row.hasEnded)
        bench.report("w0", {}, {endOf(started.starts[0], 1, jobs::RunEnd::Stopped)});
    bench.scheduler.stopAnswered(stops[0], row.answer, bench.now);
    const auto repeated = bench.plan().stops;
    CHECK(repeated.size() == row.repeats);
    for (const auto &stop : repeated)
        CHECK(stop.run == stops[0].run);
}

// Guards against runs of cancelled jobs that go on: the stop was lost with the session that was to
// send it, or was carried out before the start, which then reached the next incarnation.
TEST_CASE("a report that lists a run of a cancelled job asks for another stop")
{
    struct Case
    {
        const char *name;
        Duration after; ///< the report comes so long after the stop was requested
        bool isAnswered; ///< the stop was accepted, and the run has not been listed since
        std::int64_t born; ///< of the incarnation that lists the run
        std::size_t stops;
    };
    const auto row =
        GENERATE(Case{"the stop may be on its way", 300ms, false, 1, 0},
                 Case{"the stop was not answered", 800ms, false, 1, 1},
                 Case{"the worker has just restarted", 300ms, false, 2, 0},
                 Case{"the job is forgotten", 300ms, true, 1, 1},
                 Case{"the job is forgotten, the worker has restarted", 300ms, true, 2, 1});
    CAPTURE(row.name);
    Bench bench(1);
    bench.reportAll(1);
    bench.add("j", {stepOf(1)});
    const auto order = bench.plan().starts.at(0);
    bench.now += 10ms;
    bench.scheduler.startAnswered(order, OrderAnswer::NoAnswer, bench.now);
    bench.scheduler.cancelJob("j");
    const auto stops = bench.plan().stops;
    REQUIRE(stops.size() == 1);
    bench.record();
    if (row.isAnswered) {
        bench.scheduler.stopAnswered(stops[0], OrderAnswer::Accepted, bench.now);
        bench.now += 10ms;
        bench.report("w0");
        REQUIRE(bench.scheduler.findJob("j") == nullptr);
    }
    bench.now += row.after;
    bench.report("w0", {{order.task, order.run, "", 100, 0}}, {}, row.born);
    CHECK(bench.plan().stops.size() == row.stops);
    // That stop is lost as well.
    bench.now += 800ms;
    bench.report("w0", {{order.task, order.run, "", 100, 0}}, {}, row.born);
    CHECK(bench.plan().stops.size() == 1);
}
