// What pools want under surges, backlogs and lasting work.
#include <sassafrasferry/scheduling/pool_sizing.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

namespace {

constexpr double vmCores = 16;

ServiceLoad loadOf(std::int64_t running, std::int64_t late, std::int64_t ready, double onTimeShare)
{
    ServiceLoad load;
    load.running.cpu = running * 1000;
    load.lateRunning.cpu = late * 1000;
    load.ready.cpu = ready * 1000;
    load.readySeconds = static_cast<double>(ready);
    load.onTimeSeconds = load.readySeconds * onTimeShare;
    return load;
}

} // namespace

TEST_CASE("needs of a pool by its load")
{
    struct Case
    {
        const char *name;
        ServiceLoad load;
        double arriving; ///< core-seconds at once
        PoolNeed need;
    };
    const std::vector<Case> cases{
        {"idle", {}, 0, {1, 1, 1}},
        {"work that can be on time", loadOf(160, 0, 160, 1), 0, {23, 23, 23}},
        {"a backlog that is late", loadOf(160, 160, 160, 0), 0, {15, 12, 1}},
        {"more arrives than waits", loadOf(16, 0, 0, 1), 80, {12, 12, 12}},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        PoolSizing sizing({});
        const Instant now(1h);
        sizing.arrived({}, now);
        sizing.arrived({{"s", row.arriving}}, now);
        const auto need = sizing.needOf("s", row.load, vmCores, 1, now);
        CHECK(need.wanted == row.need.wanted);
        CHECK(need.onTime == row.need.onTime);
        CHECK(need.kept == row.need.kept);
    }
}

TEST_CASE("a need is remembered for a moment, but not held against other pools' on-time work")
{
    PoolSizing sizing({});
    const Instant now(1h);
    sizing.arrived({}, now);
    sizing.needOf("s", loadOf(160, 0, 0, 1), vmCores, 12, now);
    const auto soon = sizing.needOf("s", {}, vmCores, 12, now + 100ms);
    CHECK(soon.wanted == 12);
    CHECK(soon.kept == 1);
    CHECK(sizing.needOf("s", {}, vmCores, 12, now + 2s).wanted == 1);
}
