// Tests orders about VMs that a leader takes over from an earlier one.
#include "../tests/fleet_fixture.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;

namespace {

constexpr const char *vm = "one0";
constexpr const char *worker = "w-one0";
const TaskId task{"j1", 0, 0, 0};
const FleetOrder move{FleetAction::Move, vm, "two", 0};

/// A planner that has adopted the move of the only VM of a pool with a waiting job.
struct AdoptedMove
{
    AdoptedMove()
    {
        this->fixture.planner.adoptOrder({move, worker}, this->fixture.scheduler, this->until);
        this->fixture.planner.updateVms(this->fixture.vms, this->fixture.now);
        this->fixture.addRunningJob("one", 1, 1000);
    }

    void report(std::vector<ListedRun> runs, std::vector<ListedEnd> ends)
    {
        const auto *known = this->fixture.scheduler.findWorker(worker);
        const auto clock = 1000 + (this->fixture.now - start) / 1ms;
        this->fixture.scheduler.report(
            {worker, known->listing.born, clock, std::move(runs), std::move(ends)},
            this->fixture.now, this->fixture.now);
    }

    void reportRun()
    {
        this->report({{task, 5, "", 100, 0}}, {});
    }

    void reportEnd()
    {
        this->report({}, {{1, task, 5, jobs::RunEnd::Stopped, "saved"}});
    }

    void listWorkerOf(const std::string &pool)
    {
        auto listing = this->fixture.scheduler.findWorker(worker)->listing;
        listing.id = "w-next";
        listing.born = ++this->fixture.incarnationCount;
        listing.service = pool;
        this->fixture.scheduler.listWorker(listing, this->fixture.now);
        this->fixture.report(listing.id);
    }

    bool isOpen() const
    {
        return !this->fixture.planner.openOrders().empty();
    }

    std::size_t countRepeats()
    {
        const auto orders = this->fixture.plan();
        return static_cast<std::size_t>(std::count_if(
            orders.begin(), orders.end(), [](const FleetOrder &order) { return order.vm == vm; }));
    }

    void pass(Duration duration)
    {
        this->fixture.now += duration;
        this->fixture.reportAll();
    }

    FleetFixture fixture{1, 1, 1};
    Instant until = fixture.now + 3s;
};

} // namespace

// Guards against work on a VM that the order of a lost leader then ends.
TEST_CASE("a VM with an adopted order gets no work until the order is answered")
{
    AdoptedMove adopted;
    CHECK(adopted.countRepeats() == 0);
    adopted.pass(2900ms);
    adopted.fixture.startAll();
    CHECK(adopted.fixture.scheduler.findWorker(worker)->runs.empty());
    CHECK(adopted.countRepeats() == 0);
    adopted.pass(200ms);
    adopted.fixture.startAll();
    CHECK(adopted.fixture.scheduler.findWorker(worker)->runs.empty());
    CHECK(adopted.countRepeats() == 1);
    CHECK(adopted.isOpen());
    adopted.fixture.planner.handleAnswer(move, FleetAnswer::Accepted, adopted.fixture.scheduler,
                                         adopted.fixture.now);
    CHECK_FALSE(adopted.isOpen());
    CHECK(adopted.fixture.scheduler.findWorker(worker)->hasEnded);
}

// Guards against VMs that stand idle for seconds after a takeover although nothing can end their
// work any more.
TEST_CASE("a VM whose adopted order is settled gets work at once")
{
    struct Case
    {
        const char *name;
        void (*change)(AdoptedMove &);
        bool isSettled;
    };
    const auto row =
        GENERATE(Case{"nothing", [](AdoptedMove &) {}, false},
                 Case{"a run that an earlier leader started",
                      [](AdoptedMove &adopted) { adopted.reportRun(); }, true},
                 Case{"an end that is not in the store",
                      [](AdoptedMove &adopted) { adopted.reportEnd(); }, false},
                 Case{"a worker of the target pool",
                      [](AdoptedMove &adopted) { adopted.listWorkerOf("two"); }, true},
                 Case{"another worker of the same pool",
                      [](AdoptedMove &adopted) { adopted.listWorkerOf("one"); }, false});
    CAPTURE(row.name);
    AdoptedMove adopted;
    row.change(adopted);
    adopted.fixture.planner.releaseSettledVms(adopted.fixture.scheduler);
    CHECK(adopted.isOpen() != row.isSettled);
    adopted.fixture.addRunningJob("one", 1, 1000);
    adopted.fixture.addRunningJob("two", 200, 1000);
    std::size_t runs = 0;
    for (const auto &entry : adopted.fixture.scheduler.workers())
        runs += entry.second.listing.vm == vm ? entry.second.runs.size() : 0;
    CHECK((runs > 0) == row.isSettled);
}

// Guards against tasks that run twice: the earlier leader never sent the order, because the VM's
// worker listed an end that was not in the store, and the next leader sends it.
TEST_CASE("an adopted order is not sent while its VM holds an end that is not in the store")
{
    AdoptedMove adopted;
    adopted.reportEnd();
    adopted.pass(3100ms);
    CHECK(adopted.countRepeats() == 0);
    for (const auto &row :
         adopted.fixture.scheduler.takeDirty(100, [](const std::string &) { return true; }))
        adopted.fixture.scheduler.recorded(row);
    CHECK(adopted.countRepeats() == 1);
}

// Guards against the same failure if the end is listed while the order is announced.
TEST_CASE("an adopted order is given up if its VM holds something by the time of the call")
{
    AdoptedMove adopted;
    adopted.pass(3100ms);
    REQUIRE(adopted.countRepeats() == 1);
    CHECK(adopted.fixture.planner.canSend(move, adopted.fixture.scheduler, adopted.fixture.now));
    adopted.reportRun();
    CHECK_FALSE(
        adopted.fixture.planner.canSend(move, adopted.fixture.scheduler, adopted.fixture.now));
    adopted.fixture.planner.handleAnswer(move, FleetAnswer::Refused, adopted.fixture.scheduler,
                                         adopted.fixture.now);
    adopted.fixture.planner.releaseSettledVms(adopted.fixture.scheduler);
    CHECK_FALSE(adopted.isOpen());
    CHECK_FALSE(adopted.fixture.scheduler.findWorker(worker)->evacuating);
}

// Guards against more VMs under maintenance at the same time than the operator allows.
TEST_CASE("an adopted maintenance order counts towards the limit of its wave")
{
    FleetFixture fixture(1, 1, 3);
    const FleetOrder maintain{FleetAction::Maintain, "off0", "", 1};
    fixture.planner.adoptOrder({maintain, ""}, fixture.scheduler, fixture.now + 3s);
    fixture.planner.updateVms(fixture.vms, fixture.now);
    fixture.planner.addWave({1, {"off0", "off1", "off2"}, 30s, 1}, {}, fixture.now);
    CHECK(fixture.count(fixture.plan(), FleetAction::Maintain) == 0);
    fixture.now += 3100ms;
    fixture.reportAll();
    const auto orders = fixture.plan();
    REQUIRE(fixture.count(orders, FleetAction::Maintain) == 1);
    CHECK(orders.front().vm == "off0");
}

TEST_CASE("an open order is stored with all that its successor needs")
{
    const auto open =
        GENERATE(OpenVmOrder{{FleetAction::Move, vm, "two", 0}, worker}, OpenVmOrder{move, ""},
                 OpenVmOrder{{FleetAction::Maintain, vm, "", 7}, worker});
    const auto read = openVmOrderFrom(toMessage(open));
    CHECK(read.order.action == open.order.action);
    CHECK(read.order.vm == open.order.vm);
    CHECK(read.order.pool == open.order.pool);
    CHECK(read.order.wave == open.order.wave);
    CHECK(read.worker == open.worker);
}
