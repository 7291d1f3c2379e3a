// What the answer to an order about a VM implies for its worker. The order may have taken effect
// earlier, through an earlier leader or an unanswered call.
#include "../tests/estate.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;

namespace {

constexpr const char *vm = "one0";

/// Lists the next incarnation of the VM, and reports its answer to a hold unless it has ended.
void listNext(Estate &estate, const std::string &id, const std::string &pool)
{
    auto next = estate.scheduler.findWorker("w-one0")->listing;
    next.id = id;
    next.born = ++estate.births;
    next.service = pool;
    estate.scheduler.listWorker(next, estate.now);
    if (!estate.scheduler.findWorker(id)->over)
        estate.report(id);
}

std::vector<FleetOrder> ordersAboutVm(Estate &estate)
{
    auto orders = estate.plan();
    std::erase_if(orders, [](const FleetOrder &order) { return order.vm != vm; });
    return orders;
}

std::size_t startsOn(Estate &estate, const std::string &worker)
{
    const auto starts = estate.scheduler.plan(estate.now, 0).starts;
    return static_cast<std::size_t>(std::count_if(
        starts.begin(), starts.end(), [&](const auto &order) { return order.worker == worker; }));
}

} // namespace

// Guards against VMs that the leader no longer uses: the platform's list is out of date, and an
// order to move the VM to the pool where it already is ends its worker only in the leader's view.
TEST_CASE("a VM is not moved while its worker is not in the pool that the platform lists")
{
    struct Case
    {
        const char *name;
        std::string pool; ///< pool of the current incarnation
        std::size_t tasks; ///< tasks of pool `two`, each half a VM in size
        bool moves;
    };
    const std::vector<Case> cases{
        {"it came to the pool in need", "two", 40, false},
        {"it came to another pool, and the listed one has too many", "two", 0, false},
        {"it is where the platform lists it, and a pool is in need", "one", 40, true},
        {"it is where the platform lists it, and the pool has too many", "one", 0, true},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        Estate estate(3, 1, 1);
        estate.now += 2s; // the initial demand of the pool has decayed
        estate.reportAll();
        listNext(estate, "n-one0", row.pool);
        if (row.tasks > 0) {
            // Keep the tasks off this VM, so that it stays empty.
            estate.scheduler.holdVm(vm);
            estate.work("two", row.tasks, vmCores / 2);
            estate.scheduler.releaseVm(vm);
        }
        CHECK(ordersAboutVm(estate).size() == (row.moves ? 1 : 0));
    }
}

TEST_CASE("a planned order is sent only while its VM is empty, unless it may already be in effect")
{
    Estate estate(1, 1, 1);
    estate.planner.addWave({1, {vm}, 30s, 1}, {}, estate.now);
    const auto orders = ordersAboutVm(estate);
    REQUIRE(orders.size() == 1);
    CHECK(estate.planner.mayGive(orders[0], estate.scheduler, estate.now));
    const bool isOpen = GENERATE(false, true);
    if (isOpen)
        estate.planner.answered(orders[0], FleetAnswer::NoAnswer, estate.scheduler, estate.now);
    estate.scheduler.incarnationEnded("w-one0", EndEvidence::Entry, estate.now);
    CHECK(estate.planner.mayGive(orders[0], estate.scheduler, estate.now) == isOpen);
}

// Guards against tasks that run twice, and VMs that the leader no longer uses, after an order that
// took effect earlier: the current worker started after that and is alive.
TEST_CASE("a live worker gets tasks again after the leader has considered it ended")
{
    enum class Next {
        SameWorker, ///< an earlier leader's order took effect before this leader knew the VM
        SameId, ///< the same, and the worker restarts under its id during the call
        OtherId, ///< the VM was maintained during the call
    };
    struct Case
    {
        const char *name;
        Next next;
        bool isRepeated; ///< the first call was not answered
        bool atOnce; ///< gets tasks at once, since it is known to be alive
    };
    const auto row = GENERATE(
        Case{"the present worker came after an earlier leader's order", Next::SameWorker, false,
             false},
        Case{"the same, and the first call had no answer", Next::SameWorker, true, false},
        Case{"it restarted under its id", Next::SameId, false, false},
        Case{"it restarted under its id after a call without an answer", Next::SameId, true, false},
        Case{"its next incarnation listed itself before the answer", Next::OtherId, false, true},
        Case{"its next incarnation came after a call without an answer", Next::OtherId, true,
             true});
    INFO(row.name);
    Estate estate(1, 1, 1);
    estate.planner.addWave({1, {vm}, 30s, 1}, {}, estate.now);
    auto orders = ordersAboutVm(estate);
    REQUIRE(orders.size() == 1);
    if (row.isRepeated)
        estate.planner.answered(orders[0], FleetAnswer::NoAnswer, estate.scheduler, estate.now);
    const std::string id = row.next == Next::OtherId ? "n-one0" : "w-one0";
    if (row.next != Next::SameWorker)
        listNext(estate, id, "one");
    if (row.isRepeated) {
        estate.now += 1s;
        estate.reportAll();
        orders = ordersAboutVm(estate);
        REQUIRE(orders.size() == 1);
    }
    estate.work("one", 1, 1000);
    CHECK(estate.scheduler.findWorker(id)->runs.empty());
    estate.planner.answered(orders[0], FleetAnswer::Accepted, estate.scheduler, estate.now);
    CHECK(startsOn(estate, id) == (row.atOnce ? 1 : 0));
    // Its entry remains in the list of workers.
    const auto listing = estate.scheduler.findWorker(id)->listing;
    const auto maxWait = SchedulerTimes{}.longestLease + 2s;
    for (const auto end = estate.now + maxWait; estate.now < end && !row.atOnce;) {
        estate.now += 100ms;
        estate.scheduler.forgetWorkers(estate.now);
        estate.scheduler.listWorker(listing, estate.now);
    }
    estate.report(id);
    CHECK(estate.scheduler.workerOf(vm) == estate.scheduler.findWorker(id));
    CHECK(startsOn(estate, id) == (row.atOnce ? 0 : 1));
    CHECK(estate.planner.waves().at(1).done.count(vm) == 1);
}
