// The scheduler's decisions, tested with single events.
#include "../tests/scheduler_bench.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

TEST_CASE("a job is reported as completed only once its final state is in the store")
{
    Bench bench(1);
    bench.report("w0");
    bench.add("j", {stepOf(1)});
    const auto orders = bench.plan();
    REQUIRE(orders.starts.size() == 1);
    CHECK(bench.scheduler.stateOf("j") == JobState::Queued);
    CHECK(bench.scheduler.pendingJobCount("q") == 1);
    bench.acceptAll(orders);
    CHECK(bench.scheduler.stateOf("j") == JobState::Running);
    CHECK(bench.scheduler.pendingJobCount("q") == 0);
    bench.report("w0", {}, {endOf(orders.starts[0], 1, jobs::RunEnd::Done)});
    CHECK(bench.scheduler.stateOf("j") == JobState::Running);
    CHECK(bench.scheduler.acknowledged("w0") == 0);
    bench.record();
    CHECK(bench.scheduler.stateOf("j") == JobState::Completed);
    CHECK(bench.scheduler.acknowledged("w0") == 1);
    CHECK(bench.scheduler.stateOf("other") == JobState::Unknown);
}

// Guards against a task that runs twice: a start gets no answer, the task is started elsewhere, and
// then the first worker carries out its start.
TEST_CASE("after an unanswered start a task is started again only once a stop was answered")
{
    Bench bench(2);
    bench.reportAll(2);
    bench.add("j", {stepOf(1)});
    const auto first = bench.plan().starts.at(0);
    bench.scheduler.leaseUntil(first.worker, bench.now);
    bench.now += 800ms;
    bench.scheduler.startAnswered(first, OrderAnswer::NoAnswer, bench.now);
    CHECK(bench.plan().starts.empty());
    bench.now += 100ms;
    bench.report(first.worker);
    const auto stops = bench.plan().stops;
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == first.run);
    bench.now += 10ms;
    bench.report(first.worker);
    CHECK(bench.plan().starts.empty());
    bench.scheduler.stopAnswered(stops[0], OrderAnswer::Accepted, bench.now);
    bench.now += 10ms;
    bench.report(first.worker);
    const auto again = bench.plan().starts;
    REQUIRE(again.size() == 1);
    CHECK(again[0].run > first.run);
}

// Guards against runs that the scheduler drops without a log line.
TEST_CASE("a run that its worker no longer reports is logged as missing")
{
    Bench bench(1);
    bench.report("w0");
    bench.add("j", {stepOf(1)});
    bench.acceptAll(bench.plan());
    bench.scheduler.takeNotes();
    bench.now += 100ms;
    bench.report("w0");
    const auto notes = bench.scheduler.takeNotes();
    REQUIRE(notes.size() == 1);
    CHECK(notes[0].event == "run-missing");
    CHECK(notes[0].subject == "j.0.0.0");
    CHECK(notes[0].detail == "run=1 worker=w0");
}

TEST_CASE("a run whose start was not answered continues once its worker reports it")
{
    Bench bench(2);
    bench.reportAll(2);
    bench.add("j", {stepOf(1)});
    const auto first = bench.plan().starts.at(0);
    bench.scheduler.startAnswered(first, OrderAnswer::NoAnswer, bench.now);
    bench.now += 100ms;
    bench.report(first.worker, {{first.task, first.run, "", 30, 0}});
    const auto orders = bench.plan();
    CHECK(orders.stops.empty());
    CHECK(orders.starts.empty());
    CHECK(bench.scheduler.stateOf("j") == JobState::Running);
}

// The task of an unresponsive worker may run until the worker's lease ends by the worker's own slow
// clock. The task must not be started elsewhere before that, and not much later either.
TEST_CASE("tasks of an unresponsive worker restart when its lease has ended, and not before")
{
    Bench bench(2);
    bench.reportAll(2);
    bench.add("j", {stepOf(1)});
    const auto first = bench.plan().starts.at(0);
    bench.scheduler.leaseUntil(first.worker, bench.now);
    bench.scheduler.startAnswered(first, OrderAnswer::Accepted, bench.now, ClockOrigin::Same);
    const auto other = first.worker == "w0" ? "w1" : "w0";
    const auto lease = SchedulerTimes{}.workerLease;
    for (const auto end = bench.now + lease + lease / 50; bench.now < end; bench.now += 100ms) {
        bench.report(other);
        CHECK(bench.plan().starts.empty());
    }
    bench.now += 400ms;
    bench.report(other);
    const auto again = bench.plan().starts;
    REQUIRE(again.size() == 1);
    CHECK(again[0].worker == other);
}

// Repeated calls to an unresponsive worker must not extend its lease, which the leader waits for.
TEST_CASE("the lease of an unresponsive worker is not extended")
{
    Bench bench(1);
    bench.report("w0");
    CHECK(bench.scheduler.leaseUntil("w0", bench.now).has_value());
    CHECK(bench.scheduler.leaseUntil("w0", bench.now + 1s).has_value());
    CHECK_FALSE(bench.scheduler.leaseUntil("w0", bench.now + 5s).has_value());
}

// Guards against a job that fails too early: the same end may be reported to an earlier leader and
// to this one, and ends of one task arrive from several workers in any order.
TEST_CASE("a failed run counts once, in whatever order ends are reported")
{
    const std::vector<std::vector<std::int64_t>> orders{{1, 2}, {2, 1}, {1, 1}, {2, 1, 2}};
    for (const auto &runs : orders) {
        Job job("j", {"", {stepOf(1)}, 0, 0, 0ms}, {"q", "s", 0, 3, 1, 0ms}, start);
        std::set<std::int64_t> distinct;
        for (const auto run : runs) {
            job.recordEnd({"j", 0, 0, 0}, run, jobs::RunEnd::Failed, "");
            distinct.insert(run);
        }
        Job next("j", job.spec, job.terms, start);
        next.restore(job.progress());
        next.recordEnd({"j", 0, 0, 0}, runs.front(), jobs::RunEnd::Failed, "");
        CHECK(next.find({"j", 0, 0, 0})->failedRuns.size() == distinct.size());
        CHECK(next.state != JobState::Failed);
        next.recordEnd({"j", 0, 0, 0}, 77, jobs::RunEnd::Failed, "");
        next.recordEnd({"j", 0, 0, 0}, 78, jobs::RunEnd::Failed, "");
        CHECK(next.state == JobState::Failed);
    }
}

TEST_CASE("cancelling a job takes effect at once and stops its runs")
{
    Bench bench(1);
    bench.report("w0");
    bench.add("j", {stepOf(2)});
    const auto orders = bench.plan();
    bench.acceptAll(orders);
    CHECK(bench.scheduler.cancelJob("j"));
    CHECK(bench.scheduler.stateOf("j") == JobState::Cancelled);
    CHECK(bench.plan().stops.size() == 2);
    CHECK(bench.plan().starts.empty());
    CHECK_FALSE(bench.scheduler.cancelJob("none"));
}

TEST_CASE("a task is placed only where its room, label and limits allow")
{
    struct Case
    {
        const char *name;
        jobs::StepSpec step;
        std::size_t starts;
    };
    auto labelled = stepOf(1);
    labelled.requiredLabel = "r1";
    auto unknown = stepOf(1);
    unknown.requiredLabel = "r9";
    auto apart = stepOf(5);
    apart.perVmLimit = 1;
    auto gang = stepOf(9);
    gang.gang = true;
    auto smallGang = stepOf(8);
    smallGang.gang = true;
    auto filler = stepOf(20);
    filler.filler = true;
    const std::vector<Case> cases{
        {"as many as fit", stepOf(20), 16},
        {"too large for any", stepOf(1, 5000), 0},
        {"only with its label", labelled, 1},
        {"no worker has its label", unknown, 0},
        {"one on a worker", apart, 4},
        {"a gang that does not fit is not started in part", gang, 9},
        {"a gang", smallGang, 8},
        {"the processors of fillers do not count", filler, 20},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        Bench bench(4);
        bench.reportAll(4);
        bench.add("j", {row.step});
        CHECK(bench.plan().starts.size() == row.starts);
    }
    Bench bench(4);
    bench.reportAll(4);
    auto large = stepOf(17);
    large.gang = true;
    bench.add("j", {large});
    CHECK(bench.plan().starts.empty());
}

TEST_CASE("members of a gang share their run number")
{
    Bench bench(2);
    bench.reportAll(2);
    auto gang = stepOf(6);
    gang.gang = true;
    bench.add("j", {gang});
    const auto starts = bench.plan().starts;
    REQUIRE(starts.size() == 6);
    for (const auto &order : starts)
        CHECK(order.run == starts[0].run);
}

TEST_CASE("lasting tasks are spread over racks")
{
    Bench bench(4);
    bench.reportAll(4);
    bench.add("j", {lastingStep(2, 1)});
    const auto starts = bench.plan().starts;
    REQUIRE(starts.size() == 2);
    const auto rackOf = [&](const StartOrder &order) {
        return bench.scheduler.findWorker(order.worker)->listing.rack;
    };
    CHECK(rackOf(starts[0]) != rackOf(starts[1]));
}

// A job that misses its objective earns little, so it must not delay one that can meet its own.
TEST_CASE("a job that can meet its objective starts before one that can't")
{
    Bench bench(1, 1000);
    bench.add("late", {stepOf(1)});
    bench.now += 10s;
    bench.add("fresh", {stepOf(1)});
    bench.report("w0");
    CHECK(bench.plan().starts.at(0).task.job == "fresh");
}

// With an availability budget of one, only one task of the two evacuated workers may be unavailable
// at a time. A task counts as available only some time after it was first reported at full share.
TEST_CASE("evacuation respects the availability budget of a lasting step")
{
    Bench bench(3);
    bench.reportAll(3);
    bench.add("j", {lastingStep(2, 1)});
    const auto orders = bench.plan();
    bench.acceptAll(orders);
    const auto atWork = [&](const StartOrder &order) {
        bench.report(order.worker, {{order.task, order.run, "", 100, 0}});
    };
    bench.now += 1s;
    atWork(orders.starts[0]);
    atWork(orders.starts[1]);
    CHECK_FALSE(bench.scheduler.evacuate(orders.starts[0].worker, false, bench.now));
    CHECK(bench.plan().stops.empty()); // the other was first reported at full share just now
    bench.now += 300ms;
    bench.scheduler.evacuate(orders.starts[0].worker, false, bench.now);
    CHECK(bench.plan().stops.size() == 1);
    bench.scheduler.evacuate(orders.starts[1].worker, false, bench.now);
    CHECK(bench.plan().stops.empty());
}

// Guards against a task that is lost with its VM: the VM's next incarnation is listed and gets a
// task while the order to move the VM is still open.
TEST_CASE("a VM with an open order gets no tasks")
{
    Bench bench(1);
    bench.scheduler.holdVm("vm-w0");
    bench.report("w0");
    bench.add("j", {stepOf(1)});
    CHECK(bench.plan().starts.empty());
    bench.scheduler.releaseVm("vm-w0");
    CHECK(bench.plan().starts.size() == 1);
}

TEST_CASE("the answer to a start decides whether the task starts again at once")
{
    struct Case
    {
        OrderAnswer answer;
        bool startsAgainSoon;
    };
    const std::vector<Case> cases{
        {OrderAnswer::Accepted, false},  {OrderAnswer::NoAnswer, false},
        {OrderAnswer::NotSent, true},    {OrderAnswer::Expired, true},
        {OrderAnswer::Superseded, true}, {OrderAnswer::NoTicket, true},
        {OrderAnswer::NoRoom, false},    {OrderAnswer::Unhealthy, false},
    };
    for (const auto &row : cases) {
        INFO(model::nameOf(row.answer));
        Bench bench(1);
        bench.report("w0");
        bench.add("j", {stepOf(1)});
        const auto first = bench.plan().starts.at(0);
        bench.scheduler.startAnswered(first, row.answer, bench.now);
        const auto again = bench.plan().starts;
        CHECK(again.empty() != row.startsAgainSoon);
        if (!again.empty())
            CHECK(again[0].run > first.run);
    }
}

// Guards against a sound job that fails: a faulty worker that fails every run has the most room and
// so gets every attempt of the task.
TEST_CASE("a failed task is retried on another worker")
{
    Bench bench(2);
    bench.reportAll(2);
    bench.add("j", {stepOf(1)});
    const auto first = bench.plan().starts.at(0);
    bench.scheduler.startAnswered(first, OrderAnswer::Accepted, bench.now);
    bench.report(first.worker, {}, {endOf(first, 1, jobs::RunEnd::Failed)});
    CHECK(bench.plan().starts.at(0).worker != first.worker);
}

TEST_CASE("a worker whose runs fail repeatedly gets no starts for a while")
{
    Bench bench(1);
    bench.report("w0");
    for (std::int64_t i = 1; i <= 4; ++i) {
        bench.add("j" + std::to_string(i), {stepOf(1)});
        for (const auto &order : bench.plan().starts) {
            bench.scheduler.startAnswered(order, OrderAnswer::Accepted, bench.now);
            bench.report("w0", {}, {endOf(order, i, jobs::RunEnd::Failed)});
        }
    }
    CHECK(bench.plan().starts.empty());
    bench.now += SchedulerTimes{}.failingBackOff + 10ms;
    bench.report("w0");
    CHECK_FALSE(bench.plan().starts.empty());
}

// With an availability budget of one, the other task's worker stopped answering seconds ago. Its
// lease has not ended, and its last report had the task at full share.
TEST_CASE("a task on an unresponsive worker does not count as available")
{
    Bench bench(3);
    bench.reportAll(3);
    bench.add("j", {lastingStep(2, 1)});
    const auto orders = bench.plan();
    bench.acceptAll(orders);
    bench.now += 1s;
    for (const auto &order : orders.starts)
        bench.report(order.worker, {{order.task, order.run, "", 100, 0}});
    bench.now += 2s;
    const auto &responsive = orders.starts[0];
    bench.report(responsive.worker, {{responsive.task, responsive.run, "", 100, 0}});
    bench.scheduler.evacuate(responsive.worker, false, bench.now);
    CHECK(bench.plan().stops.empty());
}

// Guards against overloaded workers, and against VMs that are moved while a run is on them: an
// unwanted second run occupies room until its end is reported.
TEST_CASE("a second run of a task occupies room until its end is reported")
{
    Bench bench(2, 1000);
    bench.reportAll(2);
    bench.add("j", {stepOf(1)});
    const auto first = bench.plan().starts.at(0);
    bench.acceptAll({{first}, {}, {}});
    const auto other = std::string(first.worker == "w0" ? "w1" : "w0");
    const auto second = first.run + 1;
    bench.report(other, {{first.task, second, "", 100, 0}});
    bench.add("k", {stepOf(1)});
    const auto orders = bench.plan();
    CHECK(orders.starts.empty());
    REQUIRE(orders.stops.size() == 1);
    CHECK(orders.stops[0].run == second);
    bench.now += 100ms;
    bench.report(other, {}, {{1, first.task, second, jobs::RunEnd::Stopped, ""}});
    bench.report(first.worker, {{first.task, first.run, "", 100, 0}});
    CHECK(bench.plan().starts.size() == 1);
}
