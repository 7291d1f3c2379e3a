// The division of slots: sums are exact, and nearly fair for each entry VM over a pool.
#include <sassafrasferry/policy/shares.h>

#include <catch2/catch.hpp>

#include <map>

using namespace sassafrasferry::policy;

namespace {

std::vector<std::string> entries(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back("e" + std::to_string(100 + i));
    return names;
}

} // namespace

TEST_CASE("shares of a worker sum to its slots, whatever the number of entry VMs")
{
    const auto count = GENERATE(1, 2, 3, 6, 7, 8, 20, 60);
    const auto live = entries(static_cast<std::size_t>(count));
    for (std::size_t ordinal = 0; ordinal < 12; ++ordinal) {
        const Divisible worker{"w" + std::to_string(ordinal), ordinal, 8, 64};
        std::uint32_t slots = 0;
        std::uint32_t connections = 0;
        for (const auto &entry : live) {
            slots += shareOf(worker, entry, live).slots;
            connections += shareOf(worker, entry, live).connections;
        }
        CHECK(slots == 8);
        CHECK(connections == 64);
    }
}

TEST_CASE("over a pool no entry VM has much more than another")
{
    const auto live = entries(7);
    std::map<std::string, std::uint32_t> sums;
    for (std::size_t ordinal = 0; ordinal < 10; ++ordinal) {
        for (const auto &entry : live)
            sums[entry] +=
                shareOf({"w" + std::to_string(ordinal), ordinal, 8, 64}, entry, live).slots;
    }
    for (const auto &[entry, sum] : sums) {
        CHECK(sum >= 11);
        CHECK(sum <= 12);
    }
}

TEST_CASE("an entry VM that leaves changes only the workers that it shared")
{
    auto live = entries(20);
    std::size_t changed = 0;
    const std::size_t workers = 200;
    const auto gone = live.back();
    auto fewer = live;
    fewer.pop_back();
    for (std::size_t i = 0; i < workers; ++i) {
        const auto worker = "w" + std::to_string(i);
        const auto before = sharersOf(worker, live);
        const bool shared = std::find(before.begin(), before.end(), gone) != before.end();
        const bool same = before == sharersOf(worker, fewer);
        CHECK(same != shared);
        changed += same ? 0 : 1;
    }
    CHECK(changed > 0);
    CHECK(changed < workers / 2);
}
