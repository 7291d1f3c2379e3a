// Tests VM loans under faults: a wave that borrows meets a fault at every call that changes state,
// while entry VMs read the rows late. At all times a VM is used in one pool only and no pool
// exceeds its budget; at the end every loan has been returned.
#include "../tests/loan_world.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace sassafrasferry;
using namespace sassafrasferry::fleet;
using World = LoanWorld;

namespace {

std::size_t countWaveCalls()
{
    World world;
    world.startWave();
    CallFaults faults;
    CHECK(world.finish(faults).empty());
    CHECK(world.maxLent > 0);
    return faults.calls;
}

} // namespace

TEST_CASE("a wave that borrows withstands every single and double fault at every call")
{
    // At any call the lease holder dies, is paused while another process takes over, or loses the
    // call, while one of two entry VMs reads the rows late. A violation would let a VM work for two
    // pools, or leave a service fewer VMs than its availability requires.
    const auto calls = countWaveCalls();
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

TEST_CASE("demand borrows the VMs that it lacks and returns those that it does not need")
{
    World world;
    world.wishes = {{"p", policy::MoveWish::Borrow, 2}};
    // The wish stays unchanged until the first VM arrives: VMs about to arrive must count.
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

TEST_CASE("demand for more VMs than the spare pool's budget allows is capped by that budget")
{
    World world;
    world.wishes = {{"p", policy::MoveWish::Borrow, 10}};
    world.steps(30);
    CHECK(world.rows().size() == spareMaxOut);
    CHECK(world.failure.empty());
}

TEST_CASE("a VM is not drained while an entry VM has requests on it or does not know")
{
    // A request that was assigned the VM just before may still wait for its claim. If the VM were
    // drained and lent meanwhile, the request would run in a pool of another service.
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

TEST_CASE("an arriving VM waits for an entry VM that reconnects with stale rows")
{
    // The entry VM sent no heartbeats while the VM was drained, so control did not wait for it, and
    // it still uses the VM in the spare pool. It reconnects just before the VM would start to serve
    // the borrower.
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

TEST_CASE("a borrowed VM is not returned while the budget for VMs out depends on it")
{
    // The operators end all lending while a wave has more VMs out than the pool alone allows. An
    // immediate return of the borrowed VMs would leave the service fewer VMs than it requires.
    World world;
    CallFaults none;
    world.fleet.services[0].availability = 1;
    world.maxOut = 0;
    world.startWave();
    for (int i = 0; i < 100 && world.out() == 0; ++i)
        world.steps(1);
    REQUIRE(world.out() > 0);
    world.fleet.lending.reset();
    for (int i = 0; i < 5; ++i)
        world.step(none, world.fence); // no platform tick: VMs that are out stay out
    CHECK(world.failure.empty());
    world.steps(150);
    CHECK(world.rows().empty());
    CHECK(world.failure.empty());
}

TEST_CASE("a lent VM that fails is returned, and the row of one that the document drops is deleted")
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

TEST_CASE("a permit that counts on a borrowed VM conflicts once that VM leaves")
{
    // A lease holder requested a permit that is delayed in the network. The next holder sees no VM
    // out and returns the borrowed VM. If the permit committed after that, the service would have
    // one VM fewer than it requires.
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

TEST_CASE("loans return when their wave halts, except those that its VMs depend on")
{
    World world;
    world.startWave();
    world.fleet.waves[0].haltAfter = 1;
    world.vms.failsAfterMaintenance = "p0";
    world.steps(60);
    // p0 is out and failing. The pool's own budget of two covers it, so every loan can return.
    CHECK(world.lent() == 0);
    CHECK(world.rows().size() == 1);
    CHECK(world.maxLent > 0);
    CHECK(world.failure.empty());
}
