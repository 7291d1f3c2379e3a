// Jobs that can never run.
#include <sassafrasferry/policy/hopeless_jobs.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::policy;
using namespace std::chrono_literals;

namespace {
const Instant start{};
}

TEST_CASE("a job is hopeless after three different workers that serve others well")
{
    HopelessJobs jobs;
    CHECK_FALSE(jobs.failed(1, "w1", true, start));
    CHECK_FALSE(jobs.failed(1, "w1", true, start)); // the same worker again says nothing new
    CHECK_FALSE(jobs.failed(1, "w2", false, start)); // a bad worker says nothing
    CHECK_FALSE(jobs.failed(1, "w2", true, start));
    CHECK(jobs.failed(1, "w3", true, start));
    CHECK(jobs.isHopeless(1, start + 1min));
    CHECK_FALSE(jobs.isHopeless(1, start + 11min));
    CHECK_FALSE(jobs.isHopeless(2, start));
}

TEST_CASE("a success clears a job, and the memory is bounded")
{
    HopelessJobs jobs;
    for (const auto *worker : {"w1", "w2", "w3"})
        jobs.failed(1, worker, true, start);
    jobs.succeeded(1);
    CHECK_FALSE(jobs.isHopeless(1, start));
    for (JobFingerprint job = 10; job < 10 + HopelessJobs::mostRemembered + 5; ++job)
        for (const auto *worker : {"w1", "w2", "w3"})
            jobs.failed(job, worker, true, start);
    CHECK_FALSE(jobs.isHopeless(10, start)); // the oldest made room
    CHECK(jobs.isHopeless(10 + HopelessJobs::mostRemembered, start));
}
