// Observed run times of one service: the mean and the median over the last runs. The declared run
// time counts only until enough runs have been seen.
#pragma once

#include <sassafrasferry/policy/time.h>

#include <array>

namespace sassafrasferry::policy {

/// A window of the last run times. Memory is fixed.
class RunTimes
{
public:
    explicit RunTimes(Duration declared);

    void add(Duration runTime);
    /// The mean, in seconds; never below a microsecond, so that it can be divided by.
    double meanSeconds() const;
    /// The run time that half of the runs stay within.
    Duration median() const;

private:
    static constexpr std::size_t windowSize = 64;
    static constexpr std::size_t enough = 8;

    Duration declared;
    std::array<Duration, windowSize> window{};
    std::size_t count = 0; // runs in the window, at the most windowSize
    std::size_t next = 0;
    Duration sum{}; // of the runs in the window
};

} // namespace sassafrasferry::policy
