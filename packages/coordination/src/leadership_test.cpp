#include <sassafrasferry/coordination/leadership.h>
#include <sassafrasferry/coordination/spawn.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include "../tests/memory_store.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;

namespace {

/// Two entry VMs that want the lease of one store.
struct Pair
{
    explicit Pair(LeadershipTimes times)
        : first(store, "first", {"127.0.0.1", 1}, 1,
                {[](const Tenure &) {},
                 [](const auto &) {
                 }},
                times)
        , second(store, "second", {"127.0.0.1", 2}, 2,
                 {[this](const Tenure &tenure) { this->taken = tenure; },
                  [](const auto &) {
                  }},
                 times)
    {
        spawn(this->context.get_executor(), "first", [this] { return this->first.run(); });
        this->runUntil([this] { return this->first.leads(); });
        spawn(this->context.get_executor(), "second", [this] { return this->second.run(); });
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        while (!condition())
            this->context.run_one();
    }

    http::asio::io_context context;
    MemoryStore store;
    Leadership<MemoryStore> first;
    Leadership<MemoryStore> second;
    Tenure taken; // by the second
};

} // namespace

// Callers wait while a leader that can't lead keeps its lease. It gives the lease up; were it to
// take the free lease again at once, as an earlier process of the same entry VM may, the same would
// happen for good. So it lets the other go first.
TEST_CASE("A leader that stepped down lets another lead")
{
    LeadershipTimes times;
    times.holdOff = std::chrono::seconds(60);
    Pair pair(times);
    spawn(pair.context.get_executor(), "step-down",
          [&] { return pair.first.stepDown({"vm-7"}, "can't read the jobs", ""); });
    pair.runUntil([&] { return pair.second.leads(); });
    CHECK_FALSE(pair.first.leads());
    CHECK(pair.taken.predecessorStopped);
    CHECK(pair.taken.knowsOrders);
    CHECK(pair.taken.orderedVms == std::vector<std::string>{"vm-7"});
    CHECK(pair.taken.term == 2);
}

TEST_CASE("A leader that stepped down leads again where no other does")
{
    LeadershipTimes times;
    times.holdOff = std::chrono::milliseconds(200);
    http::asio::io_context context;
    MemoryStore store;
    int tenures = 0;
    Leadership<MemoryStore> only(store, "only", {"127.0.0.1", 1}, 1,
                                 {[&](const Tenure &) { ++tenures; },
                                  [](const auto &) {
                                  }},
                                 times);
    spawn(context.get_executor(), "only", [&] { return only.run(); });
    while (tenures == 0)
        context.run_one();
    spawn(context.get_executor(), "step-down", [&] { return only.stepDown({}, "stuck", ""); });
    while (tenures == 1)
        context.run_one();
    CHECK(only.leads());
}

// A weak leader names the strongest that asks it. The others see the lease free as well, and some
// of them are weak too: they let the one that is named come first.
TEST_CASE("A lease that was given up is taken by the one it names")
{
    const bool namesSecond = GENERATE(true, false);
    LeadershipTimes times;
    times.holdOff = std::chrono::seconds(60);
    times.successorLead = std::chrono::seconds(60);
    Pair pair(times);
    const std::string successor = namesSecond ? "127.0.0.1:2" : "127.0.0.1:3";
    spawn(pair.context.get_executor(), "step-down",
          [&] { return pair.first.stepDown({}, "too weak", successor); });
    pair.runUntil([&] { return !pair.first.leads(); });
    pair.context.run_for(std::chrono::milliseconds(1500));
    CHECK(pair.second.leads() == namesSecond);
}

// The one that stepped down still has to know whom to ask on behalf of its callers.
TEST_CASE("A leader that stepped down learns who leads")
{
    LeadershipTimes times;
    times.holdOff = std::chrono::seconds(60);
    Pair pair(times);
    spawn(pair.context.get_executor(), "step-down",
          [&] { return pair.first.stepDown({}, "too weak", "127.0.0.1:2"); });
    pair.runUntil([&] { return pair.second.leads(); });
    pair.context.run_for(std::chrono::milliseconds(600));
    REQUIRE(pair.first.leaderAddress());
    CHECK(model::toString(*pair.first.leaderAddress()) == "127.0.0.1:2");
}

// Nobody led from the signal until the store was back: the leader gave up a lease that nobody could
// take.
TEST_CASE("A leader that is stopped while the store is away leads on until it is back")
{
    LeadershipTimes times;
    times.renew = std::chrono::milliseconds(50);
    times.tick = std::chrono::milliseconds(10);
    Pair pair(times);
    pair.store.isAway = true;
    pair.runUntil([&] { return pair.first.sinceConfirmed() > std::chrono::milliseconds(100); });
    spawn(pair.context.get_executor(), "hand-over", [&]() -> Awaitable<void> {
        co_await pair.first.awaitConfirmation(bootNow() + std::chrono::seconds(60));
        co_await pair.first.release({});
    });
    pair.context.run_for(std::chrono::milliseconds(300));
    CHECK(pair.first.leads());
    pair.store.isAway = false;
    pair.runUntil([&] { return pair.second.leads(); });
    CHECK(pair.taken.knowsOrders);
}

TEST_CASE("A leader does not wait for the store beyond the end of its grace")
{
    Pair pair({});
    pair.store.isAway = true;
    pair.runUntil([&] { return pair.first.sinceConfirmed() > std::chrono::milliseconds(300); });
    spawn(pair.context.get_executor(), "hand-over", [&]() -> Awaitable<void> {
        co_await pair.first.awaitConfirmation(bootNow());
        co_await pair.first.release({});
    });
    pair.runUntil([&] { return !pair.first.leads(); });
    CHECK_FALSE(pair.second.leads());
}

// No VM was moved for three seconds after a leader was lost, since its last orders were unknown.
TEST_CASE("The VMs of announced orders are known to whoever takes the lease over")
{
    LeadershipTimes times;
    times.orderLimit = std::chrono::milliseconds(300);
    Pair pair(times);
    bool isAnnounced = false;
    const std::vector<std::string> vms{"vm-7"};
    spawn(pair.context.get_executor(), "announce",
          [&]() -> Awaitable<void> { isAnnounced = co_await pair.first.announce(vms); });
    pair.runUntil([&] { return isAnnounced; });
    pair.first.deposed("its process ends");
    pair.runUntil([&] { return pair.second.leads(); });
    CHECK_FALSE(pair.taken.predecessorStopped);
    CHECK(pair.taken.knowsOrders);
    CHECK(pair.taken.orderedVms == vms);
}

TEST_CASE("An order that the store does not take note of is not given")
{
    Pair pair({});
    pair.store.isAway = true;
    std::optional<bool> isAnnounced;
    const std::vector<std::string> vms{"vm-7"};
    spawn(pair.context.get_executor(), "announce",
          [&]() -> Awaitable<void> { isAnnounced = co_await pair.first.announce(vms); });
    pair.runUntil([&] { return isAnnounced.has_value(); });
    CHECK(isAnnounced == false);
}
