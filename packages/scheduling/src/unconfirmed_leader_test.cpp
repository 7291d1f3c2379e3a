// Conclusions about leases that a leader draws while another process may lead.
#include "../tests/scheduler_bench.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

namespace {

// After this time all leases that this leader has granted are over.
constexpr Duration leasesOver = 5s;

struct Case
{
    const char *name;
    Duration confirmed; ///< when the store last confirmed the lease, after the last report
    bool isOver; ///< expected: leases of silent workers count as over
};

const std::vector<Case> cases{
    {"confirmed before the worker was silent", -100ms, false},
    {"confirmed while the worker's lease was valid", 3s, false},
    {"confirmed after the end of the worker's lease", 4900ms, true},
};

} // namespace

// Guards against tasks that run twice: a leader that has lost the store takes the lease of a silent
// worker for over, while its successor has extended it.
TEST_CASE("Tasks of a silent worker wait until no other leader can have extended its lease")
{
    for (const auto &row : cases) {
        INFO(row.name);
        Bench bench(2);
        bench.reportAll(2);
        bench.add("j", {stepOf(1)});
        const auto first = bench.plan();
        REQUIRE(first.starts.size() == 1);
        bench.acceptAll(first);
        const auto &silent = first.starts.front().worker;
        const auto other = silent == "w0" ? "w1" : "w0";
        const auto lastReport = bench.now;
        bench.now += leasesOver;
        bench.report(other);
        bench.scheduler.setLeadConfirmed(lastReport + row.confirmed);
        CHECK(bench.plan().starts.empty() != row.isOver);
        bench.scheduler.setLeadConfirmed(bench.now);
        const auto later = bench.plan();
        CHECK(later.starts.empty() == row.isOver);
    }
}

// Guards against tasks that run twice: a new leader that has lost the store itself takes the leases
// of its predecessor for over, while its own successor has extended them.
TEST_CASE("Inherited tasks start only if no later leader can have extended their workers' leases")
{
    for (const auto &row : cases) {
        INFO(row.name);
        SchedulerTimes times;
        times.inheritedLease = 4230ms;
        Bench bench(2, 4000, true, times);
        bench.scheduler.setAllWorkersKnown();
        bench.add("j", {stepOf(1)}, true);
        bench.report("w0");
        bench.now += leasesOver;
        bench.report("w0");
        bench.scheduler.setLeadConfirmed(start + row.confirmed);
        CHECK(bench.plan().starts.empty() != row.isOver);
        CHECK(bench.scheduler.isVmEmpty("vm-w1", bench.now) == row.isOver);
    }
}

// Guards against tasks that run again after they were done: a leader that has lost the store learns
// that a worker has restarted, but not that its successor has acknowledged the end of the run.
TEST_CASE("Tasks of a restarted worker wait until no other leader can have acknowledged their ends")
{
    struct RestartCase
    {
        const char *name;
        EndEvidence evidence;
    };
    const std::vector<RestartCase> restarts{
        {"a report of the next incarnation", EndEvidence::Report},
        {"another worker answers at the address", EndEvidence::OtherIncarnation},
    };
    for (const auto &row : restarts) {
        INFO(row.name);
        Bench bench(2);
        bench.reportAll(2);
        bench.add("j", {stepOf(1)});
        const auto first = bench.plan();
        REQUIRE(first.starts.size() == 1);
        bench.acceptAll(first);
        const auto &run = first.starts.front();
        bench.now += 100ms;
        bench.report(run.worker, {{run.task, run.run, "", 100, 0}});
        bench.scheduler.setLeadConfirmed(bench.now);
        bench.now += 100ms;
        if (row.evidence == EndEvidence::Report)
            bench.report(run.worker, {}, {}, 2);
        else
            bench.scheduler.incarnationEnded(run.worker, row.evidence, bench.now);
        CHECK(bench.plan().starts.empty());
        bench.scheduler.setLeadConfirmed(bench.now);
        CHECK(bench.plan().starts.size() == 1);
    }
}
