// The control lease when its holder is paused, dies, or does not hear an answer.
#include <sassafrasferry/store/lease_keeper.h>

#include <sassafrasferry/fakes/memory_tables.h>
#include <sassafrasferry/fakes/run.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::store;
using namespace std::chrono_literals;
using fakes::MemoryTables;
using Keeper = LeaseKeeper<MemoryTables>;

namespace {

struct Fixture
{
    http::asio::io_context context;
    MemoryTables tables;
    Keeper a{tables, "a", {}};
    Keeper b{tables, "b", {}};
    policy::Instant now{};

    void step(Keeper &keeper)
    {
        fakes::run(this->context, [](Keeper &stepped, policy::Instant at) -> Awaitable<bool> {
            co_await stepped.step([at] { return at; });
            co_return true;
        }(keeper, this->now));
    }

    // Both step each second.
    void pass(std::chrono::seconds span, bool aSteps)
    {
        for (auto i = 0s; i < span; i += 1s) {
            this->now += 1s;
            if (aSteps)
                this->step(this->a);
            this->step(this->b);
        }
    }

    bool write(const Keeper &keeper)
    {
        const auto commit = this->tables.commitNow({{keeper.fence()}, {{{"t", "x"}, 1}}, {}});
        return commit.state == CommitState::Committed;
    }
};

} // namespace

TEST_CASE("one holds the lease, and keeps it while it renews")
{
    Fixture fixture;
    fixture.step(fixture.a);
    fixture.pass(20s, true);
    CHECK(fixture.a.holds(fixture.now));
    CHECK_FALSE(fixture.b.holds(fixture.now));
    CHECK(fixture.a.currentEpoch() == 1);
}

TEST_CASE("a holder that is paused past its lease writes nothing when it wakes")
{
    // The operator would see a VM drained twice: a is frozen with a drain decided, b takes over
    // and drains another VM, a wakes and carries on. The fence at the store stops a even if its
    // own clock stood still while it was frozen.
    Fixture fixture;
    fixture.step(fixture.a);
    CHECK(fixture.write(fixture.a));
    const auto frozenAt = fixture.now;
    fixture.pass(6s, false);
    CHECK(fixture.b.holds(fixture.now));
    CHECK(fixture.b.currentEpoch() == 2);
    CHECK(fixture.a.holds(frozenAt)); // what a would believe
    CHECK_FALSE(fixture.write(fixture.a));
    CHECK(fixture.write(fixture.b));
    fixture.step(fixture.a);
    CHECK_FALSE(fixture.a.holds(fixture.now));
}

TEST_CASE("never do two hold the lease by their own clocks")
{
    const auto pause = GENERATE(1, 2, 3, 4, 5, 8);
    Fixture fixture;
    fixture.step(fixture.a);
    for (int round = 0; round < 4; ++round) {
        for (int i = 0; i < pause; ++i) {
            fixture.pass(1s, false);
            CHECK_FALSE((fixture.a.holds(fixture.now) && fixture.b.holds(fixture.now)));
        }
        fixture.pass(2s, true);
        CHECK_FALSE((fixture.a.holds(fixture.now) && fixture.b.holds(fixture.now)));
    }
}

TEST_CASE("a renewal whose answer is lost ends the term, and the lease is taken again")
{
    Fixture fixture;
    fixture.step(fixture.a);
    fixture.tables.faults.lostAnswers = 1;
    fixture.now += 1s;
    fixture.step(fixture.a);
    CHECK_FALSE(fixture.a.holds(fixture.now));
    fixture.pass(6s, true);
    CHECK((fixture.a.holds(fixture.now) || fixture.b.holds(fixture.now)));
}

// Guards against waves and moves that stand still: the row names the holder, which reaches the
// store, and nobody holds the lease for longer than a term.
TEST_CASE("a renewal whose answer is lost leaves the lease with its holder", "[!mayfail]")
{
    Fixture fixture;
    fixture.step(fixture.a);
    fixture.tables.faults.lostAnswers = 1;
    fixture.now += 1s;
    fixture.step(fixture.a);
    const auto lostAt = fixture.now;
    while (!fixture.a.holds(fixture.now) && !fixture.b.holds(fixture.now))
        fixture.pass(1s, true);
    const auto secondsWithoutHolder = (fixture.now - lostAt) / 1s;
    CHECK(secondsWithoutHolder <= 1);
}

TEST_CASE("a lease that is given up is free at once")
{
    Fixture fixture;
    fixture.step(fixture.a);
    fakes::run(fixture.context, [](Keeper &keeper) -> Awaitable<bool> {
        co_await keeper.release();
        co_return true;
    }(fixture.a));
    fixture.step(fixture.b);
    CHECK(fixture.b.holds(fixture.now));
}
