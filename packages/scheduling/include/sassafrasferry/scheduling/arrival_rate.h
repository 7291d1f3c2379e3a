// The rate at which work arrives at a service.
//
// Load pattern: the demand of a queue rises fivefold or more within a few tenths of a second. An
// average over half a second shows a fifth of the rise after 0.1 s, and VMs that set out by it
// arrive when the first jobs of the surge are late already.
#pragma once

#include <sassafrasferry/policy/time.h>

#include <cstddef>
#include <deque>

namespace sassafrasferry::scheduling {

using policy::Duration;
using policy::Instant;

/// Work that arrived within some time.
struct Arrivals
{
    double coreSeconds = 0;
    std::size_t jobs = 0;
};

/// Average that follows a rise at once if the jobs of the last moment are too many for chance.
class ArrivalRate
{
public:
    /// `detectsRise`: otherwise a plain average with decay.
    ArrivalRate(Duration timeConstant, bool detectsRise)
        : timeConstant(timeConstant)
        , detectsRise(detectsRise)
    {}

    /// Adds what arrived since the last call.
    void add(const Arrivals &arrived, Instant now);

    /// Core-seconds that arrive in a second, as of the last call of `add`.
    double coreSecondsPerSecond() const
    {
        return this->coreRate;
    }

private:
    /// What one call added.
    struct Batch
    {
        Arrivals arrived;
        Duration duration{};
        double jobRateBefore = 0; ///< average before this batch
    };

    void followRise();

    Duration timeConstant;
    bool detectsRise;
    Instant addedAt{};
    double coreRate = 0; // core-seconds per second
    double jobRate = 0; // jobs per second
    std::deque<Batch> recent; // the newest last; they cover `riseWindow` at least
};

} // namespace sassafrasferry::scheduling
