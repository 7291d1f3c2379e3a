// Tests of what entry VMs learn of overload, and of when they may refuse a job for it.
#include <sassafrasferry/coordination/overload_news.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;
using scheduling::JobState;

TEST_CASE("Outlooks reach other entry VMs only under overload, and only for a short time")
{
    struct Case
    {
        const char *name;
        Duration lateWait;
        Duration age;
        bool isKnown;
    };
    const auto row = GENERATE(Case{"no late work", 0s, 0ms, false},
                              Case{"little late work", 500ms, 0ms, false},
                              Case{"overload", 9s, 500ms, true},
                              Case{"overload without end", Duration::max(), 0ms, true},
                              Case{"old news", 9s, 3s, false});
    INFO(row.name);
    const Instant now(1h);
    messages::JobAnswer answer;
    OverloadNews::write({{"s", {2s, row.lateWait}}}, answer);
    OverloadNews news;
    news.read(answer, now);
    const auto outlook = news.outlookOf("s", now + row.age);
    REQUIRE(outlook.has_value() == row.isKnown);
    CHECK(!news.outlookOf("other", now));
    if (outlook) {
        CHECK(outlook->onTimeWait == 2s);
        CHECK(outlook->lateWait == std::min<Duration>(row.lateWait, 1h));
    }
    news.read({}, now + row.age);
    CHECK(!news.outlookOf("s", now + row.age));
}

// Guards against telling a caller that its job will never run when an earlier request with the same
// id was accepted.
TEST_CASE("A job is refused for overload only if it is known to be absent")
{
    struct Case
    {
        std::optional<JobState> inLeader;
        std::optional<JobState> inStore;
        bool isAbsent;
    };
    const auto row = GENERATE(
        Case{JobState::Unknown, JobState::Unknown, true}, Case{std::nullopt, JobState::Unknown, true},
        Case{JobState::Queued, JobState::Unknown, false},
        Case{JobState::Unknown, JobState::Queued, false},
        Case{JobState::Unknown, JobState::Completed, false},
        Case{JobState::Unknown, std::nullopt, false}, Case{std::nullopt, std::nullopt, false});
    CHECK(isKnownToBeAbsent(row.inLeader, row.inStore) == row.isAbsent);
}
