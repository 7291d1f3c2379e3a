// Tests of which jobs of a backlog are selected to be on time.
#include <sassafrasferry/scheduling/on_time_selection.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;
using sassafrasferry::policy::fromSeconds;

namespace {

constexpr Instant start{1h};
constexpr double cores = 1000;
constexpr double jobSeconds = 46; // core-seconds of a job
constexpr auto path = 1000ms;
constexpr auto slack = 1200ms;

BacklogJob jobOf(Instant acceptedAt)
{
    return {acceptedAt + path + slack, path, jobSeconds, false};
}

/// Jobs on time when `jobs` arrive each second for `duration`, with or without the selection, on
/// workers that take one job after another and finish each `path` after its turn.
std::size_t playLoad(double jobsPerSecond, Duration duration, bool isSelecting)
{
    struct Waiting
    {
        BacklogJob job;
        bool isPassedOver = false;
    };
    std::vector<Waiting> backlog;
    std::size_t onTime = 0;
    std::size_t placed = 0;
    double arrived = 0;
    double capacity = 0; // core-seconds that are free so far
    constexpr auto tick = 10ms;
    for (auto now = start; now < start + duration; now += tick) {
        for (arrived += jobsPerSecond * 0.01; arrived >= 1; --arrived)
            backlog.push_back({jobOf(now)});
        std::vector<BacklogJob> jobs;
        for (const auto &waiting : backlog)
            jobs.push_back(waiting.job);
        const auto isSelected = selectOnTime(jobs, cores, now);
        for (std::size_t i = 0; i < backlog.size(); ++i)
            backlog[i].isPassedOver = isSelecting && !isSelected[i];
        std::stable_sort(backlog.begin(), backlog.end(), [&](const Waiting &a, const Waiting &b) {
            const auto isLate = [&](const Waiting &waiting) {
                return now + waiting.job.remainingPath > waiting.job.objective;
            };
            return std::make_pair(isLate(a), a.isPassedOver)
                   < std::make_pair(isLate(b), b.isPassedOver);
        });
        capacity = std::min(capacity + cores * 0.01, cores * 0.02 + jobSeconds);
        while (!backlog.empty() && capacity >= jobSeconds) {
            capacity -= jobSeconds;
            // Run times exceed their estimates for one job in three.
            const auto error = placed++ % 3 == 0 ? 150ms : 0ms;
            onTime += now + path + error <= backlog.front().job.objective ? 1 : 0;
            backlog.erase(backlog.begin());
        }
    }
    return onTime;
}

} // namespace

TEST_CASE("a job is selected if it can be on time beside those before it")
{
    struct Case
    {
        const char *name;
        double cores;
        double before; ///< core-seconds selected before
        double after; ///< core-seconds of jobs after it, for which there is no time
        BacklogJob job;
        bool isSelected;
    };
    const BacklogJob startedJob{start + path + slack, path, jobSeconds, true};
    const std::vector<Case> cases{
        {"nothing before", cores, 0, 0, jobOf(start), true},
        {"a short wait", cores, 500, 0, jobOf(start), true},
        {"a wait within the slack", cores, 1000, 0, jobOf(start), true},
        {"the same under much overload", cores, 1000, 5000, jobOf(start), false},
        {"a short wait under much overload", cores, 500, 5000, jobOf(start), true},
        {"a wait beyond the slack", cores, 1300, 0, jobOf(start), false},
        {"started before", cores, 1300, 5000, startedJob, true},
        {"late already", cores, 0, 0, jobOf(start - 2 * slack), false},
        {"started and late", cores, 0, 0, {start, path, jobSeconds, true}, false},
        {"no workers, nothing before", 0, 0, 0, jobOf(start), true},
        {"no workers", 0, 1, 0, jobOf(start), false},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        const std::vector<BacklogJob> jobs{
            {start + 1h, path, row.before, true}, row.job, {start, path, row.after, false}};
        CHECK(selectOnTime(jobs, row.cores, start)[1] == row.isSelected);
    }
}

// Guards against serving an ever older backlog, in which each job starts when it is just too late.
TEST_CASE("the number of jobs on time does not fall as the load grows")
{
    constexpr auto duration = 20s;
    const auto capacity = cores / jobSeconds;
    std::size_t atCapacity = playLoad(capacity, duration, true);
    for (const auto load : {1.5, 2.0, 3.0, 4.0}) {
        INFO(load);
        CHECK(playLoad(capacity * load, duration, true) * 100 >= atCapacity * 95);
    }
    // The same load without the selection shows the failure.
    CHECK(playLoad(capacity * 2, duration, false) * 100 < atCapacity * 80);
}
