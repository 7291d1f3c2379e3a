// Machines are added to a pool, and the operator asks for their upkeep at once.
#include "harness.h"

#include <cstdlib>
#include <iostream>

namespace {

using namespace review;

constexpr std::size_t minionCount = 10;
constexpr std::size_t addedCount = 2;
constexpr Milliseconds betweenJobs{250};
constexpr int jobsBefore = 32;
constexpr int jobsAfter = 60;

Awaitable<void> handIn(Harness &world, int count)
{
    for (int i = 0; i < count; ++i) {
        const auto id = world
                            .newJob({{4, {500, 200}, Milliseconds(800), {}, false},
                                     {4, {500, 200}, Milliseconds(800), {0}, false}})
                            .id;
        asio::co_spawn(world.context, world.submit(id), asio::detached);
        co_await wait(betweenJobs);
    }
}

Awaitable<int> play(Harness &world)
{
    std::vector<Minion *> ofWave;
    for (std::size_t i = minionCount - addedCount; i < minionCount; ++i) {
        ofWave.push_back(world.minions[i].get());
        world.minions[i]->isAdded = !world.options.trouble;
    }
    if (!co_await world.begin())
        co_return 2;
    co_await handIn(world, jobsBefore);
    auto names = Json::array();
    for (auto *minion : ofWave) {
        names.push_back(minion->machine);
        if (minion->isAdded)
            continue;
        minion->begin(minion->id);
        minion->isAdded = true;
        world.store.put("servers", minion->id, minion->entry());
        world.record.line("the machine " + minion->machine + " is added");
    }
    co_await wait(Milliseconds(200));
    world.store.put("op", "wave/1",
                    {{"wave", 1}, {"machines", names}, {"duration_s", 26}, {"cap", 1}});
    world.record.line("the operator asks for the upkeep of " + names.dump() + ", wave 1");
    asio::co_spawn(world.context, handIn(world, jobsAfter), asio::detached);
    constexpr int polls = 40000 / 20;
    bool isCompleted = false;
    std::size_t missing = 0;
    for (int i = 0; i < polls && !isCompleted; ++i) {
        co_await wait(Milliseconds(20));
        const auto status = world.store.valueOf("status", "wave/1");
        isCompleted = status.is_object() && status.value("state", "") == "completed";
    }
    if (!isCompleted) {
        world.record.line("the wave was not said to be completed within 40 s");
        co_return 2;
    }
    for (const auto *minion : ofWave)
        missing += minion->upkeeps.count(1) == 0 ? 1 : 0;
    world.record.line("status/wave/1 says completed; machines whose upkeep has not begun: "
                      + std::to_string(missing));
    if (missing > 0) {
        co_await wait(Milliseconds(20000));
        std::size_t never = 0;
        for (const auto *minion : ofWave)
            never += minion->upkeeps.count(1) == 0 ? 1 : 0;
        world.record.line("MIXED wave 1: 20 s later the upkeep of " + std::to_string(never)
                          + " machines has still not begun; all of them are up");
    }
    co_return missing > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: new_machines FOLDER PROGRAM\n";
        return 2;
    }
    const auto *trouble = std::getenv("TROUBLE");
    Harness world({argv[1], argv[2], !(trouble && std::string(trouble) == "0"), true}, 3,
                  minionCount);
    const int code = world.run([&] { return play(world); });
    world.record.line("exit " + std::to_string(code));
    return code;
}
