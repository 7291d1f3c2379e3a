// Bounds retries to a share of first attempts, so that a failing pool is not given a multiple of
// its load just when it can serve least.
#pragma once

namespace sassafrasferry::policy {

/// A bucket that first attempts fill and retries drain.
class RetryBudget
{
public:
    /// `ratio`: retries allowed for each first attempt.
    explicit RetryBudget(double ratio);

    void firstAttempt();
    /// Takes one retry if there is one left.
    bool take();

private:
    static constexpr double capacity = 20; // a short burst of failures is retried whole
    double ratio;
    double tokens = capacity;
};

} // namespace sassafrasferry::policy
