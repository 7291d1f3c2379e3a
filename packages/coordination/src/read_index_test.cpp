// How old the rows are that were read up to a version.
#include <sassafrasferry/coordination/read_index.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

struct Confirmed
{
    std::int64_t version;
    std::chrono::milliseconds at;
};

struct Case
{
    std::string name;
    std::vector<Confirmed> confirmed;
    std::int64_t read; ///< all changes up to this version were read
    std::chrono::milliseconds covered; ///< expected
};

const Instant start{1h};

const std::vector<Confirmed> renewals{{10, 400ms}, {25, 800ms}, {60, 1200ms}};

const std::vector<Case> cases{
    {"nothing confirmed", {}, 50, -1h},
    {"read nothing that was confirmed", renewals, 9, -1h},
    {"read just the first confirmation", renewals, 10, 400ms},
    {"read a change between two confirmations", renewals, 59, 800ms},
    {"read all", renewals, 60, 1200ms},
    {"read beyond the newest confirmation", renewals, 900, 1200ms},
    {"confirmations in quick succession", {{10, 400ms}, {11, 410ms}, {30, 510ms}}, 29, 400ms},
    {"a confirmation that arrives after a newer one", {{25, 800ms}, {10, 900ms}}, 10, -1h},
};

} // namespace

// Guards against rows that count as recent because the store answered another call: only a version
// that the rows contain proves their age.
TEST_CASE("Rows are as old as the newest confirmation that they contain")
{
    const auto row = GENERATE(from_range(cases));
    CAPTURE(row.name);
    ReadIndex index;
    for (const auto &confirmed : row.confirmed)
        index.confirm(confirmed.version, start + confirmed.at);
    CHECK(index.coveredUntil(row.read) == start + row.covered);
}

TEST_CASE("Confirmations of several seconds are remembered")
{
    ReadIndex index;
    for (int i = 0; i < 10000; ++i)
        index.confirm(i, start + i * 10ms);
    const auto span = index.newest() - index.coveredUntil(8950);
    CHECK(span >= 10s);
    CHECK(span < 11s);
    CHECK(index.coveredUntil(100) == Instant{});
}
