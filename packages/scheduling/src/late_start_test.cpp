// Starts without an answer that a later incarnation of their worker carries out: what a restart
// opens again, and where a task runs next meanwhile.
#include "../tests/scheduler_bench.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t firstToken = 100;

/// Two workers. The start of the only task had no answer at `w0`, and an answered stop has settled
/// it there.
struct SettledBench : Bench
{
    SettledBench()
        : Bench(2)
    {
        this->raiseToken();
        this->reportAll(2);
        this->add("j", {stepOf(1)});
        this->order = this->plan().starts.at(0);
        this->order.fence = this->scheduler.fenceFor("w0");
        this->scheduler.startAnswered(this->order, OrderAnswer::NoAnswer, this->now);
        this->pass(1s);
        this->report("w0"); // without the run, which asks for a stop
        for (auto &stop : this->plan().stops) {
            stop.fence = this->scheduler.fenceFor(stop.worker);
            this->scheduler.stopAnswered(stop, OrderAnswer::Accepted, this->now);
        }
        this->pass(10ms);
        this->report("w0");
    }

    void pass(Duration time)
    {
        this->now += time;
        this->raiseToken();
    }

    void raiseToken()
    {
        this->scheduler.setFence(firstToken + (this->now - start) / 1ms);
    }

    void restart(std::int64_t born)
    {
        this->list("w0", born, 4000, "r0");
    }

    /// The present incarnation answers the first call that is sent to it.
    void answer(std::int64_t born, std::vector<ListedRun> running = {})
    {
        WorkerReport report{"w0", born, 10, std::move(running), {}};
        report.fence = this->scheduler.fenceFor("w0");
        this->scheduler.report(report, this->now, this->now);
    }

    std::vector<StartOrder> starts()
    {
        this->report("w1");
        return this->plan().starts;
    }

    StartOrder order;
};

} // namespace

// Guards against a second run of a task: its start was settled with one incarnation of a worker,
// and a later one carries it out before it has been called.
TEST_CASE("a restart opens starts again that were settled with an earlier incarnation")
{
    struct Case
    {
        const char *name;
        Duration age; ///< of the start when the worker restarts
        int restarts;
        bool isListed; ///< the last incarnation has the run when it is first called
        bool waits; ///< until that incarnation has answered
        bool startsAgain; ///< after that
    };
    const auto row =
        GENERATE(Case{"restarted at once", 2s, 1, false, true, true},
                 Case{"restarted late", 11s, 1, false, true, true},
                 Case{"restarted twice", 2s, 2, false, true, true},
                 Case{"restarted, and the run is there", 2s, 1, true, true, false},
                 Case{"restarted once the start is too old", 14s, 1, false, false, true});
    INFO(row.name);
    SettledBench bench;
    std::int64_t born = 1;
    while (bench.now < start + row.age) {
        bench.pass(500ms);
        bench.report("w0");
    }
    for (int i = 0; i < row.restarts; ++i) {
        if (born > 1) {
            bench.answer(born);
            bench.pass(500ms);
        }
        bench.restart(++born);
        bench.pass(100ms);
    }
    const auto early = bench.starts();
    CHECK(early.empty() == row.waits);
    std::vector<ListedRun> running;
    if (row.isListed)
        running.push_back({bench.order.task, bench.order.run, "", 100, 0});
    bench.answer(born, running);
    CHECK((!early.empty() || !bench.starts().empty()) == row.startsAgain);
}

// Guards against a second run of a task: it runs elsewhere while a restart of its first worker may
// still let the late start in.
TEST_CASE("a task whose start had no answer runs next on the same worker")
{
    struct Case
    {
        const char *name;
        Duration age; ///< of the start without an answer
        bool isCordoned; ///< the worker of that start
        bool isSame;
    };
    const auto row =
        GENERATE(Case{"may still be carried out", 2s, false, true},
                 Case{"may still be carried out, its worker is cordoned", 2s, true, true},
                 Case{"is too old", 14s, false, false});
    INFO(row.name);
    SettledBench bench;
    while (bench.now < start + row.age) {
        bench.pass(500ms);
        bench.report("w0");
    }
    bench.scheduler.findWorker("w0")->cordoned = row.isCordoned;
    bench.add("k", {stepOf(2)});
    bench.report("w1", {{{"k", 0, 0, 0}, 1, "", 100, 0}, {{"k", 0, 0, 1}, 1, "", 100, 0}});
    const auto starts = bench.plan().starts; // `w1` has less room, so that it fits better
    REQUIRE(starts.size() == 1);
    CHECK((starts[0].worker == "w0") == row.isSame);
}
