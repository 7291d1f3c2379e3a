// Waves under failure: a fault at every call that changes something, by the process that holds the
// control lease. After each, the wave must finish with every VM maintained exactly once, each
// only when it was empty, and never more VMs out than the budget allows.
#include "../tests/fleet_world.h"

#include <sassafrasferry/fakes/run.h>

#include <catch2/catch.hpp>

#include <iostream>

using namespace sassafrasferry;
using namespace sassafrasferry::fleet;

namespace {

constexpr std::size_t poolSize = 8;
constexpr int mostSteps = 200;

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

// Runs a wave to its end; the first violated promise, or an empty string.
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

    // Another process takes the lease: the fence changes.
    void takeOver()
    {
        this->fence = takeLease(this->tables, this->epoch);
    }

    // One step of a process that believes to hold the lease with this fence.
    void step(CallFaults &faults, store::Condition stepFence)
    {
        FaultyTables tablesSeen{this->tables, faults};
        FaultyVms vmsSeen{this->vms, faults};
        Runner runner(tablesSeen, vmsSeen, [](const FleetDecision &) {});
        const FleetView view{this->fleet, this->failed, 1, ++this->now};
        boost::asio::io_context context(1);
        (void)fakes::run(context, runner.step(view, stepFence));
        this->check();
    }

    void pass()
    {
        this->vms.tick();
    }

    bool isOver() const
    {
        return this->wave()->state == WaveState::Finished;
    }

    // The wave to its end, with the faults of the first process.
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
        carryThrough(*this, faults, mostSteps);
        if (this->failure.empty() && !this->isOver())
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

std::size_t callsOfAWave()
{
    Run run;
    CallFaults faults;
    CHECK(run.finish(faults).empty());
    return faults.calls;
}

} // namespace

TEST_CASE("every fault at every call of a wave, and twice")
{
    const auto calls = callsOfAWave();
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

TEST_CASE("two processes that both believe to hold the lease cannot overdraw the budget")
{
    // Each plans from the same rows and asks for permits in turn. The budget row's version lets one
    // of two racing permits pass, and the fence stops the older process altogether.
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
        run.step(none, run.fence); // the same fence: the lease's own safeguard taken out
        isInside = false;
    };
    for (int i = 0; i < 20; ++i) {
        run.step(racing, run.fence);
        run.vms.tick();
    }
    CHECK(run.finish(none).empty());
}

TEST_CASE("a wave waits while others have failed, and halts when VMs come back failing")
{
    Run run;
    run.failed = {"w4", "w5", "w6", "w7"};
    CallFaults none;
    run.step(none, run.fence);
    CHECK(run.out() == 0);
    CHECK_THAT(run.wave()->reason, Catch::Contains("4 of 4"));
    run.failed.clear();
    run.fleet.waves[0].haltAfter = 1;
    run.vms.failsAfterwards = "w0";
    for (int i = 0; i < 20; ++i) {
        run.step(none, run.fence);
        run.vms.tick();
    }
    CHECK(run.wave()->state == WaveState::Halted);
    CHECK_THAT(run.wave()->reason, Catch::Contains("came back failing"));
}

TEST_CASE("the checks notice a platform that obeys old orders")
{
    // A holder is paused before its maintain order, another one has the VM maintained, the first
    // one wakes and gives its order: the VM would be rebooted with requests in flight.
    std::size_t violations = 0;
    const auto calls = callsOfAWave();
    for (std::size_t call = 0; call < calls; ++call) {
        Run run;
        run.vms.obeysOldOrders = true;
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
    // A request in flight on w0 runs on in the old pool, and an entry VM that has not adopted the
    // change would still send to w0 there. Only then may it serve in the new pool.
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
    const auto step = [&](std::int64_t revisionEverywhere) {
        const FleetView view{run.fleet, {}, revisionEverywhere, 5};
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
    // It was paused, another one took the lease over, and it goes on with what it had decided.
    Run run;
    const auto old = run.fence;
    run.takeOver();
    CallFaults none;
    for (int i = 0; i < 3; ++i)
        run.step(none, old);
    CHECK(run.out() == 0);
    run.step(none, run.fence);
    CHECK(run.out() == 2); // the rest of the budget is kept for a rack of two
}

TEST_CASE("of two permits that rest on the same budget row one passes")
{
    // Two processes have read that one more VM may go out, and each has chosen another one. Callers
    // of the service would find two gone.
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
