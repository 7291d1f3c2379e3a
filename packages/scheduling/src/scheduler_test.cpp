// The leader's memory, one event after the other.
#include "../tests/scheduler_bench.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

TEST_CASE("a job is completed for callers once its last end is in the store")
{
    Bench bench(1);
    bench.report("w0");
    bench.add("j", {stepOf(1)});
    const auto orders = bench.plan();
    REQUIRE(orders.starts.size() == 1);
    CHECK(bench.scheduler.stateOf("j") == JobState::Queued);
    CHECK(bench.scheduler.pendingOf("q") == 1);
    bench.acceptAll(orders);
    CHECK(bench.scheduler.stateOf("j") == JobState::Running);
    CHECK(bench.scheduler.pendingOf("q") == 0);
    bench.report("w0", {}, {endOf(orders.starts[0], 1, jobs::RunEnd::Done)});
    CHECK(bench.scheduler.stateOf("j") == JobState::Running);
    CHECK(bench.scheduler.acknowledged("w0") == 0);
    bench.record();
    CHECK(bench.scheduler.stateOf("j") == JobState::Completed);
    CHECK(bench.scheduler.acknowledged("w0") == 1);
    CHECK(bench.scheduler.stateOf("other") == JobState::Unknown);
}

// The caller gets a bill twice: the start had no answer, the task was started elsewhere, and then
// the first worker carried its order out.
TEST_CASE("a task whose start had no answer runs elsewhere only after a stop was answered")
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

// Guards against runs that leave the books without a line in the log.
TEST_CASE("the log names a run that its worker lists no more")
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

TEST_CASE("a start that had no answer and is listed goes on")
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

// A worker goes dark with a task on it. The task may run on until the worker's lease ends by the
// worker's own slow clock, so nothing is started before that; and it is not longer than needed.
TEST_CASE("tasks of a silent worker wait for the end of its lease and no longer")
{
    Bench bench(2);
    bench.reportAll(2);
    bench.add("j", {stepOf(1)});
    const auto first = bench.plan().starts.at(0);
    bench.scheduler.leaseUntil(first.worker, bench.now);
    bench.scheduler.startAnswered(first, OrderAnswer::Accepted, bench.now);
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

// The leader that asks a silent worker again and again must not lengthen its lease by that.
TEST_CASE("a silent worker's lease is not lengthened")
{
    Bench bench(1);
    bench.report("w0");
    CHECK(bench.scheduler.leaseUntil("w0", bench.now).has_value());
    CHECK(bench.scheduler.leaseUntil("w0", bench.now + 1s).has_value());
    CHECK_FALSE(bench.scheduler.leaseUntil("w0", bench.now + 5s).has_value());
}

// Two bills again: the new leader started a task that still ran on a worker it had not heard yet.
// A worker that is cut off from the store is in no list of workers; only the list of VMs names it.
// A job is shown as failed that failed once: the end was listed to the leader before as well, and
// ends of one task come from several workers in any order.
TEST_CASE("a failed run counts once, in whatever order ends are listed")
{
    const std::vector<std::vector<std::int64_t>> orders{{1, 2}, {2, 1}, {1, 1}, {2, 1, 2}};
    for (const auto &runs : orders) {
        Job job("j", {"", {stepOf(1)}, 0, 0, 0ms}, {"q", "s", 0, 3, 1, 0ms}, start);
        std::set<std::int64_t> distinct;
        for (const auto run : runs) {
            job.noteEnd({"j", 0, 0, 0}, run, jobs::RunEnd::Failed, "");
            distinct.insert(run);
        }
        Job next("j", job.spec, job.terms, start);
        next.restore(job.progress());
        next.noteEnd({"j", 0, 0, 0}, runs.front(), jobs::RunEnd::Failed, "");
        CHECK(next.find({"j", 0, 0, 0})->failedRuns.size() == distinct.size());
        CHECK(next.state != JobState::Failed);
        next.noteEnd({"j", 0, 0, 0}, 77, jobs::RunEnd::Failed, "");
        next.noteEnd({"j", 0, 0, 0}, 78, jobs::RunEnd::Failed, "");
        CHECK(next.state == JobState::Failed);
    }
}

TEST_CASE("a cancelled job's runs are stopped, and it is over at once")
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

// A start on its way may reach the worker's next incarnation under the same id, so it is not
// forgotten.
TEST_CASE("where a task may run")
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

// Late jobs earn little and push nobody out, and yet they end.
TEST_CASE("a job that can be on time goes before one that can't")
{
    Bench bench(1, 1000);
    bench.add("late", {stepOf(1)});
    bench.now += 10s;
    bench.add("fresh", {stepOf(1)});
    bench.report("w0");
    CHECK(bench.plan().starts.at(0).task.job == "fresh");
}

// An availability budget of one: of two workers to be emptied only one task may be away at a time,
// and it is away until it has been at work again for a moment.
TEST_CASE("evacuation keeps the tasks that a lasting step must have at work")
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
    CHECK(bench.plan().stops.empty()); // the other has only just been reported at work
    bench.now += 300ms;
    bench.scheduler.evacuate(orders.starts[0].worker, false, bench.now);
    CHECK(bench.plan().stops.size() == 1);
    bench.scheduler.evacuate(orders.starts[1].worker, false, bench.now);
    CHECK(bench.plan().stops.empty());
}

// The caller's task ends with the VM: its next incarnation listed itself and was given work while
// the order to move it was still under way.
TEST_CASE("a VM with an order under way is given no work")
{
    Bench bench(1);
    bench.scheduler.holdVm("vm-w0");
    bench.report("w0");
    bench.add("j", {stepOf(1)});
    CHECK(bench.plan().starts.empty());
    bench.scheduler.releaseVm("vm-w0");
    CHECK(bench.plan().starts.size() == 1);
}

TEST_CASE("what a worker's answer to a start leads to")
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

// The caller's task ends with its VM: the entry of the VM's earlier incarnation came late, that
// incarnation ran nothing, and so the VM seemed empty and was moved. A job that could be done is
// shown as failed: a worker that fails all it starts had the most room, and was given each of the
// task's attempts.
TEST_CASE("a task that failed is tried on another worker")
{
    Bench bench(2);
    bench.reportAll(2);
    bench.add("j", {stepOf(1)});
    const auto first = bench.plan().starts.at(0);
    bench.scheduler.startAnswered(first, OrderAnswer::Accepted, bench.now);
    bench.report(first.worker, {}, {endOf(first, 1, jobs::RunEnd::Failed)});
    CHECK(bench.plan().starts.at(0).worker != first.worker);
}

TEST_CASE("a worker that fails run after run is given a rest")
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

// A leader that moves VMs sees hundreds of incarnations a minute: each one kept would be asked for
// ever. An availability budget of one: the other task's worker went dark seconds ago, its lease has
// not ended yet, and its last report said that the task is at work.
TEST_CASE("a task on a silent worker does not count as at work")
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
    const auto &heard = orders.starts[0];
    bench.report(heard.worker, {{heard.task, heard.run, "", 100, 0}});
    bench.scheduler.evacuate(heard.worker, false, bench.now);
    CHECK(bench.plan().stops.empty());
}

// Guards against workers that are given more than they have room for, and against VMs that are
// ended beside a run: a second run takes room until its end is listed.
TEST_CASE("a second run of a task takes room until it has ended")
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
