// Tests which starts are still wanted after a change of their job or worker.
#include "../tests/scheduler_bench.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

namespace {

using Change = std::function<void(Bench &bench, const StartOrder &order)>;

std::string otherWorker(const StartOrder &order)
{
    return order.worker == "w0" ? "w1" : "w0";
}

void listAgain(Bench &bench, const StartOrder &order, bool draining, const std::string &service)
{
    auto listing = bench.scheduler.findWorker(order.worker)->listing;
    listing.draining = draining;
    listing.service = service;
    bench.scheduler.listWorker(listing, bench.now);
}

// Ends of other runs of the task, which an earlier leader started.
void reportEnds(Bench &bench, const StartOrder &order, jobs::RunEnd end, std::int64_t count)
{
    std::vector<ListedEnd> ends;
    for (std::int64_t i = 1; i <= count; ++i)
        ends.push_back({i, order.task, order.run + 50 + i, end, ""});
    bench.report(otherWorker(order), {}, ends);
}

void moveQueue(Bench &bench, const StartOrder &)
{
    auto configuration = bench.scheduler.configuration();
    ++configuration.version;
    configuration.queues[0].terms.service = "t";
    bench.scheduler.setConfiguration(configuration);
}

jobs::StepSpec gangOf(std::size_t count)
{
    auto step = stepOf(count);
    step.gang = true;
    return step;
}

void none(Bench &, const StartOrder &)
{}

void cancel(Bench &bench, const StartOrder &order)
{
    bench.scheduler.cancelJob(order.task.job);
}

void drain(Bench &bench, const StartOrder &order)
{
    listAgain(bench, order, true, "s");
}

void changeService(Bench &bench, const StartOrder &order)
{
    listAgain(bench, order, false, "t");
}

void unlist(Bench &bench, const StartOrder &order)
{
    bench.scheduler.unlistWorker(order.worker);
}

void evacuate(Bench &bench, const StartOrder &order)
{
    bench.scheduler.evacuate(order.worker, false, bench.now);
}

void hold(Bench &bench, const StartOrder &order)
{
    bench.scheduler.holdVm("vm-" + order.worker);
}

void retire(Bench &bench, const StartOrder &order)
{
    bench.scheduler.retireWorker(order.worker, EndEvidence::VmOrder, bench.now);
}

void restart(Bench &bench, const StartOrder &order)
{
    bench.report(order.worker, {}, {}, 2);
}

void complete(Bench &bench, const StartOrder &order)
{
    reportEnds(bench, order, jobs::RunEnd::Done, 1);
}

void fail(Bench &bench, const StartOrder &order)
{
    reportEnds(bench, order, jobs::RunEnd::Failed, 3);
}

void askToStop(Bench &bench, const StartOrder &order)
{
    bench.scheduler.requestStop(order.worker, {order.task, order.run}, "test");
    bench.plan();
}

void backOff(Bench &bench, const StartOrder &order)
{
    auto *worker = bench.scheduler.findWorker(order.worker);
    worker->fullUntil = bench.now + 1s;
    worker->backOffUntil = bench.now + 1s;
    worker->cordoned = true;
}

void pass(Bench &bench, const StartOrder &)
{
    bench.now += SchedulerTimes{}.answerTimeout + 100ms;
}

} // namespace

// Guards against tasks that start after their job was cancelled, and on workers that drain: their
// starts waited to be sent meanwhile. A withdrawn task must be free for another worker.
TEST_CASE("a start is withdrawn once its job or its worker no longer wants it")
{
    struct Case
    {
        const char *name;
        jobs::StepSpec step;
        Change change;
        bool isWanted;
        std::size_t startsAgain; ///< starts of the next round, after a withdrawal
    };
    const auto row =
        GENERATE(Case{"nothing changes", stepOf(1), none, true, 0},
                 Case{"its worker gets no more starts for a while", stepOf(1), backOff, true, 0},
                 Case{"its worker does not answer", stepOf(1), pass, true, 0},
                 Case{"its job is cancelled", stepOf(1), cancel, false, 0},
                 Case{"its job is completed", stepOf(1), complete, false, 0},
                 Case{"its job has failed", stepOf(1), fail, false, 0},
                 Case{"its task is done", stepOf(2), complete, false, 0},
                 Case{"its run was asked to stop", stepOf(1), askToStop, false, 1},
                 Case{"its worker drains", stepOf(1), drain, false, 1},
                 Case{"its worker changes service", stepOf(1), changeService, false, 1},
                 Case{"its worker is unlisted", stepOf(1), unlist, false, 1},
                 Case{"its worker is evacuated", stepOf(1), evacuate, false, 1},
                 Case{"its worker's VM has an open order", stepOf(1), hold, false, 1},
                 Case{"its worker is retired", stepOf(1), retire, false, 1},
                 Case{"its worker restarts", stepOf(1), restart, false, 1},
                 Case{"its queue changes service", stepOf(1), moveQueue, false, 0},
                 Case{"lasting, its worker drains", lastingStep(1, 1), drain, false, 1},
                 Case{"of a gang, its worker drains", gangOf(6), drain, true, 0},
                 Case{"of a gang, its worker changes service", gangOf(6), changeService, true, 0},
                 Case{"of a gang, its worker is unlisted", gangOf(6), unlist, true, 0},
                 Case{"of a gang, its worker is evacuated", gangOf(6), evacuate, true, 0},
                 Case{"of a gang, its worker's VM has an open order", gangOf(6), hold, true, 0},
                 Case{"of a gang, its job is cancelled", gangOf(6), cancel, false, 0});
    INFO(row.name);
    Bench bench(2, 5000);
    bench.reportAll(2);
    bench.add("j", {row.step});
    const auto orders = bench.plan().starts;
    REQUIRE(orders.size() == row.step.count);
    const auto &order = orders[0];
    row.change(bench, order);
    CHECK(bench.scheduler.isStartWanted(order) == row.isWanted);
    if (!row.isWanted)
        bench.scheduler.startAnswered(order, OrderAnswer::NotSent, bench.now);
    const auto &worker = *bench.scheduler.findWorker(order.worker);
    CHECK(worker.runs.count({order.task, order.run}) == (row.isWanted ? 1 : 0));
    CHECK(worker.used.cpu == 1000 * static_cast<std::int64_t>(worker.runs.size()));
    const auto next = bench.plan();
    REQUIRE(next.starts.size() == row.startsAgain);
    // The answer to a stop that was already requested does not affect the next run.
    bench.scheduler.stopAnswered({order.worker, order.task, order.run, ""}, OrderAnswer::Accepted,
                                 bench.now);
    for (const auto &again : next.starts) {
        CHECK(again.run > order.run);
        CHECK(bench.scheduler.isStartWanted(again));
    }
}
