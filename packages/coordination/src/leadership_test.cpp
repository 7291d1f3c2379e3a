#include <sassafrasferry/coordination/leadership.h>
#include <sassafrasferry/coordination/spawn.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include "../tests/lease_fixtures.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;

// Guards against callers that wait forever for a leader that can't lead. Such a leader releases the
// lease, and must not take it again at once, as a new process of the same entry VM may.
TEST_CASE("A leader that stepped down lets another lead")
{
    LeadershipTimes times;
    times.holdOff = std::chrono::seconds(60);
    Pair pair(times);
    spawn(pair.context.get_executor(), "step-down",
          [&] { return pair.first.stepDown({"vm-7"}, "can't read the jobs", ""); });
    pair.runUntil([&] { return pair.second.isLeader(); });
    CHECK_FALSE(pair.first.isLeader());
    CHECK(pair.taken.predecessorStopped);
    CHECK(pair.taken.knowsPredecessorOrders);
    CHECK(pair.taken.orderedVms == std::vector<std::string>{"vm-7"});
    CHECK(pair.taken.term == 2);
}

TEST_CASE("A leader that stepped down leads again if no other takes the lease")
{
    LeadershipTimes times;
    times.holdOff = std::chrono::milliseconds(200);
    Single single(times);
    spawn(single.context.get_executor(), "step-down",
          [&] { return single.only.stepDown({}, "stuck", ""); });
    single.runUntil([&] { return single.tenures.size() > 1; });
    CHECK(single.only.isLeader());
}

// Guards against tasks that run twice and tasks that are ended without need. The leader of a second
// tenure has no books of the first one's runs. If it leads the same term, it takes itself for the
// first leader of all, waits for no worker and reuses run numbers.
TEST_CASE("A leader that takes its own lease again begins a new term")
{
    enum class Ending {
        OrderLimit, ///< the store is away for longer than the leader may give orders
        LostRelease, ///< it steps down, and the store does not apply the release
    };
    const auto ending = GENERATE(Ending::OrderLimit, Ending::LostRelease);
    CAPTURE(static_cast<int>(ending));
    LeadershipTimes times;
    times.renew = std::chrono::milliseconds(20);
    times.tick = std::chrono::milliseconds(5);
    times.orderLimit = std::chrono::milliseconds(200);
    times.holdOff = std::chrono::milliseconds(50);
    Single single(times);
    bool isAnnounced = false;
    const std::vector<std::string> vms{"vm-7"};
    spawn(single.context.get_executor(), "announce",
          [&]() -> Awaitable<void> { isAnnounced = co_await single.only.announce(vms); });
    single.runUntil([&] { return isAnnounced; });
    single.store.refusesCommits = true;
    single.store.faultyTable = table::lease;
    single.store.fault = ReadFault::Fails;
    if (ending == Ending::LostRelease)
        spawn(single.context.get_executor(), "step-down",
              [&] { return single.only.stepDown({}, "stuck", ""); });
    single.runUntil([&] { return !single.only.isLeader(); });
    single.context.run_for(times.holdOff);
    single.store.refusesCommits = false;
    single.store.fault = ReadFault::None;
    single.runUntil([&] { return single.only.isLeader(); });
    const auto &tenures = single.tenures;
    REQUIRE(tenures.size() == 2);
    CHECK(tenures[1].term == tenures[0].term + 1);
    CHECK(tenures[1].fence > tenures[0].fence);
    CHECK(tenures[1].predecessorStopped);
    CHECK_FALSE(tenures[1].isFirst);
    CHECK(tenures[1].knowsPredecessorOrders);
    CHECK(tenures[1].orderedVms == vms);
}

// Guards against a lease that passes from a weak leader to another weak entry VM. The leader names
// the strongest entry VM as its successor, and the others delay their attempt to take the lease.
TEST_CASE("A released lease is taken by the named successor first")
{
    const bool namesSecond = GENERATE(true, false);
    LeadershipTimes times;
    times.holdOff = std::chrono::seconds(60);
    times.successorLead = std::chrono::seconds(60);
    Pair pair(times);
    const std::string successor = namesSecond ? "127.0.0.1:2" : "127.0.0.1:3";
    spawn(pair.context.get_executor(), "step-down",
          [&] { return pair.first.stepDown({}, "too weak", successor); });
    pair.runUntil([&] { return !pair.first.isLeader(); });
    pair.context.run_for(std::chrono::milliseconds(1500));
    CHECK(pair.second.isLeader() == namesSecond);
}

// An entry VM that stepped down needs the new leader's address to ask it on behalf of its callers.
TEST_CASE("A leader that stepped down learns the address of the next leader")
{
    LeadershipTimes times;
    times.holdOff = std::chrono::seconds(60);
    Pair pair(times);
    spawn(pair.context.get_executor(), "step-down",
          [&] { return pair.first.stepDown({}, "too weak", "127.0.0.1:2"); });
    pair.runUntil([&] { return pair.second.isLeader(); });
    pair.context.run_for(std::chrono::milliseconds(600));
    REQUIRE(pair.first.leaderAddress());
    CHECK(model::toString(*pair.first.leaderAddress()) == "127.0.0.1:2");
}

// Guards against a time without a leader, from the signal to stop until the store is back: a lease
// that is released during an outage of the store can't be taken by another entry VM.
TEST_CASE("A leader that is stopped during a store outage leads until the store is back")
{
    LeadershipTimes times;
    times.renew = std::chrono::milliseconds(50);
    times.tick = std::chrono::milliseconds(10);
    Pair pair(times);
    pair.store.refusesCommits = true;
    pair.runUntil([&] { return pair.first.sinceConfirmed() > std::chrono::milliseconds(100); });
    spawn(pair.context.get_executor(), "hand-over", [&]() -> Awaitable<void> {
        co_await pair.first.awaitConfirmation(bootNow() + std::chrono::seconds(60));
        co_await pair.first.release({});
    });
    pair.context.run_for(std::chrono::milliseconds(300));
    CHECK(pair.first.isLeader());
    pair.store.refusesCommits = false;
    pair.runUntil([&] { return pair.second.isLeader(); });
    CHECK(pair.taken.knowsPredecessorOrders);
}

TEST_CASE("A stopping leader does not wait for the store beyond its deadline")
{
    Pair pair({});
    pair.store.refusesCommits = true;
    pair.runUntil([&] { return pair.first.sinceConfirmed() > std::chrono::milliseconds(300); });
    spawn(pair.context.get_executor(), "hand-over", [&]() -> Awaitable<void> {
        co_await pair.first.awaitConfirmation(bootNow());
        co_await pair.first.release({});
    });
    pair.runUntil([&] { return !pair.first.isLeader(); });
    CHECK_FALSE(pair.second.isLeader());
}

// Guards against a delay of three seconds for orders about all VMs after the loss of a leader whose
// last orders are unknown.
TEST_CASE("A successor learns the VMs of announced orders")
{
    MemoryStore store;
    Tenure taken;
    Leadership<MemoryStore>::Events events;
    events.onLead = [&](const Tenure &tenure) {
        taken = tenure;
    };
    events.onLost = [](const std::string &) {
    };
    Leadership<MemoryStore> first(store, "first", {"127.0.0.1", 1}, 1, events);
    http::asio::io_context firstContext; // does not run any more once the first one's process ends
    spawn(firstContext.get_executor(), "first", [&] { return first.run(); });
    while (!first.isLeader())
        firstContext.run_one();
    bool isAnnounced = false;
    const std::vector<std::string> vms{"vm-7"};
    spawn(firstContext.get_executor(), "announce",
          [&]() -> Awaitable<void> { isAnnounced = co_await first.announce(vms); });
    while (!isAnnounced)
        firstContext.run_one();
    const auto writtenBy = bootNow();
    Leadership<MemoryStore> second(store, "second", {"127.0.0.1", 2}, 2, events);
    http::asio::io_context context;
    spawn(context.get_executor(), "second", [&] { return second.run(); });
    while (!second.isLeader())
        context.run_one();
    CHECK_FALSE(taken.predecessorStopped);
    CHECK(taken.knowsPredecessorOrders);
    CHECK(taken.orderedVms == vms);
    CHECK(taken.limitsLeases);
    CHECK(taken.predecessorConfirmedBy >= writtenBy);
    CHECK(taken.predecessorConfirmedBy + LeadershipTimes{}.term <= bootNow());
}

// Guards against work on a VM that an open order of the leader before ends: the successor does not
// know of the order if the first leader writes its row after it has dropped its orders.
TEST_CASE("A successor learns the open orders of a leader that stops, steps down or is lost")
{
    enum class Ending {
        Stops,
        StepsDown,
        IsLost,
    };
    const auto ending = GENERATE(Ending::Stops, Ending::StepsDown, Ending::IsLost);
    CAPTURE(static_cast<int>(ending));
    const scheduling::OpenVmOrder order{{scheduling::FleetAction::Move, "vm-7", "s", 0}, "w-7"};
    const std::vector<std::string> vms{"vm-7"};
    std::vector<scheduling::OpenVmOrder> orders{order};
    LeadershipTimes times;
    times.holdOff = std::chrono::seconds(60);
    MemoryStore store;
    Leadership<MemoryStore>::Events events;
    events.onLead = [](const Tenure &) {
    };
    events.onLost = [&](const std::string &) {
        orders.clear();
    };
    events.openVmOrders = [&] {
        return orders;
    };
    Leadership<MemoryStore> first(store, "first", {"127.0.0.1", 1}, 1, events, times);
    http::asio::io_context firstContext; // runs until the first one leads
    spawn(firstContext.get_executor(), "first", [&] { return first.run(); });
    while (!first.isLeader())
        firstContext.run_one();
    http::asio::io_context context;
    spawn(context.get_executor(), "end", [&]() -> Awaitable<void> {
        const std::string why = "stuck";
        if (ending == Ending::Stops)
            co_await first.release(vms);
        else if (ending == Ending::StepsDown)
            co_await first.stepDown(vms, why, std::string());
        else
            co_await first.announce(vms);
    });
    context.run();
    Tenure taken;
    events.onLead = [&](const Tenure &tenure) {
        taken = tenure;
    };
    Leadership<MemoryStore> second(store, "second", {"127.0.0.1", 2}, 2, events, times);
    context.restart();
    spawn(context.get_executor(), "second", [&] { return second.run(); });
    while (!second.isLeader())
        context.run_one();
    REQUIRE(taken.openVmOrders.size() == 1);
    CHECK(taken.openVmOrders[0].order.vm == order.order.vm);
    CHECK(taken.openVmOrders[0].order.pool == order.order.pool);
    CHECK(taken.openVmOrders[0].worker == order.worker);
}

// Guards against tasks that run twice: a successor counts its wait from when it first saw the lease
// row as it is, so a later read of that row must not lengthen the leases of the leader.
TEST_CASE("A lease confirmed by a read counts from the write of the row")
{
    LeadershipTimes times;
    times.renew = std::chrono::milliseconds(20);
    times.tick = std::chrono::milliseconds(5);
    times.orderLimit = std::chrono::milliseconds(200);
    Single single(times);
    single.store.losesCommits = true; // reads of the row go on
    single.context.run_for(times.orderLimit * 2);
    CHECK_FALSE(single.only.isLeader());
    CHECK(single.tenures.size() == 1);
}

TEST_CASE("Orders that the store does not record are not announced")
{
    Pair pair({});
    pair.store.refusesCommits = true;
    std::optional<bool> isAnnounced;
    const std::vector<std::string> vms{"vm-7"};
    spawn(pair.context.get_executor(), "announce",
          [&]() -> Awaitable<void> { isAnnounced = co_await pair.first.announce(vms); });
    pair.runUntil([&] { return isAnnounced.has_value(); });
    CHECK(isAnnounced == false);
}

// Guards against rows that count as recent after an acquisition of the lease whose answer was lost:
// the lease row's version is older than what others have stored until it is read again.
TEST_CASE("A lease found to be held already confirms the version of the read")
{
    http::asio::io_context context;
    MemoryStore store;
    messages::LeaseRecord record;
    record.set_holder("only");
    record.set_incarnation(1);
    record.set_term(1);
    const store::PartTransaction lease{
        table::lease, {}, {{table::lease, table::lease, record.SerializeAsString()}}, {}};
    const store::PartTransaction other{"part", {}, {{"other", "key", ""}}, {}};
    Leadership<MemoryStore> only(store, "only", {"127.0.0.1", 1}, 1,
                                 {[](const Tenure &) {},
                                  [](const auto &) {
                                  }});
    std::int64_t newest = store::absent;
    spawn(context.get_executor(), "only", [&]() -> Awaitable<void> {
        co_await store.commit(lease);
        const auto commit = co_await store.commit(other);
        newest = commit.version;
        co_await only.run();
    });
    while (!only.isLeader())
        context.run_one();
    CHECK(only.confirmations().coveredUntil(newest - 1) == Instant{});
    CHECK(only.confirmations().coveredUntil(newest) != Instant{});
}

// Guards against a fleet without a leader that reaches the store: the leader alone has lost it,
// with a renewal that was stored and not answered. Its answers to hellos name the version before,
// which must not make the unchanged row look new.
TEST_CASE("A leader that does not know of its last renewal is succeeded")
{
    LeadershipTimes times;
    times.term = std::chrono::milliseconds(300);
    times.readPeriod = std::chrono::milliseconds(20);
    times.leaderAnswerMaxAge = std::chrono::milliseconds(60);
    times.tick = std::chrono::milliseconds(5);
    const auto helloPeriod = std::chrono::milliseconds(25);
    const auto patience = std::chrono::seconds(10); // many terms
    http::asio::io_context context;
    MemoryStore store;
    std::vector<std::int64_t> versions{store::absent};
    Leadership<MemoryStore> follower(store, "follower", {"127.0.0.1", 2}, 2,
                                     {[](const Tenure &) {},
                                      [](const auto &) {
                                      }},
                                     times);
    messages::LeaseRecord record;
    record.set_holder("leader");
    record.set_address("127.0.0.1:1");
    record.set_term(1);
    const auto renew = [&]() -> Awaitable<void> {
        const auto commit = co_await store.commit(leaseTransaction(record, versions.back()));
        versions.push_back(commit.version);
    };
    const auto helloLoop = [&]() -> Awaitable<void> {
        for (;;) {
            follower.noteLeaderAnswer(versions[versions.size() - 2]);
            co_await pause(helloPeriod);
        }
    };
    spawn(context.get_executor(), "leader", [&]() -> Awaitable<void> {
        co_await renew();
        co_await renew();
    });
    context.run();
    context.restart();
    spawn(context.get_executor(), "hellos", helloLoop);
    spawn(context.get_executor(), "follower", [&] { return follower.run(); });
    const auto latest = bootNow() + patience;
    while (!follower.isLeader() && bootNow() < latest)
        context.run_one();
    CHECK(follower.isLeader());
}

// Guards against a takeover that takes two terms: a renewal that was stored and not answered looks
// like a new one to an entry VM that reads the row only after the term.
TEST_CASE("The lease row is read before the term ends if the leader reports no renewal")
{
    LeadershipTimes times;
    times.term = std::chrono::hours(1);
    times.leaderAnswerMaxAge = std::chrono::hours(1);
    times.maxRenewalGap = std::chrono::milliseconds(50);
    const auto patience = std::chrono::seconds(30);
    http::asio::io_context context;
    MemoryStore store;
    Leadership<MemoryStore> follower(store, "follower", {"127.0.0.1", 2}, 2,
                                     {[](const Tenure &) {},
                                      [](const auto &) {
                                      }},
                                     times);
    messages::LeaseRecord record;
    record.set_holder("leader");
    record.set_address("127.0.0.1:1");
    std::int64_t stored = store::absent;
    spawn(context.get_executor(), "follower", [&]() -> Awaitable<void> {
        const auto reported = co_await store.commit(leaseTransaction(record, store::absent));
        const auto renewed = co_await store.commit(leaseTransaction(record, reported.version));
        stored = renewed.version;
        follower.noteLeaderAnswer(reported.version);
        co_await follower.run();
    });
    const auto latest = bootNow() + patience;
    while ((stored == store::absent || follower.leaseVersion() != stored) && bootNow() < latest)
        context.run_one();
    CHECK(follower.leaseVersion() == stored);
}
