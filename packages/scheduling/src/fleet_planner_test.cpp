// Moves and waves, on virtual time.
#include "../tests/estate.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

TEST_CASE("VMs move to the pool with more work than room")
{
    Estate estate(2, 2, 4);
    estate.work("one", 5 * 32, 1000); // five VMs' worth
    const auto orders = estate.plan();
    CHECK(estate.count(orders, FleetAction::Move, "one") >= 4);
}

// After an outage one queue has a long backlog that can't be on time any more, and another queue's
// turn begins. Its callers would find no room, since the backlog lacks more VMs than they do.
TEST_CASE("spare VMs go first to work that can still be on time")
{
    Estate estate(1, 1, 3);
    estate.work("one", 100, 16000); // fifty VMs' worth
    estate.scheduler.takeArrivals(); // what came long ago tells nothing of what comes
    estate.now += 60s;
    estate.reportAll();
    estate.work("two", 8, 16000); // four
    const auto orders = estate.plan();
    CHECK(estate.count(orders, FleetAction::Move, "two") == 3);
    CHECK(estate.count(orders, FleetAction::Move, "one") == 0);
}

// After an outage a queue works off a long backlog that is late, on all VMs, while another queue's
// surge begins: its callers would wait until the backlog is done.
TEST_CASE("VMs of a late backlog get no new work while on-time work lacks VMs")
{
    Estate estate(4, 1, 0);
    estate.work("one", 40, 4000); // 32 tasks find room
    estate.scheduler.takeArrivals();
    estate.now += 60s;
    estate.reportAll();
    estate.work("two", 16, 8000); // four VMs' worth
    estate.plan();
    std::size_t cordoned = 0;
    for (const auto &entry : estate.scheduler.workers())
        cordoned += entry.second.cordoned ? 1 : 0;
    CHECK(cordoned == 3);
}

TEST_CASE("at the end of a surge new work is packed on few VMs")
{
    Estate estate(6, 1, 1);
    estate.work("one", 6 * 8, 4000);
    estate.plan();
    for (const auto &name : {"w-one0", "w-one1", "w-one2", "w-one3", "w-one4", "w-one5"})
        estate.endAllBut(name, 1);
    estate.now += 2s;
    estate.reportAll();
    estate.plan();
    std::size_t cordoned = 0;
    for (const auto &entry : estate.scheduler.workers())
        cordoned += entry.second.cordoned ? 1 : 0;
    CHECK(cordoned >= 4);
}

TEST_CASE("an idle pool keeps what its lasting tasks need, and one VM")
{
    Estate estate(8, 1, 1);
    estate.work("one", 3, 1000, true);
    std::size_t moved = 0;
    for (int i = 0; i < 5; ++i) {
        estate.now += 1500ms;
        estate.reportAll();
        for (const auto &order : estate.plan()) {
            moved += order.pool == "off" ? 1 : 0;
            estate.planner.answered(order, FleetAnswer::Accepted, estate.scheduler, estate.now);
        }
    }
    CHECK(moved == 8 - 4);
}

TEST_CASE("a VM with something on it is not moved")
{
    Estate estate(3, 1, 1);
    estate.work("one", 3 * 8, 4000);
    for (const auto &order : estate.plan())
        CHECK(order.pool != "off");
}

// The platform allows only so many VMs of a wave under maintenance at once.
TEST_CASE("a wave keeps to its bound and begins with VMs that are off")
{
    Estate estate(4, 4, 4);
    Wave wave{1, {"off0", "off1", "off2", "one0", "one1"}, 20s, 2};
    estate.planner.addWave(wave, {}, estate.now);
    const auto orders = estate.plan();
    CHECK(estate.count(orders, FleetAction::Maintain) == 2);
    for (const auto &order : orders) {
        if (order.action == FleetAction::Maintain)
            CHECK(order.vm.rfind("off", 0) == 0);
        estate.planner.answered(order, FleetAnswer::Accepted, estate.scheduler, estate.now);
    }
    estate.now += 100ms;
    estate.reportAll();
    CHECK(estate.count(estate.plan(), FleetAction::Maintain) == 0);
}

TEST_CASE("a wave is completed once every VM that stays was maintained")
{
    Estate estate(1, 1, 2);
    estate.planner.addWave({1, {"off0", "off1", "gone"}, 20s, 2}, {"off0"}, estate.now);
    CHECK_FALSE(estate.planner.waves().at(1).completed);
    for (const auto &order : estate.plan()) {
        if (order.action == FleetAction::Maintain)
            CHECK(order.vm == "off1");
        estate.planner.answered(order, FleetAnswer::Accepted, estate.scheduler, estate.now);
    }
    estate.now += 100ms;
    estate.reportAll();
    estate.plan();
    CHECK(estate.planner.waves().at(1).completed);
    CHECK(estate.planner.waves().at(1).done.size() == 2);
}

// The caller's task ends with the VM: the order had no answer, its VM was given work again, and
// then the order was carried out.
TEST_CASE("an order without an answer is given again, and its VM no work meanwhile")
{
    Estate estate(1, 1, 1);
    estate.planner.addWave({1, {"one0"}, 20s, 1}, {}, estate.now);
    FleetOrder order;
    for (const auto &given : estate.plan()) {
        if (given.vm == "one0")
            order = given;
    }
    REQUIRE(order.action == FleetAction::Maintain);
    estate.planner.answered(order, FleetAnswer::NoAnswer, estate.scheduler, estate.now);
    estate.work("one", 1, 1000);
    CHECK(estate.scheduler.findWorker("w-one0")->runs.empty());
    estate.now += 1s;
    estate.reportAll();
    std::size_t again = 0;
    for (const auto &given : estate.plan())
        again += given.vm == "one0" && given.action == FleetAction::Maintain ? 1 : 0;
    CHECK(again == 1);
    estate.planner.answered(order, FleetAnswer::Accepted, estate.scheduler, estate.now);
    CHECK(estate.planner.waves().at(1).done.count("one0") == 1);
}

TEST_CASE("what an answer about a VM leads to")
{
    struct Case
    {
        FleetAnswer answer;
        bool isDone;
    };
    const std::vector<Case> cases{
        {FleetAnswer::Accepted, true},   {FleetAnswer::NotInWave, true},
        {FleetAnswer::Impossible, true}, {FleetAnswer::Busy, false},
        {FleetAnswer::Refused, false},   {FleetAnswer::NoAnswer, false},
    };
    for (const auto &row : cases) {
        INFO(model::nameOf(row.answer));
        Estate estate(1, 1, 1);
        estate.planner.addWave({7, {"off0"}, 20s, 1}, {}, estate.now);
        for (const auto &order : estate.plan()) {
            if (order.action == FleetAction::Maintain)
                estate.planner.answered(order, row.answer, estate.scheduler, estate.now);
        }
        CHECK((estate.planner.waves().at(7).done.count("off0") == 1) == row.isDone);
    }
}

// A task waited 24 s: the only other VM of its pool was being emptied, and yet counted as room.
TEST_CASE("a VM that is emptied for a wave does not count as room of its pool")
{
    Estate estate(2, 1, 2);
    estate.work("one", 2, 1000, true);
    estate.planner.addWave({1, {"one0"}, 5s, 1}, {}, estate.now);
    std::size_t brought = 0;
    for (int i = 0; i < 4; ++i) {
        brought += estate.count(estate.plan(), FleetAction::Move, "one");
        estate.now += 300ms;
        estate.reportAll();
    }
    CHECK(brought > 0);
}

// Two holders would take turns about one VM within the platform's bound.
TEST_CASE("no order about a VM that the leader before gave an order about lately")
{
    Estate estate(2, 2, 2);
    estate.planner.defer("off0", estate.now + 3s);
    estate.planner.listVms(estate.vms, estate.now);
    estate.planner.addWave({1, {"off0", "off1"}, 20s, 2}, {}, estate.now);
    for (const auto &order : estate.plan())
        CHECK(order.vm != "off0");
    estate.now += 3100ms;
    estate.reportAll();
    std::size_t later = 0;
    for (const auto &order : estate.plan())
        later += order.vm == "off0" ? 1 : 0;
    CHECK(later == 1);
}

// The platform is told to maintain more VMs at once than operators allow. The calls for as many as
// may be get no answer; they may be carried out all the same, and are given again until they are
// answered, so none of their places is free meanwhile.
TEST_CASE("a maintenance order without an answer keeps its place in the wave's bound")
{
    Estate estate(1, 1, 3);
    estate.planner.addWave({1, {"off0", "off1", "off2"}, 30s, 1}, {}, estate.now);
    const auto first = estate.plan();
    REQUIRE(estate.count(first, FleetAction::Maintain) == 1);
    estate.planner.answered(first.front(), FleetAnswer::NoAnswer, estate.scheduler, estate.now);
    estate.now += 100ms;
    CHECK(estate.count(estate.plan(), FleetAction::Maintain) == 0);
    estate.now += 1s;
    const auto again = estate.plan();
    REQUIRE(estate.count(again, FleetAction::Maintain) == 1);
    CHECK(again.front().vm == first.front().vm);
}

// Guards against work on a VM that an order may still end: the repeated call was refused, the first
// had no answer.
TEST_CASE("a refusal of a repeated order does not settle the first")
{
    Estate estate(3, 1, 1);
    estate.now += 2s; // the pool's need of the start is forgotten
    estate.reportAll();
    const auto orders = estate.plan();
    REQUIRE(estate.count(orders, FleetAction::Move, "off") > 0);
    const auto &order = orders.front();
    for (const auto answer : {FleetAnswer::NoAnswer, FleetAnswer::Refused}) {
        for (const auto &given : orders)
            estate.planner.answered(given, answer, estate.scheduler, estate.now);
        estate.now += 100ms;
        estate.reportAll();
        estate.work("one", 64, 1000);
        CHECK(estate.scheduler.findWorker("w-" + order.vm)->runs.empty());
        estate.now += 500ms;
        estate.reportAll();
        std::size_t again = 0;
        for (const auto &given : estate.plan())
            again += given.vm == order.vm && given.action == FleetAction::Move ? 1 : 0;
        CHECK(again == 1);
    }
}
