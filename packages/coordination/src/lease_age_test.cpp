// Tests how old entry VMs take the lease and its holder's leases to be when renewals or takeovers
// follow each other closely.
#include "../tests/lease_fixtures.h"

#include <sassafrasferry/coordination/inherited_lease.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;

namespace {

messages::LeaseRecord rowOf(const std::string &holder, Instant renewedAt)
{
    messages::LeaseRecord record;
    record.set_holder(holder);
    record.set_address("127.0.0.1:1");
    record.set_incarnation(1);
    record.set_term(1);
    record.set_announces_orders(true);
    record.set_renewed_milliseconds(renewedAt.time_since_epoch() / std::chrono::milliseconds(1));
    return record;
}

} // namespace

// Guards against a takeover that takes two terms: the store may perform a renewal without an answer
// seconds after it was sent. The row tells how long after the renewal before it was sent.
TEST_CASE("A renewal that the store performs late does not count as recent", "[!mayfail]")
{
    LeadershipTimes times;
    times.term = std::chrono::milliseconds(1000);
    times.readPeriod = std::chrono::milliseconds(20);
    times.tick = std::chrono::milliseconds(5);
    http::asio::io_context context;
    MemoryStore store;
    Leadership<MemoryStore> follower(store, "follower", {"127.0.0.1", 2}, 2,
                                     {[](const Tenure &) {},
                                      [](const auto &) {
                                      }},
                                     times);
    const auto begin = bootNow();
    const auto first = rowOf("leader", begin);
    const auto second = rowOf("leader", begin + std::chrono::milliseconds(50));
    spawn(context.get_executor(), "leader", [&]() -> Awaitable<void> {
        const auto commit = co_await store.commit(leaseTransaction(first, store::absent));
        co_await pause(std::chrono::milliseconds(800));
        co_await store.commit(leaseTransaction(second, commit.version));
    });
    spawn(context.get_executor(), "follower", [&] { return follower.run(); });
    while (!follower.isLeader() && bootNow() < begin + 4 * times.term)
        context.run_one();
    REQUIRE(follower.isLeader());
    // Both renewals counted as recent: 1.8 s.
    CHECK(bootNow() - begin < std::chrono::milliseconds(1500));
}

// Guards against tasks that run twice: a leader takes over from one that lives on without the
// store, and steps down at once, for instance in favour of a stronger entry VM.
TEST_CASE("The wait for a lost leader's leases outlasts a leader between")
{
    LeadershipTimes times;
    times.term = std::chrono::milliseconds(100);
    times.holdOff = std::chrono::seconds(60);
    const scheduling::SchedulerTimes schedulerTimes;
    http::asio::io_context context;
    MemoryStore store;
    Tenure taken;
    Leadership<MemoryStore> between(store, "between", {"127.0.0.1", 2}, 2,
                                    {[](const Tenure &) {},
                                     [](const auto &) {
                                     }},
                                    times);
    Leadership<MemoryStore> last(store, "last", {"127.0.0.1", 3}, 3,
                                 {[&](const Tenure &tenure) { taken = tenure; },
                                  [](const auto &) {
                                  }},
                                 times);
    const auto lostAt = bootNow();
    const auto lost = rowOf("lost", lostAt);
    spawn(context.get_executor(), "lost", [&]() -> Awaitable<void> {
        co_await store.commit(leaseTransaction(lost, store::absent));
        co_await between.run();
    });
    while (!between.isLeader())
        context.run_one();
    spawn(context.get_executor(), "step-down",
          [&] { return between.stepDown({}, "too weak", "127.0.0.1:3"); });
    spawn(context.get_executor(), "last", [&] { return last.run(); });
    while (!last.isLeader())
        context.run_one();
    const auto now = bootNow();
    const auto wait = inheritedLease(taken, schedulerTimes, times, now);
    // The first leader may have granted leases up to `leaseLimit` after its last confirmation.
    const auto missing = (lostAt + times.leaseLimit - now - wait) / std::chrono::milliseconds(1);
    CHECK(missing <= 0);
}
