// Jobs in a world of faults, on virtual time: no task runs twice at once or again after an end that
// was noted, none starts before its time or beyond its attempts, and every job ends.
#include "../tests/job_world.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace sassafrasferry::scheduling::tests;

namespace {

jobs::JobSpec chainOfTwo(std::size_t width)
{
    jobs::StepSpec first;
    first.count = width;
    first.need = {1000, 100, 0};
    first.estimate = 1s;
    auto second = first;
    second.after = {0};
    return {"payload", {first, second}, 0, 0, 0ms};
}

struct Case
{
    const char *name;
    Faults faults;
};

// One fault alone, and all of them together. By the names of `Faults`.
const std::vector<Case> cases{
    {"calm", {}},
    {"answers lost", {.lostAnswer = 0.1}},
    {"orders carried out late", {.lateOrder = 0.1}},
    {"workers crash and return", {.crash = 0.1}},
    {"workers go dark", {.dark = 0.05}},
    {"workers are cut off and run on", {.cut = 0.15}},
    {"leaders die", {.leaderLoss = 0.3}},
    {"leaders lose the store and go on", {.storeCut = 0.3}},
    {"runs fail", {.failure = 0.2}},
    {"late orders across takeovers", {.lateOrder = 0.1, .leaderLoss = 0.3, .storeCut = 0.2}},
    {"cuts across takeovers", {.cut = 0.15, .leaderLoss = 0.3, .storeCut = 0.3}},
    {"all",
     {.lostAnswer = 0.05,
      .lateOrder = 0.05,
      .crash = 0.05,
      .dark = 0.02,
      .cut = 0.1,
      .leaderLoss = 0.1,
      .storeCut = 0.1,
      .failure = 0.1}},
};

// More seeds by hand: WORLD_SEEDS=1000.
std::uint64_t seedsPerCase()
{
    constexpr std::uint64_t usual = 25;
    const auto *text = std::getenv("WORLD_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : usual;
}

} // namespace

// The caller sees a job that never ends, or two bills for one job. Faults come for 30 s while jobs
// are handed in, then the world is calm until all must be over.
TEST_CASE("Every job ends once in a world of faults")
{
    for (const auto &row : cases) {
        std::size_t starts = 0;
        for (std::uint64_t seed = 1; seed <= seedsPerCase(); ++seed) {
            JobWorld world(seed, row.faults);
            for (int i = 0; i < 30; ++i) {
                world.addJob("j" + std::to_string(i), chainOfTwo(2 + i % 8));
                world.run(1s, true);
            }
            world.run(60s, false);
            INFO(row.name << " seed " << seed);
            CHECK(world.violations() == std::vector<std::string>{});
            CHECK(world.openJobs() == 0);
            starts += world.starts();
        }
        WARN(row.name << ": " << starts << " starts");
    }
}
