// Demand: measured over seconds, told when it matters, summed over live entry VMs.
#include <sassafrasferry/policy/demand.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::policy;
using namespace std::chrono_literals;

namespace {

const Instant start{100s};

} // namespace

TEST_CASE("offered work is that of the last whole seconds")
{
    // 10 requests of 200 ms a second keep two slots busy. The second that has just begun does not
    // count yet: at its start it would make the demand look small.
    OfferedWork offered;
    for (auto at = start; at < start + 8s; at += 100ms)
        offered.add(200ms, at);
    CHECK(offered.slots(start + 8s) == Approx(2));
    CHECK(offered.slots(start + 8s + 900ms) == Approx(2));
    CHECK(offered.slots(start + 10s) == Approx(1));
    CHECK(offered.slots(start + 13s) == Approx(0));
}

TEST_CASE("only demand that changed enough is told")
{
    // Sixty entry VMs each see a small part. A bound in slots would hide all of it from the holder.
    struct Row
    {
        std::size_t entries;
        double before;
        double now;
        bool isTold;
    };
    const auto row = GENERATE(values<Row>({
        {1, 10, 12, false},
        {1, 10, 14, true},
        {1, 10, 0, true},
        {10, 1, 1.2, false},
        {10, 1, 1.4, true},
        {60, 0, 0.04, false},
        {60, 0, 0.06, true},
    }));
    DemandTold told;
    constexpr double capacity = 32;
    told.due({{"p", row.before, capacity}}, "e1", row.entries);
    const auto report = told.due({{"p", row.now, capacity}}, "e1", row.entries);
    CHECK(report.pools.empty() != row.isTold);
    CHECK_FALSE(report.isWhole);
    CHECK(told.due({{"p", row.now, capacity}}, "e1", row.entries).pools.empty());
}

TEST_CASE("a new holder is told everything, and each holder now and then")
{
    const std::vector<PoolDemand> steady{{"p", 10, 32}, {"q", 0, 32}};
    DemandTold told;
    const auto first = told.due(steady, "e1", 1);
    CHECK(first.isWhole);
    CHECK(first.pools.size() == 1);
    CHECK_FALSE(told.due(steady, "e1", 1).isWhole);
    CHECK(told.due(steady, "e2", 1).isWhole);
    int rounds = 1;
    while (!told.due(steady, "e2", 1).isWhole)
        ++rounds;
    CHECK(rounds == 150);
}

TEST_CASE("the holder sums what live entry VMs have told")
{
    // A message may be lost: what a whole report does not name is nothing, what another one does
    // not name is as before. An entry VM that died offers nothing.
    DemandHeard heard;
    heard.heard("e1", {{{"p", 3, 0}, {"q", 1, 0}}, true});
    heard.heard("e2", {{{"p", 4, 0}}, true});
    CHECK(heard.slots("p", {"e1", "e2"}) == Approx(7));
    heard.heard("e1", {{{"q", 2, 0}}, false});
    CHECK(heard.slots("p", {"e1", "e2"}) == Approx(7));
    CHECK(heard.slots("q", {"e1", "e2"}) == Approx(2));
    heard.heard("e1", {{{"q", 2, 0}}, true});
    CHECK(heard.slots("p", {"e1", "e2"}) == Approx(4));
    CHECK(heard.slots("p", {"e1"}) == Approx(0));
}
