// The dispatcher on a virtual clock: shares, queues, admission, overflow, loans, leaving workers.
#include <sassafrasferry/policy/dispatcher.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::policy;
using namespace std::chrono_literals;
using model::RequestClass;

namespace {

const Instant start{};
const std::vector<std::string> sevenEntries{"a", "b", "c", "d", "e", "f", "g"};

RoutingTable table(std::size_t workers, bool idempotent = true)
{
    RoutingTable result;
    result.revision = 1;
    result.pools = {{"main", false, {}}, {"spare", true, {}}};
    for (std::size_t i = 0; i < workers + 1; ++i) {
        const auto index = static_cast<Index>(i);
        const bool isSpare = i == workers;
        const auto name = isSpare ? "s" : "w" + std::to_string(i);
        result.workers.push_back({name, {"127.0.0.1", 1}, "a", "r" + std::to_string(i / 4)});
        result.workerIndex[name] = index;
        result.pools[isSpare ? 1 : 0].workers.push_back(index);
    }
    ServiceSpec service;
    service.name = "x";
    service.pool = 0;
    service.idempotent = idempotent;
    result.services.push_back(service);
    result.serviceIndex["x"] = 0;
    return result;
}

Submission request(std::uint64_t id, Duration deadline = 10s,
                   RequestClass requestClass = RequestClass::Normal)
{
    Submission submission;
    submission.id = RequestId{id};
    submission.service = "x";
    submission.requestClass = requestClass;
    submission.deadline = start + deadline;
    submission.job = id;
    return submission;
}

model::RoutingSettings routing(model::RoutingPolicy policy)
{
    model::RoutingSettings settings;
    settings.policy = policy;
    return settings;
}

// Submits until one is not granted; the number of grants.
std::uint32_t fill(Dispatcher &dispatcher, Duration deadline = 10s)
{
    std::uint32_t grants = 0;
    while (
        std::holds_alternative<Grant>(dispatcher.submit(request(1000 + grants, deadline), start)))
        ++grants;
    return grants;
}

RunReport report(const Grant &grant, RunResult result)
{
    return {grant.worker, "x", result, grant.reason, 100ms, static_cast<JobFingerprint>(grant.id),
            grant.id};
}

} // namespace

TEST_CASE("seven entry VMs together never hold more slots than a pool has")
{
    // A worker refuses the ninth request; with fixed shares nobody ever sends it one.
    std::uint32_t sum = 0;
    for (const auto &name : sevenEntries) {
        Dispatcher dispatcher(routing(model::RoutingPolicy::FixedShares), name, 1);
        dispatcher.adopt(table(10), start);
        dispatcher.setLive(sevenEntries, start);
        sum += fill(dispatcher);
    }
    CHECK(sum == 80);
}

TEST_CASE("trials go beyond the share only for work that loses nothing by a refusal")
{
    const auto idempotent = GENERATE(true, false);
    Dispatcher dispatcher(routing(model::RoutingPolicy::Trials), "a", 1);
    dispatcher.adopt(table(10, idempotent), start);
    dispatcher.setLive(sevenEntries, start);
    CHECK(fill(dispatcher) == (idempotent ? 72U : 12U));
}

TEST_CASE("a refusal by a full worker stops trials on it for a while")
{
    Dispatcher dispatcher(routing(model::RoutingPolicy::Trials), "a", 1);
    dispatcher.adopt(table(1), start);
    dispatcher.setLive(sevenEntries, start);
    dispatcher.submit(request(1), start);
    dispatcher.submit(request(2), start);
    const auto trial = std::get<Grant>(dispatcher.submit(request(3), start));
    REQUIRE(trial.reason == RouteReason::Trial);
    dispatcher.finish(report(trial, RunResult::Refused), start);
    CHECK(std::holds_alternative<Queued>(dispatcher.submit(request(4), start)));
    CHECK(dispatcher.tick(start + 100ms).grants.size() >= 1);
}

TEST_CASE("a request whose predicted wait passes its deadline is refused at once")
{
    // The declared run time is 100 ms and the share 8 slots: each eight in the queue add 100 ms.
    Dispatcher dispatcher(routing(model::RoutingPolicy::FixedShares), "a", 1);
    dispatcher.adopt(table(1), start);
    CHECK(fill(dispatcher, 1s) == 8);
    std::size_t queued = 1;
    Admission last = Queued{};
    while (std::holds_alternative<Queued>(last))
        last = dispatcher.submit(request(2000 + queued++, 1s), start);
    const auto refusal = std::get<Refusal>(last);
    CHECK(refusal.reason == RefusalReason::DeadlineUnreachable);
    CHECK(refusal.retryAfter >= 1s);
    CHECK(queued > 60);
    CHECK(queued < 80);
}

TEST_CASE("a waiting request that can no longer be in time gets its answer then, not later")
{
    Dispatcher dispatcher(routing(model::RoutingPolicy::FixedShares), "a", 1);
    dispatcher.adopt(table(1), start);
    CHECK(fill(dispatcher, 1s) == 8); // and one waits
    CHECK(dispatcher.tick(start + 899ms).refusals.empty());
    const auto changes = dispatcher.tick(start + 900ms); // a run takes 100 ms
    REQUIRE(changes.refusals.size() == 1);
    CHECK(changes.refusals[0].reason == RefusalReason::DeadlineUnreachable);
    CHECK(dispatcher.waiting() == 0);
}

TEST_CASE("a freed slot goes to the most pressing class that waits")
{
    Dispatcher dispatcher(routing(model::RoutingPolicy::FixedShares), "a", 1);
    dispatcher.adopt(table(1), start);
    const auto first = std::get<Grant>(dispatcher.submit(request(1), start));
    CHECK(fill(dispatcher) == 7);
    dispatcher.submit(request(50, 10s, RequestClass::Background), start);
    dispatcher.submit(request(51, 10s, RequestClass::Urgent), start);
    const auto changes = dispatcher.finish(report(first, RunResult::Succeeded), start);
    REQUIRE(changes.grants.size() == 1);
    CHECK(changes.grants[0].id == RequestId{51});
}

TEST_CASE("overflow goes to the spare pool when the own one is full")
{
    auto withSpare = table(1);
    withSpare.services[0].overflow = 1;
    Dispatcher dispatcher(routing(model::RoutingPolicy::FixedShares), "a", 1);
    dispatcher.adopt(withSpare, start);
    for (std::uint64_t i = 0; i < 8; ++i)
        CHECK_FALSE(std::get<Grant>(dispatcher.submit(request(i), start)).overflowed);
    const auto ninth = std::get<Grant>(dispatcher.submit(request(9), start));
    CHECK(ninth.overflowed);
    CHECK(ninth.workerName == "s");
}

TEST_CASE("a leaving worker gets nothing new, and a signal is news once")
{
    const auto signal = GENERATE(LeavingSignal::List, LeavingSignal::Draining,
                                 LeavingSignal::Refusal, LeavingSignal::Closed);
    Dispatcher dispatcher(routing(model::RoutingPolicy::LoansTrials), "a", 1);
    dispatcher.adopt(table(2), start);
    CHECK(dispatcher.setLeaving("w0", signal, start));
    CHECK_FALSE(dispatcher.setLeaving("w0", signal, start));
    for (std::uint64_t i = 0; i < 8; ++i)
        CHECK(std::get<Grant>(dispatcher.submit(request(i), start)).workerName == "w1");
    if (signal == LeavingSignal::Draining)
        dispatcher.drained("w0");
    else
        CHECK(dispatcher.setLeaving("w0", LeavingSignal::None, start));
    CHECK(std::get<Grant>(dispatcher.submit(request(9), start)).workerName == "w0");
}

TEST_CASE("a worker that drains stays out though the list says that it is back")
{
    // The platform's list names w0, a wave drains it, the list drops it again. A caller's request
    // sent to w0 now would be cut off by its maintenance.
    Dispatcher dispatcher(routing(model::RoutingPolicy::Loans), "a", 1);
    dispatcher.adopt(table(1), start);
    dispatcher.setLeaving("w0", LeavingSignal::List, start);
    dispatcher.setLeaving("w0", LeavingSignal::Draining, start);
    CHECK_FALSE(dispatcher.setLeaving("w0", LeavingSignal::None, start));
    CHECK(std::holds_alternative<Refusal>(dispatcher.submit(request(1), start)));
    dispatcher.drained("w0");
    CHECK(std::holds_alternative<Grant>(dispatcher.submit(request(2), start)));
}

TEST_CASE("lent slots are not used by the lender, and come back by themselves")
{
    Dispatcher lender(routing(model::RoutingPolicy::Loans), "a", 1);
    Dispatcher borrower(routing(model::RoutingPolicy::Loans), "b", 1);
    const std::vector<std::string> two{"a", "b"};
    for (auto *dispatcher : {&lender, &borrower}) {
        dispatcher->adopt(table(1), start);
        dispatcher->setLive(two, start);
    }
    CHECK(fill(borrower) == 4); // its share; the fifth waits
    const auto wishes = borrower.loanWishes(start);
    REQUIRE(wishes.size() == 1);
    const auto loan = lender.lend(wishes[0], start).loan;
    REQUIRE(loan.items.size() == 1);
    const auto changes = borrower.borrow(loan, start);
    REQUIRE(changes.grants.size() == 1);
    CHECK(changes.grants[0].reason == RouteReason::Borrowed);
    CHECK(fill(lender) == 3);
    CHECK(lender.tick(start + loan.term).grants.size() == 1);
}

TEST_CASE("a request that finds all slots lent waits for them")
{
    // An idle entry VM has lent all that it holds of a small pool when a request arrives. Its
    // slots are back within the loan's term; told "no workers", the caller would have been sent
    // away for 5 s by a pool with free slots.
    Dispatcher lender(routing(model::RoutingPolicy::Loans), "a", 1);
    lender.setLive({"a", "b"}, start);
    lender.adopt(table(1), start);
    const auto loan = lender.lend({"main", 8, 0}, start).loan;
    REQUIRE(loan.items.size() == 1);
    CHECK(loan.items[0].slots == 4);
    CHECK(std::holds_alternative<Queued>(lender.submit(request(1), start)));
    const auto tooSoon = lender.submit(request(2, 200ms), start);
    REQUIRE(std::holds_alternative<Refusal>(tooSoon));
    CHECK(std::get<Refusal>(tooSoon).reason == RefusalReason::DeadlineUnreachable);
    CHECK(lender.tick(start + loan.term).grants.size() == 1);
}

TEST_CASE("a worker that fails everything is ejected, and only as far as the budget allows")
{
    // Eight workers at 0.75 availability: two may be out. All fail.
    Dispatcher dispatcher(routing(model::RoutingPolicy::FixedShares), "a", 1);
    dispatcher.adopt(table(8), start);
    auto now = start;
    for (std::uint64_t i = 0; i < 200; ++i) {
        const auto admission = dispatcher.submit(request(i, 100s), now);
        if (const auto *grant = std::get_if<Grant>(&admission))
            dispatcher.finish(report(*grant, RunResult::Failed), now);
        now += 20ms;
    }
    std::size_t out = 0;
    for (const auto &worker : dispatcher.workerStatus(now))
        out += worker.health != WorkerHealth::State::Fit ? 1 : 0;
    CHECK(out == 2);
}

TEST_CASE("a retry goes to another rack")
{
    Dispatcher dispatcher(routing(model::RoutingPolicy::LoansTrials), "a", 1);
    dispatcher.adopt(table(8), start); // racks r0 and r1
    for (std::uint64_t i = 0; i < 8; ++i) {
        auto retry = request(i);
        retry.isRetry = true;
        retry.avoid = {"w1"};
        retry.avoidRack = "r0";
        CHECK(std::get<Grant>(dispatcher.submit(retry, start)).rack == "r1");
    }
}

TEST_CASE("a request that has failed on every worker does not hold up the others")
{
    // It waits at the head of the queue for a worker it has not failed on, and there is none.
    // Callers behind it see refusals while slots are free.
    Dispatcher dispatcher(routing(model::RoutingPolicy::FixedShares), "a", 1);
    dispatcher.adopt(table(1), start);
    const auto first = std::get<Grant>(dispatcher.submit(request(1), start));
    CHECK(fill(dispatcher) == 7);
    auto retry = request(50);
    retry.isRetry = true;
    retry.avoid = {"w0"};
    dispatcher.submit(retry, start);
    const auto changes = dispatcher.finish(report(first, RunResult::Succeeded), start);
    REQUIRE(changes.grants.size() == 1);
    CHECK(changes.grants[0].id == RequestId{50});
}

TEST_CASE("a hopeless job is refused at once, with no time to come back")
{
    Dispatcher dispatcher(routing(model::RoutingPolicy::FixedShares), "a", 1);
    dispatcher.adopt(table(3), start);
    for (std::uint64_t i = 0; i < 6; ++i) {
        const auto good = std::get<Grant>(dispatcher.submit(request(i), start));
        dispatcher.finish(report(good, RunResult::Succeeded), start);
    }
    auto bad = request(99);
    for (int i = 0; i < 3; ++i) {
        const auto grant = std::get<Grant>(dispatcher.submit(bad, start));
        bad.avoid.push_back(grant.workerName);
        CHECK(dispatcher.jobFailed(bad.job, grant.worker, start) == (i == 2));
        dispatcher.finish(report(grant, RunResult::Failed), start);
    }
    const auto refusal = std::get<Refusal>(dispatcher.submit(request(99), start));
    CHECK(refusal.reason == RefusalReason::HopelessJob);
    CHECK(refusal.retryAfter == Duration{});
}

TEST_CASE("requests of a service that leaves the document are refused, the others stay")
{
    Dispatcher dispatcher(routing(model::RoutingPolicy::FixedShares), "a", 1);
    dispatcher.adopt(table(1), start);
    CHECK(fill(dispatcher) == 8);
    auto without = table(1);
    without.services.clear();
    without.serviceIndex.clear();
    const auto changes = dispatcher.adopt(without, start);
    REQUIRE(changes.refusals.size() == 1);
    CHECK(changes.refusals[0].reason == RefusalReason::UnknownService);
}

TEST_CASE("a wave of cancellations frees the queue at once")
{
    Dispatcher dispatcher(routing(model::RoutingPolicy::FixedShares), "a", 1);
    dispatcher.adopt(table(1), start);
    fill(dispatcher);
    for (std::uint64_t i = 0; i < 20; ++i)
        dispatcher.submit(request(i), start);
    for (std::uint64_t i = 0; i < 20; ++i)
        CHECK(dispatcher.cancel(RequestId{i}));
    CHECK(dispatcher.waiting() == 1);
    CHECK_FALSE(dispatcher.cancel(RequestId{3}));
}
