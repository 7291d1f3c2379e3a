// Tests of which submitted jobs are accepted under overload.
#include <sassafrasferry/scheduling/admission.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

namespace {

constexpr double fleetCores = 1000;
const SubmittedJob draft{1000ms, 2200ms};

ServiceLoad loadOf(std::int64_t cores, double onTimeSeconds, double lateSeconds)
{
    ServiceLoad load;
    load.workers = 1;
    load.capacity.cpu = cores * 1000;
    load.onTimeSeconds = onTimeSeconds;
    load.readySeconds = onTimeSeconds + lateSeconds;
    return load;
}

/// Core-seconds that callers waited for in vain, and the longest backlog, when work arrives at
/// `load` times the capacity for `loadTime`. On-time work is done first.
struct Overload
{
    double uselessSeconds = 0;
    double refusedSeconds = 0;
    double onTimeSeconds = 0;
};

Overload playOverload(double load, Duration loadTime, bool isAdmitting)
{
    Overload result;
    double late = 0;
    constexpr auto tick = 50ms;
    constexpr double tickSeconds = 0.05;
    std::vector<std::pair<Duration, double>> lateWork; // by arrival
    for (Duration now{}; now < loadTime + 60s; now += tick) {
        const auto rate = now < loadTime ? load : 0.3;
        const auto arrived = rate * fleetCores * tickSeconds;
        const auto capacity = fleetCores * tickSeconds;
        const auto outlook = outlooksOf({{"s", loadOf(fleetCores, rate * 1200, late)}}, fleetCores);
        const bool isAccepted = !isAdmitting || isAdmitted(draft, outlook.at("s"));
        const auto onTime = std::min(arrived, capacity);
        result.onTimeSeconds += onTime;
        if (isAccepted)
            lateWork.emplace_back(now, arrived - onTime);
        else
            result.refusedSeconds += arrived - onTime;
        auto left = capacity - onTime;
        late = 0;
        for (auto &work : lateWork) {
            const auto done = std::min(left, work.second);
            left -= done;
            work.second -= done;
            late += work.second;
            if (now - work.first > 3 * draft.objective)
                result.uselessSeconds += done;
        }
    }
    return result;
}

} // namespace

TEST_CASE("a job is refused only if it can be neither on time nor of use later")
{
    struct Case
    {
        const char *name;
        ServiceLoad load;
        double otherLateSeconds; ///< of another service
        bool isAdmitted;
    };
    const std::vector<Case> cases{
        {"idle", loadOf(100, 0, 0), 0, true},
        {"no workers yet", loadOf(0, 500, 5000), 0, true},
        {"a surge beyond the pool, whose VMs come", loadOf(100, 900, 0), 0, true},
        {"a surge and some late work", loadOf(100, 900, 1000), 1000, true},
        {"late work, room for on-time work", loadOf(100, 50, 5000), 0, true},
        {"a surge and late work for long", loadOf(100, 900, 3000), 0, false},
        {"a surge beside late work of others", loadOf(100, 900, 0), 3000, false},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        const auto outlooks =
            outlooksOf({{"s", row.load}, {"other", loadOf(100, 0, row.otherLateSeconds)}},
                       fleetCores);
        const auto at = outlooks.find("s");
        CHECK((at == outlooks.end() || isAdmitted(draft, at->second)) == row.isAdmitted);
    }
}

TEST_CASE("the time to admission follows from the late work")
{
    CHECK(timeToAdmission(draft, {0s, 1s}) == 0s);
    CHECK(timeToAdmission(draft, {0s, 8600ms}) == 3s);
}

// Guards against accepting jobs of which all would end long after their callers have left.
TEST_CASE("work that would be useless to its callers is mostly refused under overload")
{
    for (const auto load : {1.0, 1.5, 2.0, 4.0}) {
        INFO(load);
        const auto before = playOverload(load, 20s, false);
        const auto after = playOverload(load, 20s, true);
        CHECK(after.onTimeSeconds == Approx(before.onTimeSeconds));
        CHECK(after.uselessSeconds <= before.uselessSeconds);
        if (load >= 2)
            CHECK(after.uselessSeconds < before.uselessSeconds / 2);
        if (load <= 1)
            CHECK(after.refusedSeconds == 0);
    }
}
