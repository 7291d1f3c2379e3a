// Tests waves under faults: the holder of the control lease meets a fault at every call that
// changes state. The wave must still finish, with every VM maintained exactly once and only while
// empty, and with the budget for VMs out never exceeded.
#include "../tests/fleet_world.h"

#include <sassafrasferry/fakes/run.h>

#include <catch2/catch.hpp>

#include <iostream>

using namespace sassafrasferry;
using namespace sassafrasferry::fleet;

namespace {

constexpr std::size_t poolSize = 8;
constexpr int maxSteps = 200;

model::Document document()
{
    model::Document result;
    result.revision = 1;
    model::Pool pool{"p", "s", false, {}};
    for (std::size_t i = 0; i < poolSize; ++i) {
        model::Vm vm;
        vm.name = "w" + std::to_string(i);
        vm.dataCentre = "dc" + std::to_string(i / 4);
        vm.rack = "r" + std::to_string(i / 2);
        pool.vms.push_back(vm);
    }
    result.pools.push_back(pool);
    model::Service service;
    service.name = "x";
    service.pool = "p";
    service.availability = 0.5; // four of eight may be out
    result.services.push_back(service);
    model::Wave wave;
    wave.name = "weekly";
    wave.pools = {"p"};
    result.waves.push_back(wave);
    return result;
}

// Simulates a fleet with one wave and checks the invariants after every step.
class Run
{
public:
    using Runner = WaveRunner<FaultyTables, FaultyVms>;

    Run()
    {
        for (const auto &vm : this->fleet.pools[0].vms)
            this->vms.vms[vm.name] = {};
        this->tables.commitNow({{}, {{waveKey("weekly"), toJson(WaveRow{})}}, {}});
        this->takeOver();
    }

    // Another process takes over the lease, which changes the fence.
    void takeOver()
    {
        this->fence = takeLease(this->tables, this->epoch);
    }

    // Runs a step of a process that believes it holds the lease with this fence.
    void step(CallFaults &faults, store::Condition stepFence)
    {
        FaultyTables faultyTables{this->tables, faults};
        FaultyVms faultyVms{this->vms, faults};
        Runner runner(faultyTables, faultyVms, [](const FleetDecision &) {});
        const FleetView view{this->fleet, this->failed, 1, ++this->now};
        boost::asio::io_context context(1);
        (void)fakes::run(context, runner.step(view, stepFence));
        this->check();
    }

    void pass()
    {
        this->vms.tick();
    }

    bool isFinished() const
    {
        return this->wave()->state == WaveState::Finished;
    }

    // Runs the wave to its end; `faults` hit the first process. Returns the first violated
    // invariant, or an empty string.
    std::string finish(CallFaults &faults)
    {
        faults.whilePaused = [&] {
            CallFaults none;
            this->takeOver();
            for (int i = 0; i < 5; ++i) {
                this->step(none, this->fence);
                this->vms.tick();
            }
        };
        runToEnd(*this, faults, maxSteps);
        if (this->failure.empty() && !this->isFinished())
            this->failure = "the wave does not finish";
        for (const auto &[name, vm] : this->vms.vms) {
            if (this->failure.empty() && vm.maintained != 1)
                this->failure =
                    name + " was maintained " + std::to_string(vm.maintained) + " times";
            if (this->failure.empty() && vm.maintainedWhileServing)
                this->failure = name + " was maintained while it served";
        }
        return this->failure;
    }

    std::optional<WaveRow> wave() const
    {
        const auto rows = this->tables.readNow({waveKey("weekly")});
        return *waveFrom(rows.at(0));
    }

    std::size_t out() const
    {
        return this->tables.scanNow({"vms", ""}).size();
    }

    fakes::MemoryTables tables;
    FakeVms vms;
    std::set<std::string> failed;
    model::Document fleet = document();
    store::Condition fence;

private:
    void check()
    {
        constexpr std::size_t limit = 4;
        if (this->failure.empty() && this->out() + this->failed.size() > limit)
            this->failure = std::to_string(this->out()) + " VMs out";
        const auto budgets = this->tables.scanNow({"budgets", ""});
        const auto inBudget = budgets.empty() ? 0 : budgetFrom(budgets[0])->out.size();
        if (this->failure.empty() && inBudget != this->out())
            this->failure = "the budget row and the VM rows differ";
    }

    std::int64_t epoch = 0;
    std::int64_t now = 0;
    std::string failure;
};

std::size_t countWaveCalls()
{
    Run run;
    CallFaults faults;
    CHECK(run.finish(faults).empty());
    return faults.calls;
}

} // namespace

TEST_CASE("a wave withstands every single and double fault at every call")
{
    const auto calls = countWaveCalls();
    const auto sweep = sweepFaults(calls, 4, [](CallFaults &faults) {
        Run run;
        return run.finish(faults);
    });
    std::cout << "wave matrix: " << enumNames(CallFault{}).size() << " faults x " << calls
              << " calls, once and twice: " << sweep.runs << " runs, " << sweep.violations
              << " violations\n";
    INFO(sweep.first);
    CHECK(sweep.violations == 0);
}

TEST_CASE("two processes that both believe they hold the lease cannot exceed the budget")
{
    // Both plan from the same rows and request permits in turn. The version of the budget row lets
    // only one of two racing permits commit. The fence, which would stop the older process, is the
    // same for both here.
    Run run;
    CallFaults none;
    CallFaults racing;
    racing.faultOf = [](std::size_t) {
        return CallFault::HolderPaused;
    };
    bool isInside = false;
    racing.whilePaused = [&] {
        if (std::exchange(isInside, true))
            return;
        run.step(none, run.fence); // same fence, to bypass the protection by the lease
        isInside = false;
    };
    for (int i = 0; i < 20; ++i) {
        run.step(racing, run.fence);
        run.vms.tick();
    }
    CHECK(run.finish(none).empty());
}

TEST_CASE("a wave waits while other VMs have failed, and halts when VMs fail after maintenance")
{
    Run run;
    run.failed = {"w4", "w5", "w6", "w7"};
    CallFaults none;
    run.step(none, run.fence);
    CHECK(run.out() == 0);
    CHECK_THAT(run.wave()->reason, Catch::Contains("4 of 4"));
    run.failed.clear();
    run.fleet.waves[0].haltAfter = 1;
    run.vms.failsAfterMaintenance = "w0";
    for (int i = 0; i < 20; ++i) {
        run.step(none, run.fence);
        run.vms.tick();
    }
    CHECK(run.wave()->state == WaveState::Halted);
    CHECK_THAT(run.wave()->reason, Catch::Contains("came back failing"));
}

TEST_CASE("the checks detect a platform that accepts stale orders")
{
    // A lease holder is paused before its maintain order. The next holder has the VM maintained;
    // then the first resumes and sends its order, which would reboot the VM with requests in
    // flight.
    std::size_t violations = 0;
    const auto calls = countWaveCalls();
    for (std::size_t call = 0; call < calls; ++call) {
        Run run;
        run.vms.acceptsStaleOrders = true;
        CallFaults faults;
        faults.faultOf = [&](std::size_t number) {
            return number == call ? CallFault::HolderPaused : CallFault::None;
        };
        violations += run.finish(faults).empty() ? 0 : 1;
    }
    std::cout << "wave matrix without fenced orders: " << violations << " of " << calls
              << " runs violate\n";
    CHECK(violations > 0);
}

TEST_CASE("a move drains first, and waits until every entry VM knows of it")
{
    // Requests in flight on w0 belong to the old pool, and an entry VM that has not adopted the
    // change still sends to w0 there. w0 may serve in the new pool only after both have ended.
    Run run;
    VmRow move;
    move.name = "w0";
    move.pool = "p";
    move.target = "q";
    move.order = 1;
    move.revision = 2;
    run.tables.commitNow({{}, {{vmKey("w0"), toJson(move)}}, {}});
    run.tables.commitNow({{}, {}, {waveKey("weekly")}});
    CallFaults faults;
    FaultyTables tables{run.tables, faults};
    FaultyVms vms{run.vms, faults};
    WaveRunner<FaultyTables, FaultyVms> runner(tables, vms, [](const FleetDecision &) {});
    const auto step = [&](std::int64_t minEntryRevision) {
        const FleetView view{run.fleet, {}, minEntryRevision, 5};
        boost::asio::io_context context(1);
        (void)fakes::run(context, runner.step(view, run.fence));
        run.vms.tick();
    };
    for (int i = 0; i < 5; ++i)
        step(1);
    CHECK(run.vms.vms["w0"].report.phase == VmPhase::Empty);
    CHECK(run.out() == 1);
    for (int i = 0; i < 3; ++i)
        step(2);
    CHECK(run.vms.vms["w0"].report.phase == VmPhase::Serving);
    CHECK(run.out() == 0);
}

TEST_CASE("a process without the lease changes nothing")
{
    // A process resumes after a pause in which another one took over the lease, and carries out its
    // old decisions.
    Run run;
    const auto old = run.fence;
    run.takeOver();
    CallFaults none;
    for (int i = 0; i < 3; ++i)
        run.step(none, old);
    CHECK(run.out() == 0);
    run.step(none, run.fence);
    CHECK(run.out() == 2); // the rest of the budget is reserved for a rack of two
}

TEST_CASE("of two permits based on the same budget row only one commits")
{
    // Two processes have read that one more VM may go out, and each chose a different VM. If both
    // permits committed, the service would lose two VMs.
    fakes::MemoryTables tables;
    const auto key = store::LeaseKeeper<fakes::MemoryTables>::epochKey();
    const store::Condition fence{key, tables.commitNow({{}, {{key, Json::object()}}, {}}).version};
    FleetStore<fakes::MemoryTables> store(tables);
    boost::asio::io_context context(1);
    const auto permit = [&](const std::string &name) {
        VmRow vm;
        vm.name = name;
        vm.pool = "p";
        const BudgetRow asRead{"p", {}, {}, store::absent};
        return fakes::run(context, store.permit(vm, asRead, fence)).state;
    };
    CHECK(permit("w0") == store::CommitState::Committed);
    CHECK(permit("w1") == store::CommitState::Conflict);
    CHECK(tables.scanNow({"vms", ""}).size() == 1);
}
