// The store's writes, shared by the live entry VMs.
#include <sassafrasferry/policy/write_pace.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::policy;
using namespace std::chrono_literals;

namespace {

// Transactions that one entry VM sends in a span if it always has one to send.
int sentIn(WritePace &pace, Instant begin, Duration span)
{
    int sent = 0;
    for (auto now = begin; now < begin + span; now += 1ms) {
        while (pace.next() <= now) {
            pace.taken(now);
            ++sent;
        }
    }
    return sent;
}

struct Case
{
    std::string title;
    std::size_t entries;
};

} // namespace

TEST_CASE("all entry VMs together stay within the store's writes")
{
    // With a fixed gap of 25 ms, sixty entry VMs sent 2,400 transactions a second to a store that
    // takes several hundred: claims timed out, and every keyed request ended as unknown.
    constexpr double perSecond = 280;
    const auto row = GENERATE(values<Case>({{"one", 1}, {"today", 7}, {"two years out", 60}}));
    INFO(row.title);
    WritePace pace(perSecond, row.entries);
    const auto sent = sentIn(pace, Instant{} + 1h, 10s) * static_cast<int>(row.entries);
    const auto bursts = WritePace::burst * static_cast<int>(row.entries);
    CHECK(sent <= static_cast<int>(10 * perSecond) + bursts);
    CHECK(sent >= static_cast<int>(10 * perSecond * 0.95));
}

TEST_CASE("a lone request's claim and its completion wait for nothing")
{
    WritePace pace(280, 7);
    const auto now = Instant{} + 1h;
    CHECK(pace.next() <= now);
    pace.taken(now);
    CHECK(pace.next() <= now + 5ms);
}

TEST_CASE("an entry VM that joins or leaves changes the pace of the others")
{
    WritePace pace(280, 7);
    const auto before = pace.interval();
    pace.setEntries(14);
    CHECK(pace.interval() == 2 * before);
    pace.setEntries(0);
    CHECK(pace.interval() == before / 7);
}
