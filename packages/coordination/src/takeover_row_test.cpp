// Tests that a leader learns of a newer one before it learns of jobs that the newer one takes for
// its own.
#include "../tests/leading_fixture.h"

#include <sassafrasferry/coordination/fenced_part.h>

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

constexpr const char *newJob = "new";

} // namespace

// Guards against tasks that run twice: a leader whose lease was taken reads a job that was stored
// after the takeover, and starts it on a worker that the new leader doesn't reach.
TEST_CASE("A leader that reads of a newer leader starts no job stored after the takeover")
{
    const bool isTaken = GENERATE(false, true);
    CAPTURE(isTaken);
    LeadingFixture fixture;
    REQUIRE(fixture.runUntil([&] { return !fixture.worker.starts.empty(); }));
    const auto part = JobParts().partOf(newJob);
    const auto newerFence = fixture.leadership.leaseVersion() + 1'000'000;
    if (isTaken)
        fixture.putRow(table::intake, part, takeoverKey, takeoverValue(newerFence));
    fixture.putRow(table::intake, part, newJob, intakeValue());
    const auto storedAt = bootNow();
    REQUIRE(fixture.runUntil(
        [&] { return !fixture.leader || fixture.hasStartAfter(newJob, storedAt); }));
    CHECK(fixture.hasStartAfter(newJob, storedAt) != isTaken);
}

// Guards against a takeover that former leaders can't read in its place among the jobs.
TEST_CASE("A leader that claims a part tells so in the intake of the part")
{
    http::asio::io_context context;
    FeedStore store;
    FencedPart<FeedStore> part(store, "jobs-0", 7);
    std::optional<std::int64_t> fence;
    spawn(context.get_executor(), "test", [&]() -> Awaitable<void> {
        co_await part.open();
        const store::PartRange range{table::intake, "jobs-0", "", ""};
        const auto page = co_await store.scan(range);
        if (page.ok() && page->rows.size() == 1)
            fence = takeoverFence(page->rows.front());
    });
    context.run();
    CHECK(fence == 7);
}
