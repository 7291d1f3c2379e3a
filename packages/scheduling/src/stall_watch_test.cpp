// Workers that end their tasks as usual, slowly, or not at all.
#include <sassafrasferry/scheduling/estimate_model.h>
#include <sassafrasferry/scheduling/stall_watch.h>

#include <catch2/catch.hpp>

#include "../tests/scheduler_bench.h"

#include <cmath>
#include <random>

using namespace sassafrasferry::scheduling;
using sassafrasferry::jobs::Milliseconds;

namespace {

constexpr double step = 0.05; // seconds

/// When a worker with `slots` tasks of a second each, `slowness` times as slow as usual, is found
/// stalled; `seconds` if it is not.
double foundAfter(std::size_t slots, double slowness, double seconds, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::normal_distribution<double> normal;
    const auto draw = [&] {
        return std::exp(0.5 * normal(random));
    };
    EstimateModel model;
    for (int i = 0; i < 400; ++i)
        model.observe(Milliseconds(1000), Milliseconds(std::llround(1000 * draw())));
    struct Task
    {
        double age = 0;
        double work = 0;
    };
    std::vector<Task> tasks(slots);
    for (auto &task : tasks)
        task.work = draw() * slowness;
    StallWatch watch;
    const auto hazard = [&](double age) {
        return model.hazard(Milliseconds(1000), Milliseconds(std::llround(age * 1000)));
    };
    for (double now = 0; now < seconds; now += step) {
        double expected = 0;
        for (auto &task : tasks) {
            expected += hazard(task.age + step) - hazard(task.age);
            task.age += step;
        }
        watch.expect(expected);
        for (auto &task : tasks) {
            if (task.age < task.work)
                continue;
            watch.ended();
            task = {0, draw() * slowness};
        }
        if (watch.isStalled())
            return now;
    }
    return seconds;
}

} // namespace

TEST_CASE("a worker that ends too little is found, and no other")
{
    struct Case
    {
        const char *name;
        std::size_t slots;
        double slowness;
        double seconds;
        double least;
        double most;
    };
    const std::vector<Case> cases{
        {"sound for a minute", 12, 1, 60, 60, 60}, {"sound, few tasks", 2, 1, 60, 60, 60},
        {"a little slow", 12, 1.2, 10, 10, 10},    {"hangs", 12, 1e6, 10, 0.3, 3},
        {"hangs, few tasks", 2, 1e6, 10, 1, 8},    {"seven times as slow", 12, 7, 10, 0.3, 3},
    };
    for (const auto &row : cases) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            INFO(row.name << ", seed " << seed);
            const auto found = foundAfter(row.slots, row.slowness, row.seconds, seed);
            CHECK(found >= row.least - 2 * step);
            CHECK(found <= row.most);
        }
    }
}

namespace {

/// Workers `w0` to `w3`, four tasks on each; then all but one end theirs at the usual pace.
struct Floor
{
    Floor()
        : bench(4)
    {
        this->bench.reportAll(4);
        for (int round = 0; round < 30; ++round)
            this->turn("");
    }

    /// A second passes, and all tasks end but those on `stalled`.
    void turn(const std::string &stalled)
    {
        this->bench.add("j" + std::to_string(++this->jobCount), {stepOf(16)});
        const auto orders = this->bench.plan();
        this->bench.acceptAll(orders);
        for (const auto &start : orders.starts)
            this->running[start.worker].push_back(start);
        for (int part = 0; part < 10; ++part) {
            this->bench.now += 100ms;
            for (auto &entry : this->running)
                this->report(entry.first, part == 9 && entry.first != stalled);
            const auto later = this->bench.plan();
            for (const auto &stop : later.stops)
                this->stopped.insert(stop.worker);
            this->bench.acceptAll(later);
            for (const auto &start : later.starts)
                this->running[start.worker].push_back(start);
        }
        this->bench.record();
    }

    void report(const std::string &worker, bool ends)
    {
        std::vector<ListedRun> listed;
        std::vector<ListedEnd> ended;
        for (const auto &start : this->running[worker]) {
            if (ends)
                ended.push_back(endOf(start, ++this->ends[worker], sassafrasferry::jobs::RunEnd::Done));
            else
                listed.push_back({start.task, start.run, "", 100, 0});
        }
        if (ends)
            this->running[worker].clear();
        this->bench.report(worker, listed, ended);
    }

    Bench bench;
    std::map<std::string, std::vector<StartOrder>> running;
    std::map<std::string, std::int64_t> ends;
    std::set<std::string> stopped;
    std::size_t jobCount = 0;
};

} // namespace

// Jobs were late by five seconds: a worker answered, took starts, and none of its tasks got on.
TEST_CASE("tasks on a worker that stands still are started elsewhere")
{
    Floor floor;
    CHECK(floor.stopped.empty());
    for (int round = 0; round < 4 && floor.stopped.empty(); ++round)
        floor.turn("w2");
    CHECK(floor.stopped == std::set<std::string>{"w2"});
}
