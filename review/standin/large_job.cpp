// One client hands in a job of thousands of checkpointing tasks among the small jobs of others.
// Without the trouble the same tasks come as thirty jobs.
#include "harness.h"

#include <cstdlib>
#include <iostream>

namespace {

using namespace review;

constexpr std::size_t largeTasks = 3600;
constexpr std::size_t parts = 30;
constexpr Milliseconds largeWork{9000};
constexpr int smallJobs = 150;
constexpr Milliseconds betweenSmall{200};
constexpr Milliseconds finish{14000}; // `finish_s`
constexpr Milliseconds stillness{4000};

Awaitable<int> play(Harness &world)
{
    if (!co_await world.begin())
        co_return 2;
    auto &context = world.context;
    const auto handIn = [&](const std::string &id) {
        asio::co_spawn(context, world.submit(id), asio::detached);
    };
    std::vector<std::string> small;
    std::vector<std::string> large;
    for (int i = 0; i < smallJobs; ++i) {
        if (i == 15) {
            const std::size_t count = world.options.trouble ? 1 : parts;
            for (std::size_t k = 0; k < count; ++k) {
                const auto &job =
                    world.newJob({{largeTasks / count, {50, 20}, largeWork, {}, true}}, "large");
                large.push_back(job.id);
                handIn(job.id);
            }
            world.record.line("sent " + std::to_string(count) + " jobs of "
                              + std::to_string(largeTasks / count) + " tasks");
        }
        const auto &job = world.newJob({{4, {500, 200}, Milliseconds(800), {}, false},
                                        {4, {500, 200}, Milliseconds(800), {0}, false}},
                                       "small");
        small.push_back(job.id);
        handIn(job.id);
        co_await wait(betweenSmall);
    }
    world.record.line("the traffic ends");
    co_await wait(finish);
    for (auto &entry : world.ledger.jobs) {
        entry.second.longestIdle = 0;
        entry.second.idleSince = -1;
    }
    co_await wait(stillness);
    std::size_t accepted = 0;
    std::size_t still = 0;
    std::size_t unfinished = 0;
    std::map<std::string, std::size_t> states;
    for (const auto &list : {small, large}) {
        for (const auto &id : list) {
            co_await world.ask(id);
            const auto &job = world.ledger.jobs.at(id);
            if (!job.accepted)
                continue;
            ++accepted;
            ++states[job.spec + " " + job.state];
            unfinished += job.state == "completed" ? 0 : 1;
            if (job.longestIdle >= 3.0) {
                ++still;
                world.record.line("LOST " + job.spec + " job " + id + " is " + job.state
                                  + " and has had nothing running for "
                                  + std::to_string(job.longestIdle)
                                  + " s while a task's turn has come");
            }
        }
    }
    std::size_t unacknowledged = 0;
    for (const auto &minion : world.minions)
        unacknowledged += minion->unacknowledged();
    for (const auto &state : states)
        world.record.line("jobs " + state.first + ": " + std::to_string(state.second));
    world.record.line("accepted " + std::to_string(accepted) + ", not completed "
                      + std::to_string(unfinished) + ", standing still " + std::to_string(still)
                      + "; runs started " + std::to_string(world.ledger.starts) + ", done "
                      + std::to_string(world.ledger.done) + ", ends not taken note of "
                      + std::to_string(unacknowledged) + "; largest row offered "
                      + std::to_string(world.store.largestRow) + " bytes, transactions refused "
                      + std::to_string(world.store.refusedRows));
    const bool isWhole = accepted >= static_cast<std::size_t>(smallJobs) / 2;
    co_return !isWhole ? 2 : still > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: large_job FOLDER PROGRAM\n";
        return 2;
    }
    const auto *trouble = std::getenv("TROUBLE");
    Harness world({argv[1], argv[2], !(trouble && std::string(trouble) == "0")}, 3, 8);
    const int code = world.run([&] { return play(world); });
    world.record.line("exit " + std::to_string(code));
    return code;
}
