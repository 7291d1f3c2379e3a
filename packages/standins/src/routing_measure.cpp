// measure-routing: measures the time of a routing decision, of the adoption of a new revision and
// of a tick, with 50, 200 and 720 workers. Starts no processes and opens no sockets.
#include <sassafrasferry/policy/dispatcher.h>

#include <chrono>
#include <cstdio>
#include <deque>

namespace {

using namespace sassafrasferry;
using namespace sassafrasferry::policy;

constexpr std::size_t workersPerPool = 10;

RoutingTable tableOf(std::size_t workers)
{
    RoutingTable table;
    table.revision = 1;
    for (std::size_t i = 0; i < workers; ++i) {
        if (i % workersPerPool == 0) {
            const auto pool = static_cast<Index>(table.pools.size());
            table.pools.push_back({"pool" + std::to_string(pool), false, {}});
            ServiceSpec service;
            service.name = "service" + std::to_string(pool);
            service.pool = pool;
            table.serviceIndex[service.name] = pool;
            table.services.push_back(service);
        }
        const auto index = static_cast<Index>(i);
        const auto name = "worker" + std::to_string(i);
        table.workers.push_back({name, {"127.0.0.1", 1}, "dc1", "r" + std::to_string(i / 4)});
        table.workerIndex[name] = index;
        table.pools.back().workers.push_back(index);
    }
    return table;
}

double nanosecondsOf(std::chrono::steady_clock::duration duration, std::size_t count)
{
    return std::chrono::duration<double, std::nano>(duration).count() / static_cast<double>(count);
}

// Submits and finishes requests with a constant number in flight; the cost of a decision includes
// both calls.
double decisionCost(Dispatcher &dispatcher, const RoutingTable &table)
{
    constexpr std::size_t decisions = 400000;
    const std::size_t inFlight = table.workers.size() / 2;
    std::deque<Grant> running;
    Submission request;
    request.deadline = Instant::max();
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < decisions; ++i) {
        const Instant now{std::chrono::microseconds(i)};
        request.id = RequestId{i};
        request.job = i;
        request.service = table.services[i % table.services.size()].name;
        auto admission = dispatcher.submit(request, now);
        if (auto *grant = std::get_if<Grant>(&admission))
            running.push_back(std::move(*grant));
        if (running.size() <= inFlight)
            continue;
        const auto &oldest = running.front();
        dispatcher.finish({oldest.worker, "service0", RunResult::Succeeded, oldest.reason,
                           std::chrono::milliseconds(100), 0},
                          now);
        running.pop_front();
    }
    return nanosecondsOf(std::chrono::steady_clock::now() - begin, decisions);
}

} // namespace

int main()
{
    std::printf("| workers | ns a decision | us a new revision | us a tick |\n|---|---|---|---|\n");
    std::vector<std::string> liveEntries;
    for (int i = 0; i < 7; ++i)
        liveEntries.push_back("e" + std::to_string(i));
    for (const std::size_t workers : {50U, 200U, 720U}) {
        const auto table = tableOf(workers);
        Dispatcher dispatcher({}, "e0", 1);
        dispatcher.setLive(liveEntries, Instant{});
        constexpr std::size_t revisions = 50;
        const auto begin = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < revisions; ++i)
            dispatcher.adopt(table, Instant{});
        const auto revision = nanosecondsOf(std::chrono::steady_clock::now() - begin, revisions);
        const auto decision = decisionCost(dispatcher, table);
        constexpr std::size_t ticks = 10000;
        const auto beginTicks = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < ticks; ++i)
            dispatcher.tick(Instant{});
        const auto tick = nanosecondsOf(std::chrono::steady_clock::now() - beginTicks, ticks);
        std::printf("| %zu | %.0f | %.0f | %.1f |\n", workers, decision, revision / 1000,
                    tick / 1000);
    }
    return 0;
}
