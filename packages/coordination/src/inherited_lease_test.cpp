// How long a new leader waits for a worker that does not answer.
#include <sassafrasferry/coordination/inherited_lease.h>

#include <sassafrasferry/coordination/leadership.h>
#include <sassafrasferry/coordination/spawn.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include "../tests/memory_store.h"

#include "../../scheduling/tests/scheduler_bench.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

// A lasting task has to run again 9 s after its last run ended: within 3 s, from 6 s on.
constexpr Duration maxAbsence = 9s;
constexpr Duration renewalPeriod = LeadershipTimes{}.renew;
// From the last renewal of a leader that is lost until another entry VM first reads the row as it
// was renewed last.
constexpr Duration maxReadLag = 600ms;

} // namespace

// Guards against a lasting task that stays away for over 9 s with room for it: its worker is lost
// together with the leader, and the successor waits for a lease that can't be valid any more.
TEST_CASE("A lasting task that was lost with the leader runs again within 9 s")
{
    const Duration takeover = GENERATE(1600ms, 2200ms, 3500ms, 6000ms); // after the loss
    CAPTURE(takeover / 1ms);
    const auto lostAt = scheduling::start;
    Tenure tenure;
    tenure.term = 2;
    tenure.predecessorConfirmedBy = lostAt + maxReadLag;
    tenure.limitsLeases = true;
    scheduling::SchedulerTimes times;
    const auto tookOverAt = lostAt + takeover;
    times.inheritedLease = inheritedLease(tenure, times, LeadershipTimes{}, tookOverAt);
    scheduling::Bench bench(2, 4000, true, times, tookOverAt);
    bench.scheduler.setAllWorkersKnown();
    bench.add("j", {scheduling::lastingStep(1, 1)}, true);
    std::size_t starts = 0;
    auto renewedAt = tookOverAt;
    for (; starts == 0 && bench.now < lostAt + 20s; bench.now += 50ms) {
        if (bench.now - renewedAt >= renewalPeriod)
            renewedAt = bench.now;
        bench.scheduler.setLeadConfirmed(renewedAt);
        bench.report("w0");
        starts += bench.plan().starts.size();
    }
    CHECK(bench.now - lostAt <= maxAbsence);
}

// Guards against tasks that run twice: a successor starts a task while its predecessor, which lost
// the store and lives on, has granted a lease that lasts longer.
TEST_CASE("No lease of a leader outlasts the wait of its successor")
{
    const LeadershipTimes leadership;
    const auto sinceConfirmed = GENERATE(0ms, 3000ms, 4500ms, 6400ms);
    const auto takeover =
        GENERATE(1600ms, 3000ms, 6000ms, 9000ms); // after the row was last renewed
    CAPTURE(sinceConfirmed.count(), takeover.count());
    const auto confirmedAt = scheduling::start;
    scheduling::SchedulerTimes times;
    scheduling::Bench bench(1);
    bench.now = confirmedAt + sinceConfirmed;
    bench.report("w0");
    const auto clock = bench.scheduler.findWorker("w0")->clock;
    const auto until =
        bench.scheduler.leaseUntil("w0", bench.now, confirmedAt + leadership.leaseLimit);
    REQUIRE(until);
    const Duration granted = std::chrono::milliseconds(*until - clock);
    CHECK(granted <= times.workerLease);
    const auto slowClockEnd =
        bench.now + policy::fromSeconds(policy::seconds(granted) * (1 + times.clockDrift));
    Tenure tenure;
    tenure.predecessorConfirmedBy = confirmedAt;
    tenure.limitsLeases = true;
    const auto tookOverAt = confirmedAt + takeover;
    const auto wait = inheritedLease(tenure, times, leadership, tookOverAt);
    CHECK(wait >= minSurveyTime);
    CHECK(tookOverAt + wait >= slowClockEnd);
}

TEST_CASE("A leader grants no lease once its limit has passed")
{
    scheduling::Bench bench(1);
    bench.report("w0");
    CHECK_FALSE(bench.scheduler.leaseUntil("w0", bench.now, bench.now));
    CHECK(bench.scheduler.leaseUntil("w0", bench.now, bench.now + 1ms));
}

TEST_CASE("The wait of a successor depends on what is known of its predecessor")
{
    struct Case
    {
        const char *name;
        bool hasStopped;
        bool limitsLeases;
        Duration wait;
    };
    const std::vector<Case> cases{
        {"has stopped", true, true, 4230ms},
        {"may live on, and limits its leases", false, true, 7800ms - 2000ms},
        {"may live on, of an earlier version", false, false, 4230ms + 6500ms},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        Tenure tenure;
        tenure.predecessorStopped = row.hasStopped;
        tenure.limitsLeases = row.limitsLeases;
        tenure.predecessorConfirmedBy = scheduling::start;
        const auto wait = inheritedLease(tenure, {}, {}, scheduling::start + 2s);
        CHECK(wait / 1ms == row.wait / 1ms);
    }
}

// Guards against a successor that doesn't know which workers have restarted lately, and takes their
// leases for shorter than they are.
TEST_CASE("The lease row tells a successor which workers have restarted")
{
    http::asio::io_context context;
    MemoryStore store;
    const auto until = bootNow() + 9s;
    const auto noVms = [] {
        return std::vector<std::string>{};
    };
    const auto noOrders = [] {
        return std::vector<scheduling::OpenVmOrder>{};
    };
    const auto ignoreLoss = [](const std::string &) {
    };
    Leadership<MemoryStore> first(
        store, "first", {"127.0.0.1", 1}, 1,
        {[](const Tenure &) {}, ignoreLoss, noVms, noOrders,
         [until] {
             return std::vector<scheduling::RestartedWorker>{{"w", until}};
         }});
    Tenure taken;
    Leadership<MemoryStore> second(store, "second", {"127.0.0.1", 2}, 2,
                                   {[&](const Tenure &tenure) { taken = tenure; }, ignoreLoss});
    const auto runUntil = [&](const auto &condition) {
        while (!condition())
            context.run_one();
    };
    spawn(context.get_executor(), "first", [&] { return first.run(); });
    runUntil([&] { return first.isLeader(); });
    spawn(context.get_executor(), "second", [&] { return second.run(); });
    spawn(context.get_executor(), "release", [&] { return first.release({}); });
    runUntil([&] { return second.isLeader(); });
    REQUIRE(taken.restartedWorkers.size() == 1);
    CHECK(taken.restartedWorkers.front().id == "w");
    CHECK(taken.restartedWorkers.front().until >= until - 1ms);
    CHECK(taken.restartedWorkers.front().until < until + 1s);
    CHECK(taken.restartsKnownUntil <= bootNow() - maxRestartLag);
    CHECK(taken.restartsKnownUntil > bootNow() - maxUnlistedRestartAge);
}

TEST_CASE("Restarts count as known as far as the holder of the row lists them")
{
    const auto seenAt = scheduling::start;
    messages::LeaseRecord record;
    CHECK(restartsKnownUntil(record, seenAt) == Instant::max());
    record.set_term(3);
    CHECK(restartsKnownUntil(record, seenAt) == seenAt - maxUnlistedRestartAge);
    setRestartedWorkers(record, {}, seenAt);
    CHECK(restartsKnownUntil(record, seenAt) == seenAt - maxRestartLag);
}
