// Tests of VM moves and maintenance waves, on virtual time.
#include "../tests/estate.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

TEST_CASE("VMs are moved to a pool whose work exceeds its capacity")
{
    Estate estate(2, 2, 4);
    estate.work("one", 5 * 32, 1000); // work for five VMs
    const auto orders = estate.plan();
    CHECK(estate.count(orders, FleetAction::Move, "one") >= 4);
}

// Guards against on-time work without capacity: after an outage one queue has a long backlog that
// can't be on time any more, while the surge of another queue begins. The backlog has the larger
// shortage and would get all spare VMs.
TEST_CASE("spare VMs go to work that can still be on time before late work")
{
    Estate estate(1, 1, 3);
    estate.work("one", 100, 16000); // work for fifty VMs
    estate.scheduler.takeArrivals(); // old arrivals must not count towards the present arrival rate
    estate.now += 60s;
    estate.reportAll();
    estate.work("two", 8, 16000); // work for four VMs
    const auto orders = estate.plan();
    CHECK(estate.count(orders, FleetAction::Move, "two") == 3);
    CHECK(estate.count(orders, FleetAction::Move, "one") == 0);
}

// Guards against a surge that waits for a late backlog: after an outage one queue processes a long
// late backlog on all VMs, and the surge of another queue would wait until the backlog is done.
TEST_CASE("VMs of a late backlog are cordoned while on-time work of another pool lacks VMs")
{
    Estate estate(4, 1, 0);
    estate.work("one", 40, 4000); // 32 of the tasks fit on the VMs
    estate.scheduler.takeArrivals();
    estate.now += 60s;
    estate.reportAll();
    estate.work("two", 16, 8000); // work for four VMs
    estate.plan();
    std::size_t cordoned = 0;
    for (const auto &entry : estate.scheduler.workers())
        cordoned += entry.second.cordoned ? 1 : 0;
    CHECK(cordoned == 3);
}

TEST_CASE("surplus VMs are cordoned at the end of a surge so that new work is packed on few VMs")
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

TEST_CASE("an idle pool keeps the VMs that its long-running tasks need, and one more")
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

TEST_CASE("a VM with running tasks is not moved")
{
    Estate estate(3, 1, 1);
    estate.work("one", 3 * 8, 4000);
    for (const auto &order : estate.plan())
        CHECK(order.pool != "off");
}

// The platform limits how many VMs of a wave can be under maintenance at the same time.
TEST_CASE("a wave keeps to its limit and begins with VMs of the standby pool")
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

TEST_CASE("a wave is completed once every VM that still exists was maintained")
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

// Guards against lost tasks: an order got no answer, its VM received work again, and then the
// platform executed the order.
TEST_CASE("an unanswered order is sent again, and its VM receives no work in the meantime")
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

TEST_CASE("answers to a maintenance order settle the VM or leave it to be retried")
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

// Guards against a pool without capacity: a task waited 24 s because the only other VM of its pool
// was being evacuated and still counted as capacity.
TEST_CASE("a VM that is evacuated for a wave does not count as capacity of its pool")
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

// Guards against two leaders that both send orders about one VM within the time that the platform
// requires between them.
TEST_CASE("no order is issued about a VM for which the previous leader recently issued one")
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

// Guards against more VMs under maintenance at the same time than the operator allows. Maintenance
// calls without an answer may still be executed and are sent again until they are answered, so each
// of them counts towards the limit in the meantime.
TEST_CASE("an unanswered maintenance order counts towards the limit of its wave")
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

// Guards against work on a VM that an order may still end: the first call got no answer and the
// repeated call was refused.
TEST_CASE("a refusal of a repeated order does not settle the first, unanswered call")
{
    Estate estate(3, 1, 1);
    estate.now += 2s; // the remembered peak of the initial need has expired
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
