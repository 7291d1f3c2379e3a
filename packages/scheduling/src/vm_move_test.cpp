// Tries sequences of faults during moves of VMs between pools on virtual time.
#include "../tests/vm_move_simulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <random>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace sassafrasferry::scheduling::tests;

namespace {

constexpr std::array idOrders{IdOrder::Rising, IdOrder::Falling};

/// All faults but late VM orders, each at times `step` ticks apart.
std::vector<TimedMoveFault> faultsEvery(int step)
{
    constexpr int lastTick = 90;
    std::vector<TimedMoveFault> result;
    for (const auto &row : enumNames(MoveFault{})) {
        if (row.value == MoveFault::VmOrderLate)
            continue;
        for (int tick = 1; tick <= lastTick; tick += step) {
            const auto vms = targetsVm(row.value) ? VmMoveSimulation::vmCount : 1;
            for (std::size_t vm = 0; vm < vms; ++vm)
                result.push_back({row.value, tick, vm});
        }
    }
    return result;
}

/// The first violation with the faults that led to it; empty if there is none.
std::string tryFaults(const std::vector<TimedMoveFault> &faults)
{
    for (const auto order : idOrders) {
        VmMoveSimulation simulation(faults, order);
        simulation.run();
        if (!simulation.violations().empty())
            return toString(faults) + (order == IdOrder::Rising ? "ids rise" : "ids fall") + " => "
                   + simulation.violations().front();
    }
    return {};
}

std::size_t numberFrom(const char *name, std::size_t defaultValue)
{
    const auto *text = std::getenv(name);
    return text ? std::strtoul(text, nullptr, 10) : defaultValue;
}

} // namespace

// Guards against a simulation that moves no VM, in which the tests below would check nothing.
TEST_CASE("shifting demand moves VMs between pools")
{
    VmMoveSimulation simulation({}, IdOrder::Rising);
    simulation.run();
    CHECK(simulation.violations().empty());
    CHECK(simulation.moves >= 8);
}

// Guards against a second run of a task, and against a start after an end that the leader knows of,
// if a fault occurs while VMs are moved.
TEST_CASE("no single fault during VM moves makes a task run twice", "[move-faults]")
{
    for (const auto &fault : faultsEvery(5))
        CHECK(tryFaults({fault}) == "");
}

// Guards against the same failures after two faults that make a leader's view of a VM wrong.
TEST_CASE("no two faults in VM lists and VM orders make a task run twice", "[move-faults]")
{
    std::vector<TimedMoveFault> first;
    std::vector<TimedMoveFault> second;
    for (const auto &fault : faultsEvery(22)) {
        const bool isOfList = fault.fault == MoveFault::VmListStale
                              || fault.fault == MoveFault::VmOrderUnanswered
                              || fault.fault == MoveFault::VmOrderAnsweredLate;
        if (isOfList)
            first.push_back(fault);
        if (isOfList || fault.fault == MoveFault::EarlierEntryListed)
            second.push_back(fault);
    }
    for (const auto &a : first) {
        for (const auto &b : second)
            CHECK(tryFaults({a, b}) == "");
    }
}

// Guards against tasks that lose an attempt and their work, and services that lose replicas: the
// order of a lost leader is executed after a later leader has given the VM work.
TEST_CASE("an order of a former leader ends no run that a later leader started", "[late-vm-orders]")
{
    struct Case
    {
        MoveFault loss;
        int ticksToNextLoss; ///< 0: a single loss
    };
    const auto row = GENERATE(Case{MoveFault::LeaderDies, 0}, Case{MoveFault::LeaderCannotWrite, 0},
                              Case{MoveFault::AllRestart, 0}, Case{MoveFault::AllRestart, 9});
    constexpr int lastTick = 90;
    constexpr int tickStep = 2;
    constexpr int maxTicksToLoss = 26;
    constexpr int lossStep = 4;
    std::size_t executedLate = 0;
    for (int tick = 1; tick <= lastTick; tick += tickStep) {
        for (int lossTick = tick; lossTick <= tick + maxTicksToLoss; lossTick += lossStep) {
            std::vector<TimedMoveFault> faults{{MoveFault::VmOrderLate, tick, 0},
                                               {row.loss, lossTick, 0}};
            if (row.ticksToNextLoss > 0)
                faults.push_back({row.loss, lossTick + row.ticksToNextLoss, 0});
            for (const auto order : idOrders) {
                VmMoveSimulation simulation(faults, order);
                simulation.run();
                executedLate += simulation.ordersOfFormerLeaders;
                CAPTURE(toString(faults), order == IdOrder::Rising);
                CHECK(simulation.violations() == std::vector<std::string>{});
            }
        }
    }
    CHECK(executedLate > 0);
}

// Run manually: FAULT_ORDERS=20000 FAULT_SEED=1 FAULT_COUNT=2 scheduling_test "[.moves]"
TEST_CASE("no random sequence of faults during VM moves makes a task run twice", "[.moves]")
{
    std::mt19937_64 random(numberFrom("FAULT_SEED", 1));
    const auto faults = faultsEvery(1);
    std::uniform_int_distribution<std::size_t> index(0, faults.size() - 1);
    for (auto remaining = numberFrom("FAULT_ORDERS", 20000); remaining > 0; --remaining) {
        std::vector<TimedMoveFault> drawn;
        for (auto count = numberFrom("FAULT_COUNT", 2); count > 0; --count)
            drawn.push_back(faults[index(random)]);
        CHECK(tryFaults(drawn) == "");
    }
}
