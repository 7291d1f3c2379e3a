// Tests when a stop that may have been lost is repeated.
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
