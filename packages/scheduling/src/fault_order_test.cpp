// Orders of events around restarts, takeovers and lost answers, tried one after the other on
// virtual time.
#include "../tests/fault_order_world.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <random>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace sassafrasferry::scheduling::tests;

namespace {

/// The moments and VMs at which a fault is tried.
struct Sweep
{
    int step = 1; ///< ticks between two moments
    int last = 70; ///< tick

    std::vector<FaultAt> of(OrderFault fault) const
    {
        std::vector<FaultAt> result;
        for (int tick = 1; tick <= this->last; tick += this->step) {
            for (std::size_t vm = 0; vm < (strikesVm(fault) ? FaultOrderWorld::vmCount : 1); ++vm)
                result.push_back({fault, tick, vm});
        }
        return result;
    }

    std::vector<FaultAt> ofAll() const
    {
        std::vector<FaultAt> result;
        for (const auto &row : enumNames(OrderFault{})) {
            const auto each = this->of(row.value);
            result.insert(result.end(), each.begin(), each.end());
        }
        return result;
    }
};

/// The first broken promise, with the faults that led to it; empty: none.
std::string tryFaults(const std::vector<FaultAt> &faults)
{
    FaultOrderWorld world(faults);
    world.run();
    return world.violations().empty() ? std::string()
                                      : toString(faults) + "=> " + world.violations().front();
}

std::string tryPairs(const std::vector<FaultAt> &first, const std::vector<FaultAt> &second)
{
    for (const auto &a : first) {
        for (const auto &b : second) {
            auto broken = tryFaults({a, b});
            if (!broken.empty())
                return broken;
        }
    }
    return {};
}

} // namespace

// Guards against second runs of a task, lasting tasks ended beyond what may be unavailable, and VMs
// that are lost to the leader, each found by one of these pairs of faults.
TEST_CASE("no order of two faults breaks a promise")
{
    struct Case
    {
        const char *name;
        OrderFault first;
        OrderFault second;
        Sweep sweep;
    };
    const std::vector<Case> cases{
        {"a worker restarts before its entry tells so",
         OrderFault::WorkerRestartsUnnoticed,
         OrderFault::WorkerRestartsUnnoticed,
         {8, 70}},
        {"a start is late and its worker restarts",
         OrderFault::StartLate,
         OrderFault::WorkerRestarts,
         {2, 50}},
        {"a worker restarts and is cut off",
         OrderFault::WorkerRestarts,
         OrderFault::WorkerCut,
         {4, 50}},
        {"a new leader is busy when it has heard of runs",
         OrderFault::LeaderDies,
         OrderFault::HoldsDelayed,
         {1, 25}},
        {"a worker that a new leader can't ask is cut off",
         OrderFault::LeaderDies,
         OrderFault::WorkerCut,
         {2, 25}},
        {"orders about VMs get no answer",
         OrderFault::VmOrderUnanswered,
         OrderFault::VmOrderUnanswered,
         {1, 30}},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        CHECK(tryPairs(row.sweep.of(row.first), row.sweep.of(row.second)) == "");
    }
}

// Guards against pairs of faults that no row above names, at moments 1.7 s apart.
TEST_CASE("a sweep over all kinds of two faults breaks no promise")
{
    const auto faults = Sweep{17, 70}.ofAll();
    CHECK(tryPairs(faults, faults) == "");
}

// By hand: FAULT_ORDERS=60000 FAULT_SEED=1 scheduling_test "[.hand]"
TEST_CASE("orders of three faults, drawn from a seed", "[.hand]")
{
    const auto numberFrom = [](const char *name, unsigned long usual) {
        const auto *text = std::getenv(name);
        return text ? std::strtoul(text, nullptr, 10) : usual;
    };
    std::mt19937_64 random(numberFrom("FAULT_SEED", 1));
    const auto faults = Sweep{}.ofAll();
    std::uniform_int_distribution<std::size_t> any(0, faults.size() - 1);
    for (auto left = numberFrom("FAULT_ORDERS", 60000); left > 0; --left) {
        const std::vector<FaultAt> drawn{faults[any(random)], faults[any(random)],
                                         faults[any(random)]};
        CHECK(tryFaults(drawn) == "");
    }
}
