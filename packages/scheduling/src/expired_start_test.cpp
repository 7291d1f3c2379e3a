// Starts whose validity ends before the lease of their worker, and what follows once they are
// refused for arriving after that.
#include "../tests/scheduler_bench.h"
#include "../tests/sim_worker.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

namespace {

constexpr Duration validity = 400ms;
constexpr const char *workerId = "w0";

/// A scheduler and its worker, which carries out holds and starts at once.
struct LeasedWorker
{
    LeasedWorker()
    {
        this->worker.id = workerId;
        this->worker.born = 1;
        this->worker.startedAt = this->bench.now;
    }

    void hold()
    {
        const auto until = this->bench.scheduler.leaseUntil(workerId, this->bench.now);
        const auto report = this->worker.hold(1, 0, until, this->bench.now, this->callbacks);
        this->bench.scheduler.report(*report, this->bench.now, this->bench.now);
    }

    /// Starts a lasting task, which is valid for a shorter time than a lease.
    OrderAnswer start()
    {
        auto &scheduler = this->bench.scheduler;
        const auto now = this->bench.now;
        this->bench.add("j", {lastingStep(1, 1)});
        const auto order = this->bench.plan().starts.at(0);
        const auto until = scheduler.leaseUntil(workerId, now, now + validity);
        const auto answer = this->worker.start(order, until.value_or(0), 1, now, this->callbacks);
        scheduler.startAnswered(order, answer, now);
        return answer;
    }

    /// Lets the time pass. True if the worker has runs then.
    bool isRunningAfter(Duration time)
    {
        this->bench.now += time;
        this->worker.run(this->bench.now, this->callbacks);
        return !this->worker.runs.empty();
    }

    Bench bench{1};
    tests::SimWorker worker;
    tests::SimWorkerCallbacks callbacks{[](const RunKey &) {},
                                        [] {
                                            return tests::SimRun{Instant::max(), false};
                                        },
                                        [](const TaskId &, jobs::RunEnd) {},
                                        [](const ListedEnd &) {
                                        }};
};

/// Plans a round, whose starts are all refused as expired. Returns their number.
std::size_t refuseAll(Bench &bench)
{
    const auto orders = bench.plan();
    for (const auto &order : orders.starts)
        bench.scheduler.startAnswered(order, OrderAnswer::Expired, bench.now);
    return orders.starts.size();
}

} // namespace

// Guards against runs that lapse because a start goes with a shorter time than the lease.
TEST_CASE("A start that is valid for less than the lease does not shorten the lease")
{
    const auto lease = SchedulerTimes{}.workerLease;
    LeasedWorker leased;
    leased.hold(); // the clock of the worker is unknown before
    leased.hold();
    const auto granted = leased.worker.leaseEnd;
    REQUIRE(leased.start() == OrderAnswer::Accepted);
    CHECK(leased.worker.leaseEnd == granted);
    // The scheduler waits for the longer one before it starts the task elsewhere.
    CHECK(leased.bench.scheduler.findWorker(workerId)->latestLeaseEnd == granted);
    CHECK(leased.isRunningAfter(lease - 10ms));
    CHECK_FALSE(leased.isRunningAfter(20ms));
}

// Guards against runs that lapse on a worker that has no lease yet: it has just started or reported
// to a new leader for the first time.
TEST_CASE("A run on a worker without a lease goes on once the next hold arrives")
{
    struct Case
    {
        const char *name;
        Duration holdAfter; ///< the start
        bool isRunning;
    };
    // A session sends the next hold at once when it has the first report, and 180 ms later when
    // that lists ends that are still to be recorded.
    const auto row =
        GENERATE(Case{"at once", 0ms, true}, Case{"after the ends are recorded", 180ms, true},
                 Case{"after the start's validity", validity + 10ms, false});
    CAPTURE(row.name);
    LeasedWorker leased;
    leased.hold();
    REQUIRE(leased.start() == OrderAnswer::Accepted);
    leased.isRunningAfter(row.holdAfter);
    leased.hold();
    CHECK(leased.isRunningAfter(2s) == row.isRunning);
}

// Guards against starts that are refused and repeated every few milliseconds: the leader estimates
// the worker's clock too low until the next report, since the last one arrived late.
TEST_CASE("A worker that refuses starts as expired is called less often")
{
    struct Case
    {
        const char *name;
        bool reportsBetween; ///< the worker reports after each round
        std::size_t mostStarts;
        std::size_t fewestStarts;
    };
    const auto row = GENERATE(Case{"no report", false, 8, 6}, Case{"reports", true, 100, 100});
    CAPTURE(row.name);
    Bench bench(1);
    bench.report(workerId);
    bench.add("j", {stepOf(1)});
    std::size_t starts = 0;
    for (int round = 0; round < 100; ++round) {
        starts += refuseAll(bench);
        bench.now += 10ms;
        if (row.reportsBetween)
            bench.report(workerId);
    }
    CHECK(starts <= row.mostStarts);
    CHECK(starts >= row.fewestStarts);
}

TEST_CASE("Starts that expired on one worker are given to another at once")
{
    Bench bench(2);
    bench.reportAll(2);
    bench.scheduler.findWorker("w1")->cordoned = true;
    bench.add("j", {stepOf(1)});
    REQUIRE(refuseAll(bench) == 1);
    REQUIRE(refuseAll(bench) == 1);
    bench.scheduler.findWorker("w1")->cordoned = false;
    const auto again = bench.plan().starts;
    REQUIRE(again.size() == 1);
    CHECK(again[0].worker == "w1");
}

// Guards against a worker that gets starts too early: it failed most runs, and then refused starts
// that were still on their way.
TEST_CASE("Starts that expired do not cut a longer pause of their worker")
{
    Bench bench(1);
    bench.report(workerId);
    bench.add("j", {stepOf(2)});
    const auto orders = bench.plan();
    REQUIRE(orders.starts.size() == 2);
    const auto until = bench.now + 2s;
    bench.scheduler.findWorker(workerId)->backOffUntil = until;
    for (const auto &order : orders.starts)
        bench.scheduler.startAnswered(order, OrderAnswer::Expired, bench.now);
    CHECK(bench.scheduler.findWorker(workerId)->backOffUntil == until);
}
