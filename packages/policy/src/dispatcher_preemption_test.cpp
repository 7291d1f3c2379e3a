// Urgent requests that wait behind long background runs, on a virtual clock.
#include <sassafrasferry/policy/dispatcher.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::policy;
using namespace std::chrono_literals;
using model::RequestClass;

namespace {

const Instant start{};
constexpr auto patience = 2s;
constexpr std::uint64_t backgroundRuns = 8; // as many as the one worker has slots

// One pool of one worker with a simulation service, which runs for minutes, and a review service.
RoutingTable table(bool idempotent)
{
    RoutingTable result;
    result.revision = 1;
    result.pools = {{"main", false, {0}}};
    result.workers.push_back({"w1", {"127.0.0.1", 1}, "dc1", "r1"});
    result.workerIndex["w1"] = 0;
    for (const auto *name : {"simulation", "review"}) {
        ServiceSpec service;
        service.name = name;
        service.pool = 0;
        service.idempotent = idempotent;
        result.serviceIndex[name] = static_cast<Index>(result.services.size());
        result.services.push_back(service);
    }
    return result;
}

Submission requestOf(const char *service, std::uint64_t id, RequestClass requestClass)
{
    Submission submission;
    submission.id = RequestId{id};
    submission.service = service;
    submission.requestClass = requestClass;
    submission.deadline = start + 1h;
    submission.job = id;
    return submission;
}

// An entry VM whose pool is full of background runs, the last of them the youngest.
Dispatcher fullOfBackground(std::chrono::milliseconds urgentPatience, bool idempotent,
                            int preemptions)
{
    model::RoutingSettings settings;
    settings.policy = model::RoutingPolicy::Loans;
    settings.urgentPatience = urgentPatience;
    Dispatcher dispatcher(settings, "a", 1);
    dispatcher.adopt(table(idempotent), start);
    for (std::uint64_t id = 1; id <= backgroundRuns; ++id) {
        auto request = requestOf("simulation", id, RequestClass::Background);
        request.preemptions = preemptions;
        const auto at = start + std::chrono::milliseconds(id);
        REQUIRE(std::holds_alternative<Grant>(dispatcher.submit(request, at)));
    }
    return dispatcher;
}

RunReport stopped(RequestId id)
{
    RunReport report;
    report.worker = 0;
    report.service = "simulation";
    report.result = RunResult::Cancelled;
    report.id = id;
    return report;
}

struct Case
{
    std::string title;
    std::chrono::milliseconds urgentPatience;
    bool idempotent;
    int preemptions; // that the background runs have behind them
    Duration waited;
    std::size_t expected; // runs that are stopped for two urgent requests
};

} // namespace

TEST_CASE("which background runs give way to urgent requests")
{
    // A caller's urgent review waits in a pool whose slots are all held by simulations of minutes.
    // Nothing ends by itself in time, so it would be refused at its deadline. Runs that may not be
    // repeated go on; so do those that were stopped twice, or background work would starve.
    const auto row = GENERATE(values<Case>({
        {"overdue", patience, true, 0, patience, 2},
        {"not yet overdue", patience, true, 0, patience - 1ms, 0},
        {"stopped once before", patience, true, 1, patience, 2},
        {"stopped twice before", patience, true, 2, patience, 0},
        {"not idempotent", patience, false, 0, patience, 0},
        {"switched off", 0ms, true, 0, 1min, 0},
    }));
    INFO(row.title);
    auto dispatcher = fullOfBackground(row.urgentPatience, row.idempotent, row.preemptions);
    const auto arrival = start + 10s;
    for (const std::uint64_t id : {101, 102})
        dispatcher.submit(requestOf("review", id, RequestClass::Urgent), arrival);
    CHECK(dispatcher.tick(arrival + row.waited).preempted.size() == row.expected);
}

TEST_CASE("one run is stopped for one urgent request, the youngest, and its slot goes to it")
{
    // The stop takes a while to reach the worker. Were one more run stopped at each tick until
    // then, a single urgent request would empty the pool.
    auto dispatcher = fullOfBackground(patience, true, 0);
    const auto arrival = start + 10s;
    dispatcher.submit(requestOf("review", 101, RequestClass::Urgent), arrival);
    const auto first = dispatcher.tick(arrival + patience);
    REQUIRE(first.preempted.size() == 1);
    CHECK(first.preempted[0] == RequestId{backgroundRuns});
    CHECK(dispatcher.tick(arrival + patience + 20ms).preempted.empty());
    const auto changes = dispatcher.finish(stopped(first.preempted[0]), arrival + patience + 40ms);
    REQUIRE(changes.grants.size() == 1);
    CHECK(changes.grants[0].id == RequestId{101});
    CHECK(dispatcher.tick(arrival + patience + 60ms).preempted.empty());
}

TEST_CASE("an entry VM lends the slots of background runs to a peer's urgent requests")
{
    // The urgent request came through an entry VM that has no background run of its own; the peer
    // that has them is asked, and its stopped request may not take its slot back before the peer.
    auto lender = fullOfBackground(patience, true, 0);
    const LoanWish idleOnly{"main", 1, 0};
    CHECK(lender.lend(idleOnly, start + 10s).loan.items.empty());
    const LoanWish urgent{"main", 1, 1};
    const auto lending = lender.lend(urgent, start + 10s);
    REQUIRE(lending.loan.items.size() == 1);
    REQUIRE(lending.changes.preempted.size() == 1);
    const auto id = lending.changes.preempted[0];
    CHECK(lender.finish(stopped(id), start + 10s).grants.empty());
    auto again = requestOf("simulation", 201, RequestClass::Background);
    again.isRetry = true;
    CHECK(std::holds_alternative<Queued>(lender.submit(again, start + 10s)));
}

TEST_CASE("an entry VM with urgent requests of its own stops no run for a peer")
{
    auto lender = fullOfBackground(patience, true, 0);
    lender.submit(requestOf("review", 101, RequestClass::Urgent), start + 10s);
    CHECK(lender.lend({"main", 1, 1}, start + 10s).changes.preempted.empty());
}
