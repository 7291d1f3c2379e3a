// What the answer to an order about a VM implies for its worker. The order may have taken effect
// earlier, through an earlier leader or an unanswered call.
#include "../tests/fleet_fixture.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;

namespace {

constexpr const char *vm = "one0";

/// Lists the next incarnation of the VM, and reports its answer to a hold unless it has ended.
void listNext(FleetFixture &fixture, const std::string &id, const std::string &pool)
{
    auto next = fixture.scheduler.findWorker("w-one0")->listing;
    next.id = id;
    next.born = ++fixture.incarnationCount;
    next.service = pool;
    fixture.scheduler.listWorker(next, fixture.now);
    if (!fixture.scheduler.findWorker(id)->hasEnded)
        fixture.report(id);
}

std::vector<FleetOrder> ordersAboutVm(FleetFixture &fixture)
{
    auto orders = fixture.plan();
    std::erase_if(orders, [](const FleetOrder &order) { return order.vm != vm; });
    return orders;
}

std::size_t startsOn(FleetFixture &fixture, const std::string &worker)
{
    const auto starts = fixture.scheduler.plan(fixture.now, 0).starts;
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
        FleetFixture fixture(3, 1, 1);
        fixture.now += 2s; // the initial demand of the pool has decayed
        fixture.reportAll();
        listNext(fixture, "n-one0", row.pool);
        if (row.tasks > 0) {
            // Keep the tasks off this VM, so that it stays empty.
            fixture.scheduler.holdVm(vm);
            fixture.addRunningJob("two", row.tasks, vmCores / 2);
            fixture.scheduler.releaseVm(vm);
        }
        CHECK(ordersAboutVm(fixture).size() == (row.moves ? 1 : 0));
    }
}

TEST_CASE("a planned order is sent only while its VM is empty, unless it may already be in effect")
{
    FleetFixture fixture(1, 1, 1);
    fixture.planner.addWave({1, {vm}, 30s, 1}, {}, fixture.now);
    const auto orders = ordersAboutVm(fixture);
    REQUIRE(orders.size() == 1);
    CHECK(fixture.planner.canSend(orders[0], fixture.scheduler, fixture.now));
    const bool isOpen = GENERATE(false, true);
    if (isOpen)
        fixture.planner.handleAnswer(orders[0], FleetAnswer::NoAnswer, fixture.scheduler,
                                     fixture.now);
    fixture.scheduler.incarnationEnded("w-one0", EndEvidence::Entry, fixture.now);
    CHECK(fixture.planner.canSend(orders[0], fixture.scheduler, fixture.now) == isOpen);
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
    FleetFixture fixture(1, 1, 1);
    fixture.planner.addWave({1, {vm}, 30s, 1}, {}, fixture.now);
    auto orders = ordersAboutVm(fixture);
    REQUIRE(orders.size() == 1);
    if (row.isRepeated)
        fixture.planner.handleAnswer(orders[0], FleetAnswer::NoAnswer, fixture.scheduler,
                                     fixture.now);
    const std::string id = row.next == Next::OtherId ? "n-one0" : "w-one0";
    if (row.next != Next::SameWorker)
        listNext(fixture, id, "one");
    if (row.isRepeated) {
        fixture.now += 1s;
        fixture.reportAll();
        orders = ordersAboutVm(fixture);
        REQUIRE(orders.size() == 1);
    }
    fixture.addRunningJob("one", 1, 1000);
    CHECK(fixture.scheduler.findWorker(id)->runs.empty());
    fixture.planner.handleAnswer(orders[0], FleetAnswer::Accepted, fixture.scheduler, fixture.now);
    CHECK(startsOn(fixture, id) == (row.atOnce ? 1 : 0));
    // Its entry remains in the list of workers.
    const auto listing = fixture.scheduler.findWorker(id)->listing;
    const auto maxWait = SchedulerTimes{}.maxLease + 2s;
    for (const auto end = fixture.now + maxWait; fixture.now < end && !row.atOnce;) {
        fixture.now += 100ms;
        fixture.scheduler.forgetWorkers(fixture.now);
        fixture.scheduler.listWorker(listing, fixture.now);
    }
    fixture.report(id);
    CHECK(fixture.scheduler.workerOf(vm) == fixture.scheduler.findWorker(id));
    CHECK(startsOn(fixture, id) == (row.atOnce ? 0 : 1));
    CHECK(fixture.planner.waves().at(1).done.count(vm) == 1);
}
