// The settings files change, and the entry VMs are stopped and started in turn, so that they take
// the new settings. Later the leader is killed.
#include "harness.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace review;

constexpr int earlierJobs = 1300;
constexpr int jobCount = 24;
constexpr int ratesBefore = 600;
constexpr int ratesAfter = 1200;

Awaitable<void> restart(Harness &world, std::size_t entry)
{
    auto &process = *world.entries[entry];
    world.record.line(process.name + " is stopped with SIGTERM; the leader is e"
                      + std::to_string(world.leader()));
    process.signal(SIGTERM);
    while (process.isAlive())
        co_await wait(Milliseconds(50));
    co_await wait(Milliseconds(300));
    process.start();
    world.record.line(process.name + " has been started again");
    co_await wait(Milliseconds(1300));
}

Awaitable<int> play(Harness &world)
{
    if (!co_await world.begin())
        co_return 2;
    // Ordinary jobs of one task, all done before the change.
    std::vector<std::string> earlier;
    for (int i = 0; i < earlierJobs; ++i) {
        earlier.push_back(world.newJob({{1, {200, 100}, Milliseconds(100), {}, false}}).id);
        asio::co_spawn(world.context, world.submit(earlier.back()), asio::detached);
        if (i % 10 == 9)
            co_await wait(Milliseconds(200));
    }
    co_await wait(Milliseconds(4000));
    world.record.line("ordinary jobs accepted, runs done: " + std::to_string(world.ledger.done));
    const int rate = world.options.trouble ? ratesAfter : ratesBefore;
    world.changeSettings(rate);
    world.record.line("the settings files say writesPerSecond = " + std::to_string(rate)
                      + "; SIGHUP to all");
    for (auto &entry : world.entries)
        entry->signal(SIGHUP);
    const auto leader = static_cast<std::size_t>(std::max(world.leader(), 0));
    const auto first = (leader + 1) % 3;
    const auto last = (leader + 2) % 3;
    co_await restart(world, first);
    std::vector<std::string> jobs;
    for (int i = 0; i < jobCount; ++i) {
        const auto id = world
                            .newJob({{2, {200, 100}, Milliseconds(500), {}, false},
                                     {1, {200, 100}, Milliseconds(14000), {0}, false},
                                     {1, {200, 100}, Milliseconds(40000), {0}, false}})
                            .id;
        jobs.push_back(id);
        auto &job = world.ledger.jobs.at(id);
        const auto answer =
            co_await world.callEntry(first, beast::http::verb::post, id, job.body().dump());
        job.accepted = answer.status == 200;
    }
    world.record.line("jobs handed in at e" + std::to_string(first));
    co_await wait(Milliseconds(2000));
    co_await restart(world, leader);
    co_await restart(world, last);
    co_await wait(Milliseconds(5000));
    const auto second = static_cast<std::size_t>(std::max(world.leader(), 0));
    world.record.line("the leader e" + std::to_string(second)
                      + " is killed; starts after an end that was taken note of so far: "
                      + std::to_string(world.ledger.afterDone)
                      + ", beside a run: " + std::to_string(world.ledger.besideRun));
    world.entries[second]->signal(SIGKILL);
    world.entries[second]->reap();
    co_await wait(Milliseconds(500));
    world.entries[second]->start();
    co_await wait(Milliseconds(14000));
    std::map<std::string, int> states;
    std::size_t accepted = 0;
    for (const auto &list : {earlier, jobs}) {
        for (const auto &id : list) {
            if (!world.ledger.jobs.at(id).accepted)
                continue;
            ++accepted;
            const auto answer = co_await world.callEntry(first, beast::http::verb::get, id);
            ++states[std::to_string(answer.status) + " " + answer.body];
        }
    }
    for (const auto &state : states)
        world.record.line("GET -> " + state.first + ": " + std::to_string(state.second));
    world.record.line("accepted " + std::to_string(accepted)
                      + ", starts after an end that was taken note of "
                      + std::to_string(world.ledger.afterDone) + ", beside a run "
                      + std::to_string(world.ledger.besideRun));
    if (accepted < jobCount)
        co_return 2;
    co_return world.ledger.afterDone + world.ledger.besideRun > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: settings_roll FOLDER PROGRAM\n";
        return 2;
    }
    const auto *trouble = std::getenv("TROUBLE");
    Harness world({argv[1], argv[2], !(trouble && std::string(trouble) == "0"), true}, 3, 8);
    const int code = world.run([&] { return play(world); });
    world.record.line("exit " + std::to_string(code));
    return code;
}
