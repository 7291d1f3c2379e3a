// The division of a team's quota among entry VMs.
#include <sassafrasferry/policy/team_quota.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::policy;
using namespace std::chrono_literals;

namespace {

const Instant start{};

std::vector<std::string> entriesOf(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back("e" + std::to_string(100 + i));
    return names;
}

struct Case
{
    std::string title;
    std::size_t entries;
    std::uint32_t processors;
    std::uint32_t unit;
    std::uint32_t expected; // sum of all parts
};

} // namespace

TEST_CASE("parts of a quota sum to whole units of it, and never to more")
{
    const auto row = GENERATE(values<Case>({
        {"one entry VM", 1, 100, 4, 100},
        {"today", 7, 100, 4, 100},
        {"fewer units than entry VMs", 7, 12, 4, 12},
        {"a remainder that no request fits", 3, 11, 4, 8},
        {"less than one request", 3, 3, 4, 0},
        {"two years out", 60, 720, 4, 720},
    }));
    INFO(row.title);
    const auto live = entriesOf(row.entries);
    std::uint32_t sum = 0;
    std::uint32_t least = row.processors;
    std::uint32_t most = 0;
    for (const auto &entry : live) {
        TeamQuota quota;
        quota.divide({"billing", row.processors, row.unit}, entry, live);
        sum += quota.allowed(start);
        least = std::min(least, quota.allowed(start));
        most = std::max(most, quota.allowed(start));
    }
    CHECK(sum == row.expected);
    CHECK(most - least <= row.unit);
}

TEST_CASE("a quota has room until its part is held, and again when it is given back")
{
    TeamQuota quota;
    quota.divide({"billing", 8, 4}, "a", {"a"});
    CHECK(quota.hasRoom(start));
    quota.take(4);
    quota.take(4);
    CHECK_FALSE(quota.hasRoom(start));
    quota.giveBack(4);
    CHECK(quota.hasRoom(start));
}

TEST_CASE("what is lent is not used by the lender, and comes back by itself")
{
    TeamQuota lender;
    TeamQuota borrower;
    lender.divide({"billing", 16, 4}, "a", {"a", "b"});
    borrower.divide({"billing", 16, 4}, "b", {"a", "b"});
    lender.take(4);
    CHECK(lender.lend(100, start + 1s, start) == 4);
    borrower.borrow(4, start + 1s, start);
    CHECK_FALSE(lender.hasRoom(start));
    CHECK(lender.allowed(start) + borrower.allowed(start) == 16);
    // Nothing borrowed is lent on: its lender could not have it back in time.
    borrower.take(8);
    CHECK(borrower.lend(100, start + 1s, start) == 0);
    CHECK(lender.allowed(start + 1s) == 8);
    CHECK(borrower.allowed(start + 1s) == 8);
}

TEST_CASE("no quota is no limit")
{
    TeamQuota quota;
    quota.divide({"billing", 0, 4}, "a", {"a"});
    quota.take(1000);
    CHECK(quota.hasRoom(start));
    CHECK_FALSE(quota.isTooSmall());
}
