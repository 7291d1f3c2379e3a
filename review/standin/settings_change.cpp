// The settings files change while the entry VMs run, and one process is killed and starts with the
// new ones. Jobs are handed in there and cancelled at another entry VM.
#include "harness.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace review;

constexpr int jobCount = 24;
constexpr Milliseconds firstStep{6000};
constexpr Milliseconds secondStep{1000};
constexpr double cancelTime = 3.0; // `cancel_ms`
constexpr Milliseconds contact{4000}; // `contact_ms` and a second
constexpr int ratesBefore = 600;
constexpr int ratesAfter = 1200;

struct Cancellation
{
    std::string job;
    unsigned status = 0;
    double at = 0;
};

Awaitable<int> play(Harness &world)
{
    if (!co_await world.begin())
        co_return 2;
    co_await wait(Milliseconds(3000));
    const auto leader = world.leader();
    if (leader < 0)
        co_return 2;
    const std::size_t restarted = leader == 0 ? 1 : 0;
    std::size_t other = 0;
    while (other == restarted || other == static_cast<std::size_t>(leader))
        ++other;
    const int rate = world.options.trouble ? ratesAfter : ratesBefore;
    world.changeSettings(rate);
    world.record.line("the settings files say writesPerSecond = " + std::to_string(rate)
                      + "; SIGHUP to all");
    for (auto &entry : world.entries)
        entry->signal(SIGHUP);
    co_await wait(Milliseconds(1000));
    auto &process = *world.entries[restarted];
    process.signal(SIGKILL);
    process.reap();
    co_await wait(Milliseconds(500));
    process.start();
    world.record.line(process.name + " was killed and started; the leader is e"
                      + std::to_string(leader));
    co_await wait(contact);
    std::vector<Cancellation> cancellations;
    for (int i = 0; i < jobCount; ++i) {
        const auto id = world
                            .newJob({{2, {500, 200}, firstStep, {}, false},
                                     {2, {500, 200}, secondStep, {0}, false}})
                            .id;
        const auto accepted = co_await world.callEntry(restarted, beast::http::verb::post, id,
                                                       world.ledger.jobs.at(id).body().dump());
        world.ledger.jobs.at(id).accepted = accepted.status == 200;
        co_await wait(Milliseconds(500));
        const auto answer = co_await world.callEntry(other, beast::http::verb::delete_, id);
        cancellations.push_back({id, answer.status, world.record.seconds()});
        co_await world.callEntry(other, beast::http::verb::get, id);
    }
    co_await wait(firstStep + secondStep + Milliseconds(3000));
    int acknowledged = 0;
    int broken = 0;
    for (const auto &cancellation : cancellations) {
        const bool isAcknowledged = cancellation.status / 100 == 2 || cancellation.status == 410;
        if (!isAcknowledged || !world.ledger.jobs.at(cancellation.job).accepted)
            continue;
        ++acknowledged;
        const auto late = world.ledger.startsAfter(cancellation.job, cancellation.at + cancelTime);
        if (late == 0)
            continue;
        ++broken;
        const auto state =
            co_await world.callEntry(other, beast::http::verb::get, cancellation.job);
        world.record.line("UNASKED " + cancellation.job + ": DELETE was answered with "
                          + std::to_string(cancellation.status) + ", and " + std::to_string(late)
                          + " tasks were started over 3 s later; GET -> " + state.body);
    }
    world.record.line("accepted and cancelled " + std::to_string(acknowledged)
                      + ", started in spite of it " + std::to_string(broken));
    co_return acknowledged<jobCount / 2 ? 2 : broken> 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: settings_change FOLDER PROGRAM\n";
        return 2;
    }
    const auto *trouble = std::getenv("TROUBLE");
    Harness world({argv[1], argv[2], !(trouble && std::string(trouble) == "0"), true}, 3, 8);
    const int code = world.run([&] { return play(world); });
    world.record.line("exit " + std::to_string(code));
    return code;
}
