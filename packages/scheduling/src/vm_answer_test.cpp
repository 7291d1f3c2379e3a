// What the answer to an order about a VM means for its worker: the order may have been carried out
// before, by an earlier leader or by a call without an answer.
#include "../tests/estate.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;

namespace {

constexpr const char *vm = "one0";

/// The next incarnation of the VM lists itself, and answers.
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

// Guards against VMs that are lost to the leader: the platform's list was behind, and the order to
// move the VM to where it was already ended its worker in the books alone.
TEST_CASE("a VM whose worker has left the pool that the platform lists is not moved")
{
    struct Case
    {
        const char *name;
        std::string pool; ///< of the present incarnation
        std::size_t tasks; ///< work of pool `two`, each of half a VM
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
        estate.now += 2s; // the pool's need of the start is forgotten
        estate.reportAll();
        listNext(estate, "n-one0", row.pool);
        if (row.tasks > 0) {
            // Not on this VM, so that it stays empty.
            estate.scheduler.holdVm(vm);
            estate.work("two", row.tasks, vmCores / 2);
            estate.scheduler.releaseVm(vm);
        }
        CHECK(ordersAboutVm(estate).size() == (row.moves ? 1 : 0));
    }
}

TEST_CASE("a planned order is given only while its VM is empty, unless it may be under way")
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

// Guards against tasks that run twice, and VMs lost to the leader, after an order that had been
// carried out before: the worker that is there now came after it, and lives.
TEST_CASE("a worker that lives takes work again after the leader took it for ended")
{
    enum class Next {
        SameWorker, ///< an earlier leader's order was carried out before this leader knew the VM
        SameId, ///< the same, and it restarts under its id while the call is under way
        OtherId, ///< it was maintained while the call is under way
    };
    struct Case
    {
        const char *name;
        Next next;
        bool isRepeated; ///< the first call had no answer
        bool atOnce; ///< it is known to live
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
    // Its entry goes on to be listed.
    const auto listing = estate.scheduler.findWorker(id)->listing;
    const auto patience = SchedulerTimes{}.longestLease + 2s;
    for (const auto end = estate.now + patience; estate.now < end && !row.atOnce;) {
        estate.now += 100ms;
        estate.scheduler.forgetWorkers(estate.now);
        estate.scheduler.listWorker(listing, estate.now);
    }
    estate.report(id);
    CHECK(estate.scheduler.workerOf(vm) == estate.scheduler.findWorker(id));
    CHECK(startsOn(estate, id) == (row.atOnce ? 0 : 1));
    CHECK(estate.planner.waves().at(1).done.count(vm) == 1);
}
