// Waves: what may go out, in what order, and when a wave waits or halts.
#include <sassafrasferry/policy/wave_planner.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::policy;
using namespace std::chrono_literals;
using State = WaveVmState;

namespace {

// `count` VMs, `perRack` to a rack, two racks to a data centre.
WavePool pool(std::size_t count, std::size_t perRack, double availability)
{
    WavePool result;
    result.name = "p";
    result.availability = availability;
    for (std::size_t i = 0; i < count; ++i) {
        const auto rack = i / perRack;
        result.vms.push_back({"w" + std::to_string(100 + i), "dc" + std::to_string(rack / 2),
                              "r" + std::to_string(rack), State::Pending});
    }
    return result;
}

struct BudgetCase
{
    std::size_t members;
    double availability;
    std::size_t borrowed;
    std::size_t mayBeOut;
};

struct StepCase
{
    std::string title;
    WavePool pool;
    std::vector<State> states; // of the first VMs
    WaveVerdict verdict;
    std::size_t drained;
};

} // namespace

TEST_CASE("how many VMs may be out")
{
    const auto row = GENERATE(values<BudgetCase>({
        {10, 0.9, 0, 1},
        {10, 0.75, 0, 2},
        {8, 0.75, 0, 2},
        {12, 0.5, 0, 6},
        {10, 1.0, 0, 0},
        {10, 1.0, 2, 2},
        {10, 0.0, 0, 10},
    }));
    CHECK(budgetOf(row.members, row.availability, row.borrowed).mayBeOut() == row.mayBeOut);
}

TEST_CASE("the next step of a wave")
{
    // The service falls below its budget if a wave takes VMs out while others fail, or while a
    // rack is lost; the planner counts both before it lets a VM go.
    const auto row = GENERATE(values<StepCase>({
        {"budget of one", pool(10, 4, 0.9), {}, WaveVerdict::Drain, 1},
        {"budget smaller than a rack", pool(10, 4, 0.75), {}, WaveVerdict::Drain, 1},
        {"room for a rack", pool(12, 2, 0.5), {}, WaveVerdict::Drain, 4},
        {"one out already", pool(10, 4, 0.9), {State::Draining}, WaveVerdict::Wait, 0},
        {"one failed", pool(10, 4, 0.9), {State::Failed}, WaveVerdict::Wait, 0},
        {"one failed, room for a rack", pool(12, 2, 0.5), {State::Failed}, WaveVerdict::Drain, 3},
        {"one came back failing", pool(10, 4, 0.75), {State::BackFailing}, WaveVerdict::Drain, 1},
        {"two came back failing",
         pool(10, 4, 0.5),
         {State::BackFailing, State::BackFailing},
         WaveVerdict::Halted,
         0},
        {"nothing may be out", pool(10, 4, 1.0), {}, WaveVerdict::NeedsSpare, 0},
        {"all done", pool(2, 1, 0.5), {State::Done, State::Done}, WaveVerdict::Finished, 0},
        {"last one out",
         pool(2, 1, 0.5),
         {State::Done, State::InMaintenance},
         WaveVerdict::Wait,
         0},
    }));
    INFO(row.title);
    auto state = row.pool;
    for (std::size_t i = 0; i < row.states.size(); ++i)
        state.vms[i].state = row.states[i];
    const auto step = planWave(state);
    CHECK(step.verdict == row.verdict);
    CHECK(step.drain.size() == row.drained);
    CHECK_FALSE(step.reason.empty());
}

TEST_CASE("VMs that are out together share a rack as far as they can")
{
    auto state = pool(16, 4, 0.5);
    const auto first = planWave(state).drain;
    REQUIRE(first.size() == 4);
    CHECK(first == std::vector<std::string>{"w100", "w101", "w102", "w103"});
}

TEST_CASE("whatever fails during a wave, planned drains never pass the budget")
{
    // Random failures, returns and recoveries; after each step the VMs that the wave took out,
    // with those that had failed when it did, are within the budget.
    const auto seed = GENERATE(range(0U, 50U));
    std::minstd_rand random(seed + 1);
    auto state = pool(8 + seed % 5, 1 + seed % 4, 0.5 + 0.1 * (seed % 5));
    const auto limit = budgetOf(state.vms.size(), state.availability, 0).mayBeOut();
    for (int i = 0; i < 200; ++i) {
        const auto step = planWave(state);
        for (auto &vm : state.vms) {
            if (std::find(step.drain.begin(), step.drain.end(), vm.name) != step.drain.end())
                vm.state = State::Draining;
        }
        std::size_t out = 0;
        for (const auto &vm : state.vms)
            out += vm.state != State::Pending && vm.state != State::Done ? 1 : 0;
        if (!step.drain.empty())
            CHECK(out <= limit);
        auto &vm = state.vms[random() % state.vms.size()];
        const State next[] = {State::Failed, State::InMaintenance, State::Done};
        if (vm.state == State::Pending && random() % 4 == 0)
            vm.state = State::Failed;
        else if (vm.state != State::Pending && vm.state != State::Done)
            vm.state = next[random() % 3];
    }
}

TEST_CASE("what a deployment pays for decides how many VMs it borrows")
{
    const auto budget = budgetOf(10, 0.9, 0);
    CHECK(chooseBorrowed(budget, 6, 1h, {1, 10, 1}) == 0); // idle VMs are dear
    CHECK(chooseBorrowed(budget, 6, 1h, {10, 1, 0.1}) > 2); // time is dear
    CHECK(chooseBorrowed(budgetOf(10, 1.0, 0), 6, 1h, {1, 10, 1})
          == 2); // 5 h + 10 x 10 h + 4 moves
}
