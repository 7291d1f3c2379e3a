// The retry budget over a long failure.
#include <sassafrasferry/policy/retry_budget.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::policy;

TEST_CASE("retries stay a share of first attempts when everything fails")
{
    const auto ratio = GENERATE(0.0, 0.1, 0.5);
    RetryBudget budget(ratio);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.firstAttempt();
        while (budget.take())
            ++retries;
    }
    const int burst = ratio > 0 ? 20 : 0;
    CHECK(retries <= static_cast<int>(ratio * 1000) + burst);
    CHECK(retries >= static_cast<int>(ratio * 1000) - 1);
}
