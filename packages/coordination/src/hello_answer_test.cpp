// Tests what the leader's answers to hellos change at the entry VM that asked.
#include "../tests/lease_fixtures.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;

// Guards against two leaders of one term, whose runs have the same numbers: an acquisition is
// answered late, another entry VM takes the lease meanwhile, and its answer to a hello comes after.
// The leader of before must not renew over the newer holder's row.
TEST_CASE("A leader does not renew over the row of a newer leader that answered its hello")
{
    LeadershipTimes times;
    times.renew = std::chrono::milliseconds(20);
    times.tick = std::chrono::milliseconds(5);
    Single single(times);
    messages::LeaseRecord record;
    record.set_holder("other");
    record.set_address("127.0.0.1:2");
    record.set_term(2);
    bool isTaken = false;
    spawn(single.context.get_executor(), "other", [&]() -> Awaitable<void> {
        auto state = store::CommitState::Conflict;
        while (state != store::CommitState::Committed) {
            const auto transaction = leaseTransaction(record, single.only.leaseVersion());
            const auto commit = co_await single.store.commit(transaction);
            state = commit.state;
            if (state == store::CommitState::Committed)
                single.only.noteLeaderAnswer(commit.version);
        }
        isTaken = true;
    });
    single.runUntil([&] { return isTaken; });
    single.context.run_for(times.renew * 10);
    CHECK_FALSE(single.only.isLeader());
    CHECK(single.tenures.size() == 1);
    REQUIRE(single.only.leaderAddress());
    CHECK(model::toString(*single.only.leaderAddress()) == "127.0.0.1:2");
}
