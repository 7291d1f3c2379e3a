// Waits of callers that an outage turned away.
#include <sassafrasferry/policy/retry_advice.h>

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace sassafrasferry::policy;
using namespace std::chrono_literals;

TEST_CASE("the wait grows with the age of the outage and is bounded")
{
    struct Case
    {
        Duration age;
        std::chrono::seconds least;
        std::chrono::seconds most;
    };
    const std::vector<Case> cases{
        {0ms, 1s, 1s}, {900ms, 1s, 1s}, {2000ms, 2s, 3s}, {3000ms, 3s, 4s}, {60s, 4s, 6s},
    };
    for (const auto &row : cases) {
        INFO(seconds(row.age));
        std::set<std::chrono::seconds> seen;
        for (int i = 0; i < 100; ++i)
            seen.insert(retryAfter(row.age, "job-" + std::to_string(i)));
        CHECK(*seen.begin() == row.least);
        CHECK(*seen.rbegin() == row.most);
    }
}

// Callers with a few tries were lost in an outage of four seconds: all were told one second.
TEST_CASE("five tries outlast an outage of eight seconds")
{
    Duration age = 0ms;
    for (int tries = 1; tries < 5; ++tries)
        age += retryAfter(age, "5c0e7a21d94b36f8");
    CHECK(age >= 8s);
}
