// When ends are acknowledged: not before their effect is stored, so that no task runs again.
#include "../tests/scheduler_bench.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

namespace {

const TaskId unknownTask{"unknown", 0, 0, 0};

/// A bench whose worker `w0` runs all tasks of a job `j`.
struct RunningJob
{
    explicit RunningJob(std::size_t tasks)
        : bench(1)
    {
        this->bench.now += SchedulerTimes{}.inheritedLease + 1s; // too late for orphans
        this->bench.report("w0");
        this->bench.add("j", {stepOf(tasks)});
        this->starts = this->bench.plan().starts;
        this->bench.acceptAll({this->starts, {}, {}});
    }

    /// Reports these ends, and the remaining tasks as running.
    void list(std::vector<ListedEnd> ends)
    {
        std::vector<ListedRun> runs;
        for (const auto &order : this->starts) {
            const bool hasEnded = std::any_of(ends.begin(), ends.end(), [&](const auto &end) {
                return end.task == order.task && end.run == order.run;
            });
            if (!hasEnded)
                runs.push_back({order.task, order.run, "", 100, 0});
        }
        this->bench.now += 10ms;
        this->bench.report("w0", std::move(runs), std::move(ends));
    }

    std::int64_t acknowledged() const
    {
        return this->bench.scheduler.acknowledged("w0");
    }

    Bench bench;
    std::vector<StartOrder> starts;
};

} // namespace

TEST_CASE("an end is acknowledged once its effect and those of all earlier ends are in the store")
{
    RunningJob running(2);
    auto &bench = running.bench;
    const auto first = endOf(running.starts[0], 1, jobs::RunEnd::Done);
    const auto second = endOf(running.starts[1], 3, jobs::RunEnd::Done);
    const ListedEnd unknown{2, unknownTask, 1, jobs::RunEnd::Done, ""};
    running.list({first, unknown});
    CHECK(running.acknowledged() == 0); // the end of the unknown job waits for the one before it
    const auto rows = bench.scheduler.takeDirty(1, [](const std::string &) { return true; });
    running.list({first, unknown, second});
    for (const auto &row : rows)
        bench.scheduler.recorded(row);
    CHECK(running.acknowledged() == 2); // the row was made before the third end
    CHECK(bench.scheduler.stateOf("j") == JobState::Running);
    bench.record();
    CHECK(running.acknowledged() == 3);
    CHECK(bench.scheduler.stateOf("j") == JobState::Completed);
}

// A job is removed from memory only once its final state is in the store, so later ends change
// nothing.
TEST_CASE("an end of a job removed from memory is acknowledged and starts nothing")
{
    struct Case
    {
        const char *name;
        std::size_t failures; ///< of its task, before the last run
        jobs::RunEnd last;
        bool isCancelled;
    };
    const auto row = GENERATE(Case{"completed", 0, jobs::RunEnd::Done, false},
                              Case{"failed", 2, jobs::RunEnd::Failed, false},
                              Case{"cancelled, done", 0, jobs::RunEnd::Done, true},
                              Case{"cancelled, stopped", 0, jobs::RunEnd::Stopped, true});
    INFO(row.name);
    RunningJob running(1);
    auto &bench = running.bench;
    std::vector<ListedEnd> ends;
    const auto end = [&](jobs::RunEnd how) {
        const auto number = static_cast<std::int64_t>(ends.size()) + 1;
        ends.push_back(endOf(running.starts[0], number, how));
        running.list(ends);
        bench.record();
        CHECK(running.acknowledged() == number);
    };
    for (std::size_t attempt = 0; attempt < row.failures; ++attempt) {
        end(jobs::RunEnd::Failed);
        running.starts = bench.plan().starts;
        REQUIRE(running.starts.size() == 1);
        bench.acceptAll({running.starts, {}, {}});
    }
    if (row.isCancelled)
        bench.scheduler.cancelJob("j");
    end(row.last);
    REQUIRE(bench.scheduler.findJob("j") == nullptr);
    end(jobs::RunEnd::Stopped);
    CHECK(bench.plan().starts.empty());
}

// Guards against tasks that run again after they were done: a leader that has lost the lease but
// may still send orders for a while starts a job that its successor has not read from the store
// yet.
TEST_CASE("reported runs and ends of an unknown job are applied once the job is known")
{
    struct Case
    {
        const char *name;
        std::vector<ListedRun> runs;
        std::vector<ListedEnd> ends;
        bool startsAgain;
    };
    const auto row = GENERATE(
        Case{"nothing", {}, {}, true}, Case{"a run", {{unknownTask, 1, "", 100, 0}}, {}, false},
        Case{"a run that was done", {}, {{1, unknownTask, 1, jobs::RunEnd::Done, ""}}, false},
        Case{"a run that was stopped", {}, {{1, unknownTask, 1, jobs::RunEnd::Stopped, ""}}, true});
    INFO(row.name);
    Bench bench(2, 4000, true);
    bench.scheduler.setAllWorkersKnown();
    bench.report("w0", row.runs, row.ends);
    bench.report("w1");
    bench.plan();
    bench.now += 20ms;
    bench.add(unknownTask.job, {stepOf(1)});
    CHECK(bench.scheduler.acknowledged("w0") == 0);
    CHECK(bench.plan().starts.size() == (row.startsAgain ? 1 : 0));
    if (row.runs.empty())
        return;
    bench.now += 1s;
    bench.report("w1");
    bench.report("w0", {}, {{1, unknownTask, 1, jobs::RunEnd::Stopped, ""}});
    CHECK(bench.plan().starts.size() == 1);
}

TEST_CASE("an end of an unknown job is acknowledged after a short wait for the job")
{
    Bench bench(1, 4000, true);
    bench.scheduler.setAllWorkersKnown();
    const ListedEnd end{1, unknownTask, 1, jobs::RunEnd::Done, ""};
    bench.report("w0", {}, {end});
    const bool arrives = GENERATE(true, false);
    if (arrives) {
        bench.add(unknownTask.job, {stepOf(1)});
        bench.now += 5s;
        bench.report("w0", {}, {end});
        CHECK(bench.scheduler.acknowledged("w0") == 0);
        bench.record();
        CHECK(bench.scheduler.stateOf(unknownTask.job) == JobState::Completed);
    } else {
        CHECK(bench.scheduler.acknowledged("w0") == 0);
        bench.now += 2s;
        bench.report("w0", {}, {end});
    }
    CHECK(bench.scheduler.acknowledged("w0") == 1);
}

TEST_CASE("an end is acknowledged on each worker that reported one of the recorded job")
{
    Bench bench(3, 1000);
    bench.reportAll(3);
    bench.add("j", {stepOf(2)});
    bench.add("k", {stepOf(1)});
    const auto starts = bench.plan().starts;
    REQUIRE(starts.size() == 3);
    bench.acceptAll({starts, {}, {}});
    bench.now += 10ms;
    for (const auto &order : starts)
        bench.report(order.worker, {}, {endOf(order, 1, jobs::RunEnd::Done)});
    const std::string recorded = GENERATE("j", "k");
    for (const auto &row :
         bench.scheduler.takeDirty(1, [&](const std::string &job) { return job == recorded; }))
        bench.scheduler.recorded(row);
    for (const auto &order : starts)
        CHECK(bench.scheduler.acknowledged(order.worker) == (order.task.job == recorded ? 1 : 0));
    bench.record();
    for (const auto &order : starts)
        CHECK(bench.scheduler.acknowledged(order.worker) == 1);
}

TEST_CASE("an end of a job that needs no row is acknowledged when any row is recorded")
{
    Bench bench(2, 4000, true);
    bench.scheduler.setAllWorkersKnown();
    bench.report("w0", {}, {{1, unknownTask, 1, jobs::RunEnd::Stopped, ""}});
    bench.report("w1");
    bench.add("j", {stepOf(1)});
    bench.add(unknownTask.job, {stepOf(1)});
    CHECK(bench.scheduler.acknowledged("w0") == 0);
    bench.scheduler.cancelJob("j");
    bench.record();
    CHECK(bench.scheduler.acknowledged("w0") == 1);
}

// The room released must equal the room reserved, although the run's need was unknown at first.
TEST_CASE("a run of a job that becomes known later reserves and releases its room once")
{
    Bench bench(1, 1000, true);
    bench.scheduler.setAllWorkersKnown();
    bench.report("w0", {{unknownTask, 1, "", 100, 0}});
    bench.add(unknownTask.job, {stepOf(1)});
    CHECK(bench.scheduler.findWorker("w0")->room().cpu == 0);
    bench.now += 100ms;
    bench.report("w0", {}, {{1, unknownTask, 1, jobs::RunEnd::Stopped, ""}});
    CHECK(bench.scheduler.findWorker("w0")->room().cpu == 1000);
}
