// Tests of VM moves and maintenance waves, on virtual time.
#include "../tests/fleet_fixture.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

TEST_CASE("VMs are moved to a pool whose work exceeds its capacity")
{
    FleetFixture fixture(2, 2, 4);
    fixture.addRunningJob("one", 5 * 32, 1000); // work for five VMs
    const auto orders = fixture.plan();
    CHECK(fixture.count(orders, FleetAction::Move, "one") >= 4);
}

// Guards against on-time work without capacity: after an outage one queue has a long backlog that
// can't be on time any more, while the surge of another queue begins. The backlog has the larger
// shortage and would get all spare VMs.
TEST_CASE("spare VMs go to work that can still be on time before late work")
{
    FleetFixture fixture(1, 1, 3);
    fixture.addRunningJob("one", 100, 16000); // work for fifty VMs
    fixture.scheduler
        .takeArrivals(); // old arrivals must not count towards the present arrival rate
    fixture.now += 60s;
    fixture.reportAll();
    fixture.addRunningJob("two", 8, 16000); // work for four VMs
    const auto orders = fixture.plan();
    CHECK(fixture.count(orders, FleetAction::Move, "two") == 3);
    CHECK(fixture.count(orders, FleetAction::Move, "one") == 0);
}

// Guards against a surge that waits for a late backlog: after an outage one queue processes a long
// late backlog on all VMs, and the surge of another queue would wait until the backlog is done.
TEST_CASE("VMs of a late backlog are cordoned while on-time work of another pool lacks VMs")
{
    FleetFixture fixture(4, 1, 0);
    fixture.addRunningJob("one", 40, 4000); // 32 of the tasks fit on the VMs
    fixture.scheduler.takeArrivals();
    fixture.now += 60s;
    fixture.reportAll();
    fixture.addRunningJob("two", 16, 8000); // work for four VMs
    fixture.plan();
    std::size_t cordoned = 0;
    for (const auto &entry : fixture.scheduler.workers())
        cordoned += entry.second.cordoned ? 1 : 0;
    CHECK(cordoned == 3);
}

TEST_CASE("surplus VMs are cordoned at the end of a surge so that new work is packed on few VMs")
{
    FleetFixture fixture(6, 1, 1);
    fixture.addRunningJob("one", 6 * 8, 4000);
    fixture.plan();
    for (const auto &name : {"w-one0", "w-one1", "w-one2", "w-one3", "w-one4", "w-one5"})
        fixture.endRunsExcept(name, 1);
    fixture.now += 2s;
    fixture.reportAll();
    fixture.plan();
    std::size_t cordoned = 0;
    for (const auto &entry : fixture.scheduler.workers())
        cordoned += entry.second.cordoned ? 1 : 0;
    CHECK(cordoned >= 4);
}

TEST_CASE("an idle pool keeps the VMs that its long-running tasks need, and one more")
{
    FleetFixture fixture(8, 1, 1);
    fixture.addRunningJob("one", 3, 1000, true);
    std::size_t moved = 0;
    for (int i = 0; i < 5; ++i) {
        fixture.now += 1500ms;
        fixture.reportAll();
        for (const auto &order : fixture.plan()) {
            moved += order.pool == "off" ? 1 : 0;
            fixture.planner.handleAnswer(order, FleetAnswer::Accepted, fixture.scheduler,
                                         fixture.now);
        }
    }
    CHECK(moved == 8 - 4);
}

TEST_CASE("a VM with running tasks is not moved")
{
    FleetFixture fixture(3, 1, 1);
    fixture.addRunningJob("one", 3 * 8, 4000);
    for (const auto &order : fixture.plan())
        CHECK(order.pool != "off");
}

// The platform limits how many VMs of a wave can be under maintenance at the same time.
TEST_CASE("a wave keeps to its limit and begins with VMs of the standby pool")
{
    FleetFixture fixture(4, 4, 4);
    Wave wave{1, {"off0", "off1", "off2", "one0", "one1"}, 20s, 2};
    fixture.planner.addWave(wave, {}, fixture.now);
    const auto orders = fixture.plan();
    CHECK(fixture.count(orders, FleetAction::Maintain) == 2);
    for (const auto &order : orders) {
        if (order.action == FleetAction::Maintain)
            CHECK(order.vm.rfind("off", 0) == 0);
        fixture.planner.handleAnswer(order, FleetAnswer::Accepted, fixture.scheduler, fixture.now);
    }
    fixture.now += 100ms;
    fixture.reportAll();
    CHECK(fixture.count(fixture.plan(), FleetAction::Maintain) == 0);
}

TEST_CASE("a wave is completed once every VM that still exists was maintained")
{
    FleetFixture fixture(1, 1, 2);
    fixture.planner.addWave({1, {"off0", "off1", "gone"}, 20s, 2}, {"off0"}, fixture.now);
    CHECK_FALSE(fixture.planner.waves().at(1).completed);
    for (const auto &order : fixture.plan()) {
        if (order.action == FleetAction::Maintain)
            CHECK(order.vm == "off1");
        fixture.planner.handleAnswer(order, FleetAnswer::Accepted, fixture.scheduler, fixture.now);
    }
    for (int i = 0; i < 2; ++i) {
        CHECK_FALSE(fixture.planner.waves().at(1).completed);
        fixture.now += 100ms;
        fixture.reportAll();
        fixture.planner.updateVms(fixture.vms, fixture.now);
        fixture.plan();
    }
    CHECK(fixture.planner.waves().at(1).completed);
    CHECK(fixture.planner.waves().at(1).done.size() == 2);
    CHECK_FALSE(fixture.planner.hasMissingWaveVms());
}

// Guards against lost tasks: an order got no answer, its VM received work again, and then the
// platform executed the order.
TEST_CASE("an unanswered order is sent again, and its VM receives no work in the meantime")
{
    FleetFixture fixture(1, 1, 1);
    fixture.planner.addWave({1, {"one0"}, 20s, 1}, {}, fixture.now);
    FleetOrder order;
    for (const auto &given : fixture.plan()) {
        if (given.vm == "one0")
            order = given;
    }
    REQUIRE(order.action == FleetAction::Maintain);
    fixture.planner.handleAnswer(order, FleetAnswer::NoAnswer, fixture.scheduler, fixture.now);
    fixture.addRunningJob("one", 1, 1000);
    CHECK(fixture.scheduler.findWorker("w-one0")->runs.empty());
    fixture.now += 1s;
    fixture.reportAll();
    std::size_t again = 0;
    for (const auto &given : fixture.plan())
        again += given.vm == "one0" && given.action == FleetAction::Maintain ? 1 : 0;
    CHECK(again == 1);
    fixture.planner.handleAnswer(order, FleetAnswer::Accepted, fixture.scheduler, fixture.now);
    CHECK(fixture.planner.waves().at(1).done.count("one0") == 1);
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
        FleetFixture fixture(1, 1, 1);
        fixture.planner.addWave({7, {"off0"}, 20s, 1}, {}, fixture.now);
        for (const auto &order : fixture.plan()) {
            if (order.action == FleetAction::Maintain)
                fixture.planner.handleAnswer(order, row.answer, fixture.scheduler, fixture.now);
        }
        CHECK((fixture.planner.waves().at(7).done.count("off0") == 1) == row.isDone);
    }
}

// Guards against a pool without capacity: a task waited 24 s because the only other VM of its pool
// was being evacuated and still counted as capacity.
TEST_CASE("a VM that is evacuated for a wave does not count as capacity of its pool")
{
    FleetFixture fixture(2, 1, 2);
    fixture.addRunningJob("one", 2, 1000, true);
    fixture.planner.addWave({1, {"one0"}, 5s, 1}, {}, fixture.now);
    std::size_t brought = 0;
    for (int i = 0; i < 4; ++i) {
        brought += fixture.count(fixture.plan(), FleetAction::Move, "one");
        fixture.now += 300ms;
        fixture.reportAll();
    }
    CHECK(brought > 0);
}

// Guards against two leaders that both send orders about one VM within the time that the platform
// requires between them.
TEST_CASE("no order is issued about a VM for which the previous leader recently issued one")
{
    FleetFixture fixture(2, 2, 2);
    fixture.planner.deferOrders("off0", fixture.now + 3s);
    fixture.planner.updateVms(fixture.vms, fixture.now);
    fixture.planner.addWave({1, {"off0", "off1"}, 20s, 2}, {}, fixture.now);
    for (const auto &order : fixture.plan())
        CHECK(order.vm != "off0");
    fixture.now += 3100ms;
    fixture.reportAll();
    std::size_t later = 0;
    for (const auto &order : fixture.plan())
        later += order.vm == "off0" ? 1 : 0;
    CHECK(later == 1);
}

// Guards against more VMs under maintenance at the same time than the operator allows. Maintenance
// calls without an answer may still be executed and are sent again until they are answered, so each
// of them counts towards the limit in the meantime.
TEST_CASE("an unanswered maintenance order counts towards the limit of its wave")
{
    FleetFixture fixture(1, 1, 3);
    fixture.planner.addWave({1, {"off0", "off1", "off2"}, 30s, 1}, {}, fixture.now);
    const auto first = fixture.plan();
    REQUIRE(fixture.count(first, FleetAction::Maintain) == 1);
    fixture.planner.handleAnswer(first.front(), FleetAnswer::NoAnswer, fixture.scheduler,
                                 fixture.now);
    fixture.now += 100ms;
    CHECK(fixture.count(fixture.plan(), FleetAction::Maintain) == 0);
    fixture.now += 1s;
    const auto again = fixture.plan();
    REQUIRE(fixture.count(again, FleetAction::Maintain) == 1);
    CHECK(again.front().vm == first.front().vm);
}

// Guards against work on a VM that an order may still end: the first call got no answer and the
// repeated call was refused.
TEST_CASE("a refusal of a repeated order does not settle the first, unanswered call")
{
    FleetFixture fixture(3, 1, 1);
    fixture.now += 2s; // the remembered peak of the initial need has expired
    fixture.reportAll();
    const auto orders = fixture.plan();
    REQUIRE(fixture.count(orders, FleetAction::Move, "off") > 0);
    const auto &order = orders.front();
    for (const auto answer : {FleetAnswer::NoAnswer, FleetAnswer::Refused}) {
        for (const auto &given : orders)
            fixture.planner.handleAnswer(given, answer, fixture.scheduler, fixture.now);
        fixture.now += 100ms;
        fixture.reportAll();
        fixture.addRunningJob("one", 64, 1000);
        CHECK(fixture.scheduler.findWorker("w-" + order.vm)->runs.empty());
        fixture.now += 500ms;
        fixture.reportAll();
        std::size_t again = 0;
        for (const auto &given : fixture.plan())
            again += given.vm == order.vm && given.action == FleetAction::Move ? 1 : 0;
        CHECK(again == 1);
    }
}
