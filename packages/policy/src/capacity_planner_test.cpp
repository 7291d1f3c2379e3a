// Moves are made for turns of demand that outlast them, and for no others.
#include <sassafrasferry/policy/capacity_planner.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::policy;
using namespace std::chrono_literals;

namespace {

// Borrows and returns over turns of a length, with a lull as long between them.
struct Wishes
{
    int borrows = 0;
    int returns = 0;
};

Wishes wishesOver(MovePolicy policy, std::chrono::seconds turn, int turns)
{
    CapacityPlanner planner(policy, {});
    Wishes wishes;
    std::size_t borrowed = 0;
    Instant now{};
    for (int i = 0; i < 2 * turns; ++i) {
        for (auto at = 0s; at < turn; at += 1s) {
            now += 1s;
            const auto wish = planner.observe(i % 2 == 0 ? 1.5 : 0.05, borrowed, now);
            if (wish == MoveWish::Borrow && borrowed == 0) {
                borrowed = 1;
                ++wishes.borrows;
            }
            if (wish == MoveWish::Return && borrowed == 1) {
                borrowed = 0;
                ++wishes.returns;
            }
        }
    }
    return wishes;
}

struct Case
{
    std::string title;
    MovePolicy policy;
    std::chrono::seconds turn;
    int borrows;
};

} // namespace

TEST_CASE("how often a VM moves over ten turns of demand")
{
    const auto row = GENERATE(values<Case>({
        {"long turns", MovePolicy::Outlasting, 600s, 10},
        {"short turns, after the first", MovePolicy::Outlasting, 60s, 1},
        {"short turns, always", MovePolicy::Always, 60s, 10},
        {"never", MovePolicy::Never, 600s, 0},
    }));
    INFO(row.title);
    const auto wishes = wishesOver(row.policy, row.turn, 10);
    CHECK(wishes.borrows == row.borrows);
    CHECK(wishes.returns == row.borrows);
}

TEST_CASE("demand that swings around the capacity moves nothing")
{
    CapacityPlanner planner(MovePolicy::Outlasting, {});
    Instant now{};
    for (int i = 0; i < 1000; ++i) {
        now += 1s;
        CHECK(planner.observe(i % 4 < 2 ? 1.1 : 0.9, 1, now) == MoveWish::Stay);
    }
}

TEST_CASE("how many VMs a pool wants, or can do without")
{
    // Fewer than are lacking leave callers refused for another move; more go back and forth.
    struct Row
    {
        std::string title;
        PoolLoad load;
        MoveWish wish;
        std::size_t vms;
    };
    const auto row = GENERATE(values<Row>({
        {"just full", {"p", 80, 80, 8, 0}, MoveWish::Stay, 0},
        {"a little more", {"p", 81, 80, 8, 0}, MoveWish::Borrow, 1},
        {"half as much again", {"p", 120, 80, 8, 2}, MoveWish::Borrow, 5},
        {"comfortable", {"p", 60, 80, 8, 2}, MoveWish::Stay, 0},
        {"a lull with loans", {"p", 30, 80, 8, 3}, MoveWish::Return, 5},
        {"a lull without", {"p", 30, 80, 8, 0}, MoveWish::Stay, 0},
        {"a pool without VMs in service", {"p", 30, 0, 8, 0}, MoveWish::Stay, 0},
    }));
    INFO(row.title);
    DemandPlanner planner(MovePolicy::Outlasting, {});
    const Instant start{};
    planner.observe({row.load}, start);
    CHECK(planner.observe({row.load}, start + 5s).empty()); // not steady yet
    const auto wishes = planner.observe({row.load}, start + 10s + 1ms);
    REQUIRE(wishes.size() == (row.wish == MoveWish::Stay ? 0U : 1U));
    for (const auto &wish : wishes) {
        CHECK(wish.pool == "p");
        CHECK(wish.wish == row.wish);
        CHECK(wish.vms == row.vms);
    }
}
