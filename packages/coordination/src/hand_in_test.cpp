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
    const auto askPeer = [&](std::string, std::string) -> Awaitable<std::optional<IntakeResult>> {
        ++asked;
        co_return IntakeResult::Stored;
    };
    spawn(context.get_executor(), "caller", [&]() -> Awaitable<void> {
        const auto begin = bootNow();
        result = co_await handIn(own, askPeer, "job", "record", begin + 2600ms);
        took = bootNow() - begin;
    });
    while (!result)
        context.run_one();
    CHECK(result == IntakeResult::Stored);
    CHECK(asked == 1);
    CHECK(took < 1s);
}
