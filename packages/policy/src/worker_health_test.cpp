// Ejection and return of workers that fail.
#include <sassafrasferry/policy/worker_health.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::policy;
using namespace std::chrono_literals;
using State = WorkerHealth::State;

namespace {
const Instant start{};
}

TEST_CASE("a worker that fails everything at once is given nothing for a usual run time")
{
    // The caller sees its request fail fast, again and again, if the worker that failed it looks
    // idle and draws the next one. It must sit out the time that a good run would have taken.
    WorkerHealth health;
    health.failed(1, 100ms, start, true);
    CHECK_FALSE(health.accepts(start + 99ms));
    CHECK(health.accepts(start + 100ms));
}

TEST_CASE("three failures in a row eject, a probe returns, a failed probe doubles the time")
{
    WorkerHealth health;
    for (JobFingerprint job = 1; job <= 3; ++job)
        health.failed(job, 0ms, start, true);
    CHECK(health.state(start) == State::Ejected);
    CHECK(health.state(start + 1s) == State::Probing);
    health.probeSent();
    CHECK_FALSE(health.accepts(start + 1s)); // one probe at a time
    health.failed(9, 0ms, start + 1s, true);
    CHECK(health.state(start + 2s) == State::Ejected);
    CHECK(health.state(start + 3s) == State::Probing);
    health.succeeded();
    CHECK(health.state(start + 3s) == State::Fit);
}

TEST_CASE("one job that fails again and again does not eject a worker")
{
    WorkerHealth health;
    health.succeeded();
    for (int i = 0; i < 10; ++i)
        health.failed(7, 0ms, start, true);
    CHECK(health.state(start) == State::Fit);
    CHECK(health.servesWell());
}

TEST_CASE("where the budget allows no ejection the worker stays")
{
    WorkerHealth health;
    for (JobFingerprint job = 1; job <= 5; ++job)
        health.failed(job, 0ms, start, false);
    CHECK(health.state(start) == State::Fit);
}

TEST_CASE("a worker that fails most of the time is ejected though successes come between")
{
    WorkerHealth health;
    JobFingerprint job = 0;
    for (int i = 0; i < 6 && health.state(start) == State::Fit; ++i) {
        health.succeeded();
        health.failed(++job, 0ms, start, true);
        health.failed(++job, 0ms, start, true);
    }
    CHECK(health.state(start) == State::Ejected);
}
