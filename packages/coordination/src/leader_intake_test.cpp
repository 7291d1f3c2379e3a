// Tests for how long a leader starts tasks of a cancelled job while it reads the table of accepted
// jobs late or not at all.
#include "../tests/leading_fixture.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;
using scheduling::JobState;

namespace {

constexpr Duration cancellationBound = 3s; // no start of a cancelled job is sent later than this
constexpr Duration calmTime = 4s; // longer than a feed without changes takes to answer

/// Lets the leader start tasks of both jobs for a time in which the table of jobs doesn't change.
void runCalmly(LeadingFixture &fixture)
{
    REQUIRE(fixture.runUntil([&] { return !fixture.worker.starts.empty(); }));
    const auto calm = fixture.worker.starts.front().at + calmTime;
    REQUIRE(fixture.runUntil([&] {
        return fixture.hasStartAfter(cancelledJob, calm) && fixture.hasStartAfter(otherJob, calm);
    }));
}

struct Case
{
    std::string name;
    FeedFault fault;
};

const std::vector<Case> cases{
    {"the feed of jobs gets no answer", FeedFault::Unanswered},
    {"the feed of jobs fails", FeedFault::Fails},
};

} // namespace

// Guards against tasks of a job that start many seconds after its cancellation was confirmed. The
// store confirms the leader's lease all the time, while the leader's reads of the cancellations get
// no answer.
TEST_CASE("No task of a cancelled job starts later than the cancellation bound")
{
    const auto row = GENERATE(from_range(cases));
    CAPTURE(row.name);
    LeadingFixture fixture;
    runCalmly(fixture);
    fixture.store.faultyFeed = table::intake;
    fixture.store.fault = row.fault;
    const auto cancelledAt = fixture.cancel();
    fixture.runUntilTime(cancelledAt + 3 * cancellationBound);
    CHECK(fixture.countStartsAfter(cancelledJob, cancelledAt + cancellationBound) == 0);
    // A start may be delayed after it was sent.
    CHECK((fixture.validUntil(cancelledJob) - cancelledAt) / 1ms <= cancellationBound / 1ms);
    fixture.store.fault = FeedFault::None;
    const auto releasedAt = bootNow();
    CHECK(fixture.runUntil([&] {
        return fixture.leader && fixture.leader->jobs().stateOf(cancelledJob) == JobState::Cancelled
               && fixture.hasStartAfter(otherJob, releasedAt);
    }));
}

TEST_CASE("A cancelled job has no more starts once its cancellation is read, others go on")
{
    LeadingFixture fixture;
    runCalmly(fixture);
    const auto cancelledAt = fixture.cancel();
    CHECK(fixture.runUntil(
        [&] { return fixture.leader->jobs().stateOf(cancelledJob) == JobState::Cancelled; }));
    const auto readAt = bootNow();
    fixture.runUntilTime(cancelledAt + 2 * cancellationBound);
    CHECK(fixture.countStartsAfter(cancelledJob, readAt) == 0);
    CHECK(fixture.countStartsAfter(cancelledJob, cancelledAt + cancellationBound) == 0);
    CHECK((fixture.validUntil(cancelledJob) - cancelledAt) / 1ms <= cancellationBound / 1ms);
    CHECK(fixture.runUntil(
        [&] { return fixture.hasStartAfter(otherJob, cancelledAt + 2 * cancellationBound); }));
}

// Guards against services that stand still during an outage of the store. The store can't confirm
// cancellations then, so there is nothing that the leader doesn't know.
TEST_CASE("A leader without the store starts tasks until its order limit")
{
    const auto orderLimit = LeadershipTimes{}.orderLimit;
    const auto nearLimit = orderLimit - 2s;
    const auto tolerance = 500ms; // from the check of the limit to the call of the worker
    LeadingFixture fixture;
    runCalmly(fixture);
    const auto confirmedAt = bootNow() - fixture.leadership.sinceConfirmed();
    fixture.store.isAway = true;
    CHECK(fixture.runUntil([&] {
        return !fixture.leader || fixture.hasStartAfter(otherJob, confirmedAt + nearLimit);
    }));
    CHECK(fixture.hasStartAfter(otherJob, confirmedAt + nearLimit));
    CHECK(fixture.runUntil([&] { return !fixture.leader; }));
    fixture.runUntilTime(confirmedAt + orderLimit + 3 * tolerance);
    CHECK(fixture.countStartsAfter(otherJob, confirmedAt + orderLimit + tolerance) == 0);
}

// Guards against services that stand still during an outage of the store because the hellos of
// peers, which it doesn't answer either, are taken for a sign that it stores cancellations.
TEST_CASE("A leader starts tasks until its order limit while the store answers its peers neither")
{
    const auto nearLimit = LeadershipTimes{}.orderLimit - 2s;
    LeadingFixture fixture;
    fixture.addPeer();
    runCalmly(fixture);
    const auto confirmedAt = bootNow() - fixture.leadership.sinceConfirmed();
    fixture.store.isAway = true;
    CHECK(fixture.runUntil([&] {
        return !fixture.leader || fixture.hasStartAfter(otherJob, confirmedAt + nearLimit);
    }));
    CHECK(fixture.hasStartAfter(otherJob, confirmedAt + nearLimit));
}

// Guards against a leader that alone is cut off from the store and starts tasks of jobs whose
// cancellations other entry VMs store and acknowledge.
TEST_CASE("A leader that alone lost the store starts no task of a job cancelled long ago")
{
    struct CutCase
    {
        std::string name;
        Duration cancelledAfter; // the leader was cut off
        bool peerFollows; // after that
    };
    const std::vector<CutCase> cutCases{
        {"the job is cancelled at once", 0s, true},
        {"the job is cancelled later", 1s, true},
        {"the peer follows another leader", 0s, false},
    };
    const auto row = GENERATE_COPY(from_range(cutCases));
    CAPTURE(row.name);
    LeadingFixture fixture;
    fixture.addPeer();
    runCalmly(fixture);
    fixture.link.isCut = true;
    fixture.peerFollows = row.peerFollows;
    fixture.runUntilTime(bootNow() + row.cancelledAfter);
    const auto cancelledAt = fixture.cancel();
    CHECK(fixture.runUntil([&] { return !fixture.leader; }));
    CHECK(fixture.countStartsAfter(cancelledJob, cancelledAt + cancellationBound) == 0);
}
