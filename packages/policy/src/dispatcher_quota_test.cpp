// Teams' quotas in one dispatcher, and lent between two, on a virtual clock.
#include <sassafrasferry/policy/dispatcher.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::policy;
using namespace std::chrono_literals;

namespace {

const Instant start{};
constexpr std::uint32_t slotProcessors = 4;

// Two workers of 8 slots. `quota` is that of the team "billing", which has the service "invoice";
// the service "quote" in the same pool is of a team without one.
RoutingTable table(std::uint32_t quota)
{
    RoutingTable result;
    result.revision = 1;
    result.pools = {{"main", false, {0, 1}}};
    for (const auto *name : {"w1", "w2"}) {
        WorkerSpec worker;
        worker.name = name;
        worker.rack = name;
        worker.slotProcessors = slotProcessors;
        result.workerIndex[name] = static_cast<Index>(result.workers.size());
        result.workers.push_back(worker);
    }
    result.teams = {{"billing", quota, slotProcessors}, {"sales", 0, slotProcessors}};
    for (const auto *name : {"invoice", "quote"}) {
        ServiceSpec service;
        service.name = name;
        service.pool = 0;
        service.team = static_cast<Index>(result.services.size());
        result.serviceIndex[name] = static_cast<Index>(result.services.size());
        result.services.push_back(service);
    }
    return result;
}

Dispatcher dispatcherOf(const std::string &entry, const std::vector<std::string> &live,
                        std::uint32_t quota)
{
    model::RoutingSettings settings;
    settings.policy = model::RoutingPolicy::Loans;
    Dispatcher dispatcher(settings, entry, 1);
    dispatcher.adopt(table(quota), start);
    dispatcher.setLive(live, start);
    return dispatcher;
}

std::uint64_t lastId = 0;

Admission submit(Dispatcher &dispatcher, const char *service)
{
    Submission request;
    request.id = RequestId{++lastId};
    request.service = service;
    request.deadline = start + 1min;
    return dispatcher.submit(request, start);
}

// Submits until one is not granted; the grants.
std::vector<Grant> fill(Dispatcher &dispatcher, const char *service)
{
    std::vector<Grant> grants;
    for (;;) {
        auto admission = submit(dispatcher, service);
        if (!std::holds_alternative<Grant>(admission))
            return grants;
        grants.push_back(std::get<Grant>(admission));
    }
}

RunReport done(const Grant &grant, const char *service)
{
    RunReport report;
    report.worker = grant.worker;
    report.service = service;
    report.id = grant.id;
    return report;
}

struct Case
{
    std::string title;
    std::uint32_t quota;
    std::size_t expected; // requests that run at once
};

} // namespace

TEST_CASE("a team runs as much as its quota allows")
{
    const auto row = GENERATE(values<Case>({
        {"no quota", 0, 16},
        {"three requests", 12, 3},
        {"three requests and a half", 14, 3},
        {"more than the pool", 400, 16},
    }));
    INFO(row.title);
    auto dispatcher = dispatcherOf("a", {"a"}, row.quota);
    CHECK(fill(dispatcher, "invoice").size() == row.expected);
}

TEST_CASE("a quota too small for one request is said at once, with no word of coming back")
{
    auto dispatcher = dispatcherOf("a", {"a"}, slotProcessors - 1);
    const auto admission = submit(dispatcher, "invoice");
    const auto *refusal = std::get_if<Refusal>(&admission);
    REQUIRE(refusal);
    CHECK(refusal->reason == RefusalReason::QuotaTooSmall);
    CHECK(refusal->retryAfter == Duration{});
}

TEST_CASE("a team at its quota does not keep another team from the slots they share")
{
    // The invoices wait first in the queue of the pool. Were they to hold it up, quotes would wait
    // for a team that may not run any more, while slots stand empty.
    auto dispatcher = dispatcherOf("a", {"a"}, 12);
    fill(dispatcher, "invoice");
    const auto quotes = fill(dispatcher, "quote");
    CHECK(quotes.size() == 13);
    const auto changes = dispatcher.finish(done(quotes[0], "quote"), start);
    REQUIRE(changes.grants.size() == 1);
    CHECK(dispatcher.teamStatus(start)[0].inUse == 12);
}

TEST_CASE("a long queue of another team does not make a team's quota look used up")
{
    // The pool of 16 slots has 100 quotes waiting, 0.7 s of work. An invoice within its quota waits
    // as long as a quote does, and is in time.
    auto dispatcher = dispatcherOf("a", {"a"}, 12);
    fill(dispatcher, "quote");
    for (int i = 0; i < 100; ++i)
        submit(dispatcher, "quote");
    Submission invoice;
    invoice.id = RequestId{++lastId};
    invoice.service = "invoice";
    invoice.deadline = start + 2s;
    CHECK(std::holds_alternative<Queued>(dispatcher.submit(invoice, start)));
}

TEST_CASE("what waits longer for the quota than for a slot is refused for the quota")
{
    auto dispatcher = dispatcherOf("a", {"a"}, slotProcessors);
    fill(dispatcher, "invoice");
    for (int i = 0; i < 30; ++i)
        submit(dispatcher, "invoice");
    Submission invoice;
    invoice.id = RequestId{++lastId};
    invoice.service = "invoice";
    invoice.deadline = start + 2s;
    const auto admission = dispatcher.submit(invoice, start);
    REQUIRE(std::holds_alternative<Refusal>(admission));
    CHECK(std::get<Refusal>(admission).reason == RefusalReason::QuotaReached);
    CHECK(std::get<Refusal>(admission).retryAfter > 0s);
}

TEST_CASE("a team at its quota asks for no slots of other entry VMs")
{
    // Slots lent to it would stand idle, and be missing where another team has work.
    auto dispatcher = dispatcherOf("a", {"a"}, 12);
    fill(dispatcher, "invoice");
    CHECK(dispatcher.loanWishes(start).empty());
    fill(dispatcher, "quote");
    CHECK(dispatcher.loanWishes(start).size() == 1);
}

TEST_CASE("what a finished request held is free for the next of its team")
{
    auto dispatcher = dispatcherOf("a", {"a"}, 12);
    const auto grants = fill(dispatcher, "invoice");
    const auto changes = dispatcher.finish(done(grants[0], "invoice"), start);
    REQUIRE(changes.grants.size() == 1);
    CHECK(dispatcher.teamStatus(start)[0].inUse == 12);
    CHECK(dispatcher.teamStatus(start)[0].waiting == 0);
}

TEST_CASE("a quota that a change takes away or lowers counts for what starts from then on")
{
    auto dispatcher = dispatcherOf("a", {"a"}, 12);
    const auto grants = fill(dispatcher, "invoice");
    auto lower = table(4);
    lower.revision = 2;
    dispatcher.adopt(lower, start);
    CHECK(dispatcher.finish(done(grants[0], "invoice"), start).grants.empty());
    auto none = table(0);
    none.revision = 3;
    CHECK(dispatcher.adopt(none, start).grants.size() == 1);
}

TEST_CASE("an entry VM that gets all of a team's requests borrows the other's part of the quota")
{
    const std::vector<std::string> live{"a", "b"};
    auto busy = dispatcherOf("a", live, 16);
    auto idle = dispatcherOf("b", live, 16);
    CHECK(fill(busy, "invoice").size() == 2);
    submit(busy, "invoice");
    const auto wishes = busy.quotaWishes(start);
    REQUIRE(wishes.size() == 1);
    CHECK(wishes[0].processors == 2 * slotProcessors);
    const auto loan = idle.lendQuota(wishes[0], start);
    CHECK(loan.processors == 2 * slotProcessors);
    CHECK(busy.borrowQuota(loan, start).grants.size() == 2);
    CHECK(std::holds_alternative<Queued>(submit(idle, "invoice")));
    CHECK(idle.tick(start + loan.term).grants.size() == 1);
}
