// Which VM of a spare pool is lent, and when a borrower can do without one.
#include <sassafrasferry/policy/lending.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::policy;
using State = WaveVmState;

namespace {

WavePool poolOf(const std::vector<WaveVm> &vms, double availability, std::size_t borrowed)
{
    WavePool pool;
    pool.name = "p";
    pool.availability = availability;
    pool.borrowed = borrowed;
    pool.vms = vms;
    return pool;
}

struct LendCase
{
    std::string title;
    std::vector<WaveVm> spare;
    double availability;
    std::size_t lendable;
    std::string chosen; // empty: none
};

struct GiveBackCase
{
    std::string title;
    std::size_t out;
    std::size_t borrowed;
    bool may;
};

} // namespace

TEST_CASE("which VM of a spare pool is lent")
{
    const WavePool borrower = poolOf(
        {{"b1", "dc1", "r1"}, {"b2", "dc1", "r2"}, {"b3", "dc2", "r3", State::Failed}}, 0.5, 0);
    const auto row = GENERATE(values<LendCase>({
        {"of the data centre that has fewest of the borrower's VMs in service",
         {{"s1", "dc1", "r4"}, {"s2", "dc2", "r5"}},
         0,
         2,
         "s2"},
        {"the spare pool's own promise comes first",
         {{"s1", "dc1", "r4"}, {"s2", "dc2", "r5"}},
         1,
         0,
         ""},
        {"what is lent already counts against it",
         {{"s1", "dc1", "r4"}, {"s2", "dc2", "r5", State::Lent}},
         0.5,
         0,
         ""},
        {"what is out cannot be lent",
         {{"s1", "dc1", "r4", State::Draining}, {"s2", "dc1", "r5", State::Done}},
         0,
         1,
         "s2"},
        {"nothing left", {{"s1", "dc1", "r4", State::Failed}}, 0, 0, ""},
    }));
    INFO(row.title);
    const auto spare = poolOf(row.spare, row.availability, 0);
    CHECK(lendable(spare) == row.lendable);
    CHECK(chooseToLend(spare, borrower).value_or("") == row.chosen);
}

TEST_CASE("a borrowed VM goes back only if the borrower's budget allows it")
{
    // A wave has taken VMs out that rest on the borrowed ones. Given back too soon, callers of the
    // service would find fewer VMs than it promises.
    const auto row = GENERATE(values<GiveBackCase>({
        {"nothing out", 0, 1, true},
        {"within the own budget", 1, 1, true},
        {"rests on the borrowed one", 2, 1, false},
        {"rests on one of two", 2, 2, true},
        {"more out than ever allowed", 4, 2, false},
    }));
    INFO(row.title);
    std::vector<WaveVm> vms;
    for (std::size_t i = 0; i < 4; ++i)
        vms.push_back(
            {"w" + std::to_string(i), "dc", "r", i < row.out ? State::Draining : State::Done});
    CHECK(mayGiveBack(poolOf(vms, 0.75, row.borrowed)) == row.may);
}
