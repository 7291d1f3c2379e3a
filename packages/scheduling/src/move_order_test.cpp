// Orders of events around moves of VMs between pools, tried one after the other on virtual time.
#include "../tests/move_order_world.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <random>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace sassafrasferry::scheduling::tests;

namespace {

constexpr std::array idOrders{IdOrder::Rising, IdOrder::Falling};

/// All faults at moments `step` ticks apart.
std::vector<MoveFaultAt> faultsEvery(int step)
{
    constexpr int lastTick = 90;
    std::vector<MoveFaultAt> result;
    for (const auto &row : enumNames(MoveFault{})) {
        for (int tick = 1; tick <= lastTick; tick += step) {
            const auto vms = strikesVm(row.value) ? MoveOrderWorld::vmCount : 1;
            for (std::size_t vm = 0; vm < vms; ++vm)
                result.push_back({row.value, tick, vm});
        }
    }
    return result;
}

/// The first broken promise, with the faults that led to it; empty: none.
std::string tryFaults(const std::vector<MoveFaultAt> &faults)
{
    for (const auto order : idOrders) {
        MoveOrderWorld world(faults, order);
        world.run();
        if (!world.violations().empty())
            return toString(faults) + (order == IdOrder::Rising ? "ids rise" : "ids fall") + " => "
                   + world.violations().front();
    }
    return {};
}

std::size_t numberFrom(const char *name, std::size_t usual)
{
    const auto *text = std::getenv(name);
    return text ? std::strtoul(text, nullptr, 10) : usual;
}

} // namespace

// Guards against a world in which no VM is moved, so that the tests below would try nothing.
TEST_CASE("demand that moves between pools moves VMs")
{
    MoveOrderWorld world({}, IdOrder::Rising);
    world.run();
    CHECK(world.violations().empty());
    CHECK(world.moves >= 8);
}

// Guards against second runs of a task, and starts after an end that counts as taken note of, where
// a fault strikes while VMs are moved.
TEST_CASE("no fault beside moves of VMs makes a task run twice")
{
    for (const auto &fault : faultsEvery(5))
        CHECK(tryFaults({fault}) == "");
}

// Guards against the same for the faults that change what a leader knows of a VM.
TEST_CASE("no two faults of what is known of VMs make a task run twice")
{
    std::vector<MoveFaultAt> first;
    std::vector<MoveFaultAt> second;
    for (const auto &fault : faultsEvery(22)) {
        const bool isOfList = fault.fault == MoveFault::VmListBehind
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

// By hand: FAULT_ORDERS=20000 FAULT_SEED=1 FAULT_COUNT=2 scheduling_test "[.moves]"
TEST_CASE("orders of some faults beside moves, drawn from a seed", "[.moves]")
{
    std::mt19937_64 random(numberFrom("FAULT_SEED", 1));
    const auto faults = faultsEvery(1);
    std::uniform_int_distribution<std::size_t> any(0, faults.size() - 1);
    for (auto left = numberFrom("FAULT_ORDERS", 20000); left > 0; --left) {
        std::vector<MoveFaultAt> drawn;
        for (auto count = numberFrom("FAULT_COUNT", 2); count > 0; --count)
            drawn.push_back(faults[any(random)]);
        CHECK(tryFaults(drawn) == "");
    }
}
