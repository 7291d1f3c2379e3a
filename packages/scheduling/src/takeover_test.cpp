// What a new leader takes over, and the incarnations of workers.
#include "../tests/scheduler_bench.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

TEST_CASE("after a takeover tasks wait for the workers that may run them")
{
    struct Case
    {
        const char *name;
        bool secondAnswers;
        Duration later;
        std::size_t starts;
    };
    const std::vector<Case> cases{
        {"one worker has not answered", false, 0ms, 0},
        {"both have answered", true, 0ms, 1},
        {"one is silent for less than it may run", false, SchedulerTimes{}.inheritedLease - 100ms,
         0},
        {"one is silent for longer", false, SchedulerTimes{}.inheritedLease + 100ms, 1},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        Bench bench(2, 4000, true);
        bench.scheduler.knowsAllWorkers();
        bench.add("j", {stepOf(1)}, true);
        bench.now += row.later;
        bench.report("w0");
        if (row.secondAnswers)
            bench.report("w1");
        CHECK(bench.plan().starts.size() == row.starts);
    }
}

TEST_CASE("a job that came after the takeover does not wait")
{
    Bench bench(2, 4000, true);
    bench.add("j", {stepOf(1)}, false);
    bench.report("w0");
    CHECK(bench.plan().starts.size() == 1);
}

TEST_CASE("a worker that does not list itself is waited for after a takeover")
{
    Bench bench(1, 4000, true);
    bench.report("w0");
    bench.add("j", {stepOf(1)}, true);
    CHECK(bench.plan().starts.empty()); // the list of VMs is not known
    bench.scheduler.expectWorker("ghost", "s");
    bench.scheduler.knowsAllWorkers();
    CHECK(bench.plan().starts.empty());
    bench.now += SchedulerTimes{}.inheritedLease + 100ms;
    bench.report("w0");
    CHECK(bench.plan().starts.size() == 1);
}

TEST_CASE("a run that a worker lists is taken over, an unwanted one is stopped")
{
    Bench bench(1, 4000, true);
    bench.scheduler.knowsAllWorkers();
    bench.add("j", {stepOf(1)}, true);
    bench.report("w0", {{{"j", 0, 0, 0}, 7, "", 10, 0}, {{"gone", 0, 0, 0}, 3, "", 10, 0}});
    const auto orders = bench.plan();
    CHECK(orders.starts.empty());
    REQUIRE(orders.stops.size() == 1);
    CHECK(orders.stops[0].task.job == "gone");
    bench.report("w0", {}, {{1, {"j", 0, 0, 0}, 7, jobs::RunEnd::Done, ""}});
    bench.record();
    CHECK(bench.scheduler.stateOf("j") == JobState::Completed);
}

TEST_CASE("run numbers of two leaders never meet")
{
    Bench bench(1, 4000, true);
    bench.report("w0");
    bench.add("j", {stepOf(1)});
    CHECK(bench.plan().starts.at(0).run > 1000);
}

TEST_CASE("a worker's next incarnation runs nothing of the one before")
{
    Bench bench(1);
    bench.report("w0");
    bench.add("j", {stepOf(1)});
    bench.acceptAll(bench.plan());
    bench.now += 100ms;
    bench.report("w0", {}, {}, 2);
    CHECK(bench.plan().starts.size() == 1);
}

TEST_CASE("a start on its way outlives the end of a worker's incarnation")
{
    Bench bench(2);
    bench.reportAll(2);
    bench.add("j", {stepOf(1)});
    const auto first = bench.plan().starts.at(0);
    bench.scheduler.incarnationEnded(first.worker, EndEvidence::Entry, bench.now);
    CHECK(bench.plan().starts.empty());
}

TEST_CASE("an entry of an earlier incarnation is not taken for the present one")
{
    Bench bench(1);
    bench.report("w0");
    bench.add("j", {stepOf(1)});
    bench.acceptAll(bench.plan());
    WorkerListing next = bench.scheduler.findWorker("w0")->listing;
    next.id = "w9";
    next.born = 2;
    const auto former = bench.scheduler.findWorker("w0")->listing;
    bench.scheduler.listWorker(next, bench.now);
    bench.scheduler.listWorker(former, bench.now);
    REQUIRE(bench.scheduler.workerOf("vm-w0") != nullptr);
    CHECK(bench.scheduler.workerOf("vm-w0")->listing.id == "w9");
    CHECK_FALSE(bench.scheduler.findWorker("w0")->listed);
    // What ran in the earlier incarnation is over, and starts again in this one.
    bench.report("w9", {}, {}, 2);
    CHECK(bench.plan().starts.at(0).worker == "w9");
}

namespace {

/// The worker's incarnation ends, and the next one lists itself as `id`.
void listNext(Bench &bench, const std::string &worker, const std::string &id)
{
    auto next = bench.scheduler.findWorker(worker)->listing;
    next.id = id;
    next.born = 2;
    bench.scheduler.listWorker(next, bench.now);
}

} // namespace

// Guards against tasks that run again after they were done: the leader read the answer that lists
// their end only after it had heard of the worker's next incarnation.
TEST_CASE("an answer of an incarnation that has ended still tells of ends, but of no runs")
{
    struct Case
    {
        const char *name;
        std::string nextId; ///< empty: that of the former incarnation
        bool isEnd; ///< the answer lists the end of the run, or the run
        jobs::RunEnd end;
        bool startsAgain;
    };
    const auto row = GENERATE(Case{"done, same id", "", true, jobs::RunEnd::Done, false},
                              Case{"done, another id", "x", true, jobs::RunEnd::Done, false},
                              Case{"stopped, same id", "", true, jobs::RunEnd::Stopped, true},
                              Case{"stopped, another id", "x", true, jobs::RunEnd::Stopped, true},
                              Case{"running, same id", "", false, jobs::RunEnd::Done, true},
                              Case{"running, another id", "x", false, jobs::RunEnd::Done, true});
    INFO(row.name);
    Bench bench(2);
    bench.reportAll(2);
    bench.add("j", {stepOf(1)});
    const auto first = bench.plan().starts.at(0);
    bench.acceptAll({{first}, {}, {}});
    bench.now += 100ms;
    const ListedRun run{first.task, first.run, "", 100, 0};
    bench.report(first.worker, {run});
    bench.now += 100ms;
    listNext(bench, first.worker, row.nextId.empty() ? first.worker : row.nextId);
    if (row.isEnd)
        bench.report(first.worker, {}, {endOf(first, 1, row.end)});
    else
        bench.report(first.worker, {run});
    CHECK(bench.plan().starts.size() == (row.startsAgain ? 1 : 0));
    CHECK(bench.scheduler.stateOf("j") == JobState::Running);
    bench.record();
    CHECK(bench.scheduler.stateOf("j")
          == (row.startsAgain ? JobState::Running : JobState::Completed));
}

// Guards against failures that are counted twice, and against the numbers of a former incarnation's
// ends in the books of the present one.
TEST_CASE("ends of a former incarnation count once, and acknowledge nothing")
{
    Bench bench(2);
    bench.reportAll(2);
    bench.add("j", {stepOf(1)});
    const auto first = bench.plan().starts.at(0);
    bench.acceptAll({{first}, {}, {}});
    const auto end = endOf(first, 5, jobs::RunEnd::Failed);
    bench.report(first.worker, {}, {end});
    listNext(bench, first.worker, first.worker);
    bench.report(first.worker, {}, {end});
    bench.report(first.worker, {}, {end});
    bench.record();
    CHECK(bench.scheduler.findJob("j")->find(first.task)->failedRuns.size() == 1);
    CHECK(bench.scheduler.acknowledged(first.worker) == 0);
    CHECK_FALSE(bench.scheduler.findWorker(first.worker)->surveyed);
}

TEST_CASE("workers that are gone are forgotten once nothing of theirs is open")
{
    Bench bench(2);
    bench.reportAll(2);
    bench.add("j", {stepOf(1)});
    const auto first = bench.plan().starts.at(0);
    bench.scheduler.leaseUntil(first.worker, bench.now);
    bench.scheduler.endWorker(first.worker, EndEvidence::VmOrder, bench.now);
    CHECK_FALSE(bench.scheduler.findWorker(first.worker)->listed);
    bench.scheduler.forgetWorkers(bench.now);
    CHECK(bench.scheduler.findWorker(first.worker) != nullptr); // a start is on its way
    bench.scheduler.startAnswered(first, OrderAnswer::OtherIncarnation, bench.now);
    bench.now += 5s;
    bench.scheduler.forgetWorkers(bench.now);
    CHECK(bench.scheduler.findWorker(first.worker) == nullptr);
    CHECK(bench.scheduler.listedWorkers() == 1);
}

// Callers' tasks wait for seconds after a takeover. VMs that were moved shortly before still have
// the entry of their earlier incarnation, which answers nobody; but the platform's list tells that
// another incarnation is there, so what ran in the earlier one has ended.
TEST_CASE("an incarnation that the platform says is over is not waited for")
{
    struct Case
    {
        const char *name;
        VmIncarnation incarnation;
        bool isListedBefore;
        std::size_t starts;
    };
    const std::vector<Case> cases{
        {"the same incarnation", {"vm-w1", "s", "w1", true}, true, 0},
        {"another incarnation in another pool", {"vm-w1", "t", "x", true}, true, 1},
        {"off in the standby pool", {"vm-w1", "t", "", true}, true, 1},
        {"on its way to another pool", {"vm-w1", "t", "", false}, true, 1},
        {"between two incarnations in its pool, perhaps", {"vm-w1", "s", "", false}, true, 0},
        {"up in its pool, with no incarnation that the platform hears",
         {"vm-w1", "s", "", true},
         true,
         0},
        {"another incarnation in its pool", {"vm-w1", "s", "x", true}, true, 1},
        {"listed after the platform was asked", {"vm-w1", "t", "x", true}, false, 0},
        {"another VM", {"vm-w9", "t", "x", true}, true, 0},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        Bench bench(2, 4000, true);
        bench.add("j", {stepOf(1)}, true);
        bench.report("w0");
        const std::set<std::string> listed{"w0", row.isListedBefore ? "w1" : "w0"};
        bench.scheduler.endEarlierIncarnations(row.incarnation, listed, bench.now);
        bench.scheduler.knowsAllWorkers();
        CHECK(bench.plan().starts.size() == row.starts);
    }
}

// After each takeover VMs were moved to pools whose tasks were all running: until the workers had
// answered, the new leader took the tasks for work that waits, and that has waited for long.
TEST_CASE("tasks that may run unseen do not count as waiting")
{
    Bench bench(2, 4000, true);
    bench.add("inherited", {lastingStep(2, 1)}, true);
    bench.add("batch", {stepOf(3)}, true);
    bench.now += 2s;
    const auto load = bench.scheduler.loads(bench.now, 0)["s"];
    CHECK(load.ready.cpu == 0);
    CHECK_FALSE(load.starves);
    CHECK(load.lasting.cpu == 2000);
    CHECK(load.running.cpu == 3000);
}

// Guards against tasks that wait for a worker that is gone: each call to its address, which another
// worker has now, put the end of its lease off again.
TEST_CASE("tasks of a worker whose address has another worker start elsewhere at once")
{
    struct Case
    {
        const char *name;
        OrderAnswer answer;
        bool isListed;
    };
    const std::vector<Case> cases{
        {"accepted", OrderAnswer::Accepted, false},
        {"accepted and listed", OrderAnswer::Accepted, true},
        {"without an answer", OrderAnswer::NoAnswer, false},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        Bench bench(2);
        bench.reportAll(2);
        bench.add("j", {stepOf(1)});
        const auto first = bench.plan().starts.at(0);
        bench.scheduler.startAnswered(first, row.answer, bench.now);
        if (row.isListed)
            bench.report(first.worker, {{first.task, first.run, "", 100, 0}});
        bench.scheduler.incarnationEnded(first.worker, EndEvidence::OtherIncarnation, bench.now);
        const auto again = bench.plan().starts;
        REQUIRE(again.size() == 1);
        CHECK(again[0].worker != first.worker);
        bench.scheduler.takeNotes();
        bench.scheduler.incarnationEnded(first.worker, EndEvidence::OtherIncarnation, bench.now);
        CHECK(bench.scheduler.takeNotes().empty());
    }
}
