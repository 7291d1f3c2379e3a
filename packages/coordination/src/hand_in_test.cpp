// Jobs submitted to an entry VM that the store does not serve are stored through a peer.
#include <sassafrasferry/coordination/hand_in.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include "../tests/memory_store.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

struct CombineCase
{
    IntakeResult own;
    std::optional<IntakeResult> peer;
    IntakeResult result;
};

const std::vector<CombineCase> combinations{
    {IntakeResult::Stored, std::nullopt, IntakeResult::Stored},
    {IntakeResult::AlreadyStored, IntakeResult::Refused, IntakeResult::AlreadyStored},
    {IntakeResult::Refused, IntakeResult::Stored, IntakeResult::Stored},
    {IntakeResult::Refused, IntakeResult::AlreadyStored, IntakeResult::AlreadyStored},
    {IntakeResult::Refused, IntakeResult::Refused, IntakeResult::Refused},
    {IntakeResult::Refused, IntakeResult::Unknown, IntakeResult::Unknown},
    {IntakeResult::Refused, std::nullopt, IntakeResult::Unknown},
    {IntakeResult::Unknown, IntakeResult::Stored, IntakeResult::Stored},
    {IntakeResult::Unknown, IntakeResult::Refused, IntakeResult::Unknown},
    {IntakeResult::Unknown, std::nullopt, IntakeResult::Unknown},
};

/// Routes on which nobody stores a job or knows of it.
HandInRoutes routesWithout()
{
    const auto knowsNothing = [](std::string) -> Awaitable<bool> {
        co_return false;
    };
    return {[](std::string, std::string) -> Awaitable<std::optional<IntakeResult>> {
                co_return IntakeResult::Refused;
            },
            knowsNothing, knowsNothing};
}

/// A job whose transaction gets no answer, and when others know that it is stored.
struct ProofCase
{
    std::string name;
    Duration knownToLeaderAfter;
    Duration seenInStoreAfter;
    IntakeResult result;
    Duration answeredBefore;
};

constexpr Duration never = 1h;
const std::vector<ProofCase> proofs{
    {"the leader knows it at once", 0ms, never, IntakeResult::AlreadyStored, 600ms},
    {"the leader knows it later", 800ms, never, IntakeResult::AlreadyStored, 1300ms},
    {"only the store has it", never, 0ms, IntakeResult::AlreadyStored, 2000ms},
    {"nobody knows it", never, never, IntakeResult::Unknown, 2800ms},
};

} // namespace

// Guards against answering "refused" for a job that a peer has stored: the job would run although
// its caller was told that it won't.
TEST_CASE("A job is refused only if neither this entry VM nor a peer can have stored it")
{
    const auto row = GENERATE(from_range(combinations));
    CAPTURE(model::nameOf(row.own), row.peer.has_value());
    CHECK(combineResults(row.own, row.peer) == row.result);
}

TEST_CASE("A job that the store refuses is stored through a peer before the deadline")
{
    http::asio::io_context context;
    MemoryStore away;
    away.refusesCommits = true;
    Intake<MemoryStore> own(away, context.get_executor());
    std::optional<IntakeResult> result;
    Duration took{};
    std::size_t asked = 0;
    auto routes = routesWithout();
    routes.askPeer = [&](std::string, std::string) -> Awaitable<std::optional<IntakeResult>> {
        ++asked;
        co_return IntakeResult::Stored;
    };
    spawn(context.get_executor(), "caller", [&]() -> Awaitable<void> {
        const auto begin = bootNow();
        const auto handIn =
            std::make_shared<HandIn<Intake<MemoryStore>>>(own, routes, "job", begin + 2600ms);
        result = co_await handIn->run("record");
        took = bootNow() - begin;
    });
    while (!result)
        context.run_one();
    CHECK(result == IntakeResult::Stored);
    CHECK(asked == 1);
    CHECK(took < 1s);
}

// Guards against answering "may be stored" for a job that the leader has in its books: its caller
// can't repeat the request, and nobody gets the result of the work.
TEST_CASE("A job without an answer of the store is confirmed once the leader or a row proves it")
{
    const auto row = GENERATE(from_range(proofs));
    CAPTURE(row.name);
    http::asio::io_context context;
    MemoryStore silent;
    silent.delay = 5s;
    Intake<MemoryStore> own(silent, context.get_executor());
    const auto begin = bootNow();
    auto routes = routesWithout();
    routes.isKnownToLeader = [&](std::string) -> Awaitable<bool> {
        co_return bootNow() - begin >= row.knownToLeaderAfter;
    };
    routes.isSeenInStore = [&](std::string) -> Awaitable<bool> {
        co_return bootNow() - begin >= row.seenInStoreAfter;
    };
    std::optional<IntakeResult> result;
    Duration took{};
    spawn(context.get_executor(), "caller", [&]() -> Awaitable<void> {
        const auto handIn =
            std::make_shared<HandIn<Intake<MemoryStore>>>(own, routes, "job", begin + 2600ms);
        result = co_await handIn->run("record");
        took = bootNow() - begin;
    });
    while (!result)
        context.run_one();
    CHECK(result == row.result);
    CHECK(took < row.answeredBefore);
}

// Guards against answering "may be stored" at the deadline for a job that was never sent: its
// caller could not try again.
TEST_CASE("A job that still waits for its turn at the deadline is refused")
{
    http::asio::io_context context;
    MemoryStore silent;
    silent.delay = 5s;
    Intake<MemoryStore> own(silent, context.get_executor());
    const auto deadline = bootNow() + 600ms;
    std::vector<std::string> jobs{"a"};
    for (int i = 0; jobs.size() < 2; ++i) {
        const auto other = "b" + std::to_string(i);
        if (JobParts().partOf(other) == JobParts().partOf(jobs[0]))
            jobs.push_back(other); // waits for the transaction of the first one
    }
    std::vector<std::optional<IntakeResult>> results(jobs.size());
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        spawn(context.get_executor(), "caller", [&, i]() -> Awaitable<void> {
            const auto handIn = std::make_shared<HandIn<Intake<MemoryStore>>>(own, routesWithout(),
                                                                              jobs[i], deadline);
            results[i] = co_await handIn->run("record");
        });
        context.run_for(20ms);
        context.restart();
    }
    while (!results[0] || !results[1])
        context.run_one();
    CHECK(results[0] == IntakeResult::Unknown);
    CHECK(results[1] == IntakeResult::Refused);
}
