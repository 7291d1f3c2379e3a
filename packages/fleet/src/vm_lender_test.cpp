// Loans of VMs under failure: a wave that borrows, with a fault at every call that changes
// something, while entry VMs read the rows late. At every moment a VM is used in one pool only, and
// no pool has more VMs out than its budget allows; at the end every loan is back.
#include "../tests/loan_world.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace sassafrasferry;
using namespace sassafrasferry::fleet;
using World = LoanWorld;

namespace {

std::size_t callsOfAWave()
{
    World world;
    world.startWave();
    CallFaults faults;
    CHECK(world.finish(faults).empty());
    CHECK(world.mostLent > 0);
    return faults.calls;
}

} // namespace

TEST_CASE("every fault at every call of a wave that borrows, and twice")
{
    // The holder of the lease dies, is paused while another one goes on, or calls are lost, at any
    // call, while one of two entry VMs reads the rows late. Callers would see a VM work for two
    // pools, or a service with fewer VMs than it promises.
    const auto calls = callsOfAWave();
    const auto sweep = sweepFaults(calls, 5, [](CallFaults &faults) {
        World world;
        world.startWave();
        return world.finish(faults);
    });
    std::cout << "loan matrix: " << enumNames(CallFault{}).size() << " faults x " << calls
              << " calls, once and twice: " << sweep.runs << " runs, " << sweep.violations
              << " violations\n";
    INFO(sweep.first);
    CHECK(sweep.violations == 0);
}

TEST_CASE("demand borrows as many VMs as it lacks, and gives back what it does not need")
{
    World world;
    world.wishes = {{"p", policy::MoveWish::Borrow, 2}};
    // The wish stays as it is until the first VM arrives: what is on its way must count.
    world.steps(1);
    world.steps(1);
    world.steps(1);
    CHECK(world.rows().size() == 2);
    world.wishes.clear();
    world.steps(20);
    CHECK(world.lent() == 2);
    world.wishes = {{"p", policy::MoveWish::Return, 1}};
    world.steps(1);
    world.wishes.clear();
    world.steps(20);
    CHECK(world.lent() == 1);
    world.fleet.lending.reset(); // the operators end all lending
    world.steps(20);
    CHECK(world.rows().empty());
    CHECK(world.failure.empty());
}

TEST_CASE("a wish for more than the spare pool may give stops at its promise")
{
    World world;
    world.wishes = {{"p", policy::MoveWish::Borrow, 10}};
    world.steps(30);
    CHECK(world.rows().size() == spareMayBeOut);
    CHECK(world.failure.empty());
}

TEST_CASE("a VM is not drained while an entry VM has requests on it or does not know")
{
    // A request that was given the VM just before waits for its claim. Were the VM emptied and
    // lent meanwhile, the request would run in a pool that is not its service's.
    World world;
    world.wishes = {{"p", policy::MoveWish::Borrow, 1}};
    world.steps(1);
    world.wishes.clear();
    const auto vm = world.rows().at(0).name;
    world.busy = {vm};
    world.steps(10);
    CHECK(world.vms.vms[vm].report.phase == VmPhase::Serving);
    CHECK(world.rows().at(0).state == VmState::Draining);
    world.busy.clear();
    world.steps(20);
    CHECK(world.rows().at(0).state == VmState::Lent);
    CHECK(world.failure.empty());
}

TEST_CASE("an entry VM that returns with old rows holds up a VM that arrives")
{
    // It was silent while the VM was drained, so nobody waited for it, and it still uses the VM in
    // the spare pool. It is heard again just before the VM would serve the borrower.
    World world;
    CallFaults none;
    world.isSecondSilent = true;
    world.wishes = {{"p", policy::MoveWish::Borrow, 1}};
    world.steps(1);
    world.wishes.clear();
    for (int i = 0; i < 10 && world.rows().at(0).state != VmState::Arriving; ++i)
        world.steps(1);
    const auto vm = world.rows().at(0).name;
    world.isSecondSilent = false;
    world.step(none, world.fence);
    world.step(none, world.fence);
    CHECK(world.rows().at(0).state == VmState::Arriving);
    CHECK(world.vms.vms[vm].report.phase == VmPhase::Empty);
    world.steps(10);
    CHECK(world.rows().at(0).state == VmState::Lent);
}

TEST_CASE("a borrowed VM stays while VMs that are out rest on it")
{
    // The operators end all lending while a wave has more VMs out than the pool alone allows. Taken
    // back at once, the borrowed VMs would leave the service fewer than it promises.
    World world;
    CallFaults none;
    world.fleet.services[0].availability = 1;
    world.mayBeOut = 0;
    world.startWave();
    for (int i = 0; i < 100 && world.out() == 0; ++i)
        world.steps(1);
    REQUIRE(world.out() > 0);
    world.fleet.lending.reset();
    for (int i = 0; i < 5; ++i)
        world.step(none, world.fence); // no time passes at the platform: what is out stays out
    CHECK(world.failure.empty());
    world.steps(150);
    CHECK(world.rows().empty());
    CHECK(world.failure.empty());
}

TEST_CASE("a lent VM that fails goes home, and one that the document drops is forgotten")
{
    World world;
    world.wishes = {{"p", policy::MoveWish::Borrow, 2}};
    world.steps(3);
    world.wishes.clear();
    world.steps(20);
    REQUIRE(world.lent() == 2);
    const auto failing = world.rows().at(0).name;
    const auto dropped = world.rows().at(1).name;
    world.failed = {failing};
    world.steps(20);
    CHECK(world.lent() == 1);
    auto &vms = world.fleet.pools[1].vms;
    std::erase_if(vms, [&](const model::Vm &vm) { return vm.name == dropped; });
    world.steps(1);
    CHECK(world.lent() == 0);
    CHECK(world.rows().empty());
}

TEST_CASE("a permit that rests on a borrowed VM does not pass once that VM goes")
{
    // The holder asked for a permit and got no answer; the request is still on its way. The next
    // holder sees nobody out and gives the borrowed VM back. Were the permit to pass after that,
    // callers would find one VM fewer than the service promises.
    World world;
    FleetStore<fakes::MemoryTables> store(world.tables);
    boost::asio::io_context context(1);
    VmRow lent;
    lent.name = "reserve0";
    lent.pool = "p";
    lent.home = "reserve";
    lent.state = VmState::Lent;
    const BudgetRow none{"p", {}, {}, store::absent};
    const auto arrived = fakes::run(context, store.setBorrowed(lent, none, world.fence));
    REQUIRE(arrived.state == store::CommitState::Committed);
    const BudgetRow asRead{"p", {}, {"reserve0"}, arrived.version};
    lent.version = arrived.version;
    lent.state = VmState::Draining;
    lent.target = "reserve";
    const auto goes = fakes::run(context, store.setBorrowed(lent, asRead, world.fence));
    CHECK(goes.state == store::CommitState::Committed);
    VmRow late;
    late.name = "p0";
    late.pool = "p";
    const auto permit = fakes::run(context, store.permit(late, asRead, world.fence));
    CHECK(permit.state == store::CommitState::Conflict);
    CHECK(world.rows().size() == 1);
}

TEST_CASE("loans go home when their wave halts, but not those that its VMs rest on")
{
    World world;
    world.startWave();
    world.fleet.waves[0].haltAfter = 1;
    world.vms.failsAfterwards = "p0";
    world.steps(60);
    // p0 is out and failing; one of two may be, so every borrowed VM can go.
    CHECK(world.lent() == 0);
    CHECK(world.rows().size() == 1);
    CHECK(world.mostLent > 0);
    CHECK(world.failure.empty());
}
