// The leader is killed after three days of ordinary traffic: the store holds the rows of the jobs
// that were completed in the course of these days.
#include "harness.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <csignal>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace {

using namespace review;

constexpr double jobsPerSecond = 7.2 + 1.35 + 9 + 1.66; // SYSTEM.md, `bramblewick-prod`
constexpr int secondsOfDay = 86400;
constexpr int days = 3;
constexpr int firstJobs = 20;
constexpr int laterJobs = 40;
constexpr Milliseconds finish{14000}; // `finish_s`
constexpr Milliseconds stillness{4000};
constexpr std::int64_t memoryLimit = 260 * 1000; // kilobytes, `memory_mb`

// The rows of completed jobs stay as they are for good, so those of earlier jobs are copies of one
// that the program has just written, in the parts where it would have put them.
std::map<std::string, std::vector<std::string>> earlierKeys(std::size_t count,
                                                            std::mt19937_64 &random)
{
    constexpr std::uint64_t parts = 2;
    std::map<std::string, std::vector<std::string>> keys;
    for (std::size_t i = 0; i < count; ++i) {
        std::stringstream id;
        id << std::hex << std::setw(16) << std::setfill('0') << random();
        const auto key = id.str();
        const auto part = XXH3_64bits(key.data(), key.size()) % parts;
        keys["jobs-" + std::to_string(part)].push_back(key);
    }
    for (auto &part : keys)
        std::sort(part.second.begin(), part.second.end());
    return keys;
}

Awaitable<int> play(Harness &world)
{
    // Before the entry VMs start: it takes some seconds, in which the store would not answer.
    const auto count = static_cast<std::size_t>(jobsPerSecond * secondsOfDay * days);
    auto keys = earlierKeys(count, world.random);
    if (!co_await world.begin())
        co_return 2;
    const auto newJob = [&] {
        return world
            .newJob({{2, {500, 200}, Milliseconds(300), {}, false},
                     {2, {500, 200}, Milliseconds(300), {0}, false}})
            .id;
    };
    std::vector<std::string> first;
    for (int i = 0; i < firstJobs; ++i) {
        first.push_back(newJob());
        asio::co_spawn(world.context, world.submit(first.back()), asio::detached);
        co_await wait(Milliseconds(100));
    }
    co_await wait(Milliseconds(4000));
    const auto part = world.store.partOf("progress", first.front());
    co_await world.ask(first.front());
    if (part.empty() || world.ledger.jobs.at(first.front()).state != "completed")
        co_return 2;
    world.store.repeatRow("progress", part, first.front(), std::move(keys));
    world.record.line("the store holds the rows of " + std::to_string(count) + " completed jobs");
    co_await wait(Milliseconds(3000));
    const auto leader = static_cast<std::size_t>(std::max(world.leader(), 0));
    if (world.options.trouble) {
        world.record.line("the leader e" + std::to_string(leader) + " is killed");
        world.entries[leader]->signal(SIGKILL);
        world.entries[leader]->reap();
        co_await wait(Milliseconds(3000));
        world.entries[leader]->start();
    }
    std::vector<std::string> later;
    for (int i = 0; i < laterJobs; ++i) {
        later.push_back(newJob());
        asio::co_spawn(world.context, world.submit(later.back()), asio::detached);
        co_await wait(Milliseconds(100));
    }
    world.record.line("the traffic ends");
    co_await wait(finish);
    for (auto &entry : world.ledger.jobs) {
        entry.second.longestIdle = 0;
        entry.second.idleSince = -1;
    }
    co_await wait(stillness);
    std::map<std::string, std::size_t> states;
    std::size_t still = 0;
    std::size_t accepted = 0;
    for (const auto &id : later) {
        co_await world.ask(id);
        const auto &job = world.ledger.jobs.at(id);
        accepted += job.accepted ? 1 : 0;
        if (job.accepted)
            ++states[job.state];
        if (job.accepted && job.longestIdle >= 3.0) {
            ++still;
            world.record.line(
                "LOST " + id + " is " + job.state + " and has had nothing running for "
                + std::to_string(job.longestIdle) + " s while a task's turn has come");
        }
    }
    for (const auto &state : states)
        world.record.line("jobs after the kill, " + state.first + ": "
                          + std::to_string(state.second));
    for (const auto &entry : world.entries)
        world.record.line(entry->name + " uses " + std::to_string(entry->memory(false))
                          + " kB, at most " + std::to_string(entry->memory(true))
                          + " kB; the limit is " + std::to_string(memoryLimit) + " kB");
    world.record.line("accepted " + std::to_string(accepted) + ", standing still "
                      + std::to_string(still));
    co_return accepted<laterJobs / 2 ? 2 : still> 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: old_jobs FOLDER PROGRAM\n";
        return 2;
    }
    const auto *trouble = std::getenv("TROUBLE");
    Harness world({argv[1], argv[2], !(trouble && std::string(trouble) == "0")}, 3, 8);
    const int code = world.run([&] { return play(world); });
    world.record.line("exit " + std::to_string(code));
    return code;
}
