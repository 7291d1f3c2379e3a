// VMs on which waiting tasks have room stay in their pools and take work.
#include "../tests/fleet_fixture.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

namespace {

constexpr Resources vmSize{32000, 100000, 4};

Place placeOf(const std::string &vm, const Resources &room, const Resources &roomAfterEnds,
              bool cordoned = true)
{
    const bool canLeave = roomAfterEnds == vmSize;
    return {vm, vmSize, room, roomAfterEnds, {"kind"}, true, canLeave, cordoned};
}

struct ChoiceCase
{
    std::string name;
    PlaceNeed need;
    std::vector<Place> places;
    std::set<std::string> kept;
    std::size_t lacking;
};

const auto busy = placeOf("busy", {5000, 13000, 0}, {5000, 13000, 0}, false);
const auto shortlyFree = placeOf("short", {1000, 5000, 0}, vmSize, false);
const auto idle = placeOf("idle", vmSize, vmSize);
const auto idleToo = placeOf("idle2", vmSize, vmSize);

PlaceNeed needOf(const Resources &task, std::size_t together = 1, const std::string &label = "",
                 std::size_t perVmLimit = 0)
{
    return {task, together, label, perVmLimit, false};
}

PlaceNeed forIdleJob(const Resources &task)
{
    return {task, 1, "", 0, true};
}

const std::vector<ChoiceCase> choices{
    {"room beside long-running tasks", needOf({4000, 10000, 0}), {busy, idle}, {}, 0},
    {"memory only on a cordoned VM", needOf({3800, 33000, 0}), {busy, idle, idleToo}, {"idle"}, 0},
    {"accelerators only on a cordoned VM", needOf({1000, 10, 2}), {busy, idle}, {"idle"}, 0},
    {"cores only on a cordoned VM", needOf({16000, 10, 0}), {busy, idle}, {"idle"}, 0},
    {"tasks that end make room", needOf({3800, 33000, 0}), {busy, shortlyFree, idle}, {"short"}, 0},
    {"nothing of the job runs and the pool is mostly idle",
     forIdleJob({3800, 33000, 0}),
     {shortlyFree, idle, idleToo},
     {"idle"},
     0},
    {"nothing of the job runs and the pool is in use",
     forIdleJob({3800, 33000, 0}),
     {shortlyFree, busy, idle},
     {"short"},
     0},
    {"tasks that start together",
     needOf({3800, 60000, 0}, 2),
     {busy, idle, idleToo},
     {"idle", "idle2"},
     0},
    {"too many tasks that start together",
     needOf({3800, 60000, 0}, 3),
     {busy, idle, idleToo},
     {},
     1},
    {"at most one task on a VM", needOf({1000, 10, 0}, 2, "", 1), {busy, idle}, {"idle"}, 0},
    {"larger than any VM", needOf({3800, 200000, 0}), {busy, idle}, {}, 1},
    {"a label that no VM has", needOf({1000, 10, 0}, 1, "other"), {busy, idle}, {}, 1},
    {"no VM", needOf({1000, 10, 0}), {}, {}, 1},
};

jobs::StepSpec stepOf(std::size_t count, const Resources &need)
{
    jobs::StepSpec step;
    step.count = count;
    step.need = need;
    return step;
}

/// Two VMs with long-running tasks, by the cores of all tasks enough, and what comes then.
struct Replay
{
    std::string name;
    std::size_t idleVms; ///< of the pool
    std::size_t standbyVms;
    std::vector<jobs::StepSpec> steps;
    std::size_t started; ///< tasks
    std::size_t moves;
};

jobs::StepSpec gangOf(std::size_t count, const Resources &need)
{
    auto step = stepOf(count, need);
    step.gang = true;
    return step;
}

const std::vector<Replay> replays{
    {"a task large in memory", 6, 0, {stepOf(1, {3800, 33000, 0})}, 1, 0},
    {"a gang of large tasks", 6, 0, {gangOf(4, {100, 60000, 0})}, 4, 0},
    {"a task that fits nowhere", 6, 0, {stepOf(1, {3800, 200000, 0})}, 0, 0},
    {"a task that fits nowhere beside one that fits",
     6,
     0,
     {stepOf(1, {3800, 200000, 0}), stepOf(1, {3800, 33000, 0})},
     1,
     0},
    {"a large task and standby VMs", 0, 6, {stepOf(1, {3800, 33000, 0})}, 1, 1},
    {"a gang of large tasks and standby VMs", 0, 6, {gangOf(4, {100, 60000, 0})}, 4, 4},
    {"a task that fits nowhere and standby VMs", 0, 6, {stepOf(1, {3800, 200000, 0})}, 0, 0},
    {"a gang that fits nowhere and standby VMs", 0, 6, {gangOf(9, {100, 60000, 0})}, 0, 0},
};

/// Runs the pool for some seconds, and counts starts of short tasks and moves to the pool.
struct PoolPlay
{
    explicit PoolPlay(const Replay &replay)
        : fixture(2 + replay.idleVms, 0, replay.standbyVms, timesOf(replay))
    {}

    // Without a standby pool idle VMs are only held back.
    static SchedulerTimes timesOf(const Replay &replay)
    {
        SchedulerTimes times;
        if (replay.standbyVms == 0)
            times.mechanisms.switchOff(Mechanism::Standby);
        return times;
    }

    void run(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            this->fixture.now += 100ms;
            this->fixture.reportAll();
            for (const auto &order : this->fixture.plan()) {
                this->moves += order.pool == "one" ? 1 : 0;
                this->fixture.planner.handleAnswer(order, FleetAnswer::Accepted,
                                                   this->fixture.scheduler, this->fixture.now);
                if (order.pool != "off")
                    this->fixture.addWorker(order.vm, order.pool, order.vm + std::to_string(i));
            }
            for (const auto &order : this->fixture.scheduler.plan(this->fixture.now, 0).starts) {
                this->fixture.scheduler.startAnswered(order, OrderAnswer::Accepted,
                                                      this->fixture.now);
                ++this->starts;
            }
        }
    }

    FleetFixture fixture;
    std::size_t starts = 0;
    std::size_t moves = 0;
};

} // namespace

TEST_CASE("Waiting tasks keep the VMs on which they have room")
{
    const auto row = GENERATE(from_range(choices));
    CAPTURE(row.name);
    const auto choice = choosePlaces({row.need}, row.places);
    CHECK(choice.kept == row.kept);
    CHECK((choice.unplaced.empty() ? 0 : choice.unplaced.front().lacking) == row.lacking);
}

// Guards against a job that waits without end beside idle VMs, which are held back or moved away
// because the cores of others are enough; and against a task that fits nowhere and takes VMs.
TEST_CASE("A task starts on an idle VM although the cores of others would be enough")
{
    const auto row = GENERATE(from_range(replays));
    CAPTURE(row.name);
    PoolPlay play(row);
    auto lasting = stepOf(6, {8000, 29000, 0});
    lasting.lasting = true;
    play.run(20);
    play.fixture.addJob("one", lasting);
    play.run(20);
    REQUIRE(play.starts == 6);
    const auto movesBefore = play.moves;
    for (const auto &step : row.steps)
        play.fixture.addJob("one", step);
    play.run(30);
    CHECK(play.starts - 6 == row.started);
    CHECK(play.moves - movesBefore == row.moves);
}
