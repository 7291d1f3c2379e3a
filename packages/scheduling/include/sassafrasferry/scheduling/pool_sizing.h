// Computes how many VMs each pool needs from the present and the arriving work of its service.
#pragma once

#include <sassafrasferry/scheduling/scheduler.h>

#include <map>

namespace sassafrasferry::scheduling {

/// Time constants and weights of the sizing.
struct PoolSizingOptions
{
    /// Time constant of the average arrival rate.
    Duration rateTimeConstant = std::chrono::milliseconds(500);
    /// How long a peak of the need is held.
    Duration peakRetention = std::chrono::milliseconds(1200);
    double headroom = 1.15; ///< cores provided per core needed, since tasks do not fill a VM
    double lateWeight = 0.3; ///< weight of waiting work that can't be on time any more
    MechanismSet mechanisms;
};

/// Number of VMs that a pool needs. floor <= minimum <= onTime <= desired.
struct PoolNeed
{
    std::size_t desired = 0; ///< for all of its work, at the recent peak
    std::size_t onTime = 0; ///< for its present work, without waiting work that is already late
    /// For work that can still be on time; other pools may take VMs above it.
    std::size_t minimum = 0;
    std::size_t floor = 0; ///< for its lasting work
};

class PoolSizing
{
public:
    explicit PoolSizing(PoolSizingOptions options);

    /// Adds the work that arrived since the last call, by service.
    void recordArrivals(const std::map<std::string, Arrivals> &arrived, Instant now);

    /// `count`: VMs in the pool or moving to it; `vmCores`: cores of the largest of them.
    PoolNeed computeNeed(const std::string &service, const ServiceLoad &load, double vmCores,
                         std::size_t count, Instant now);

private:
    struct Peak
    {
        double cores = 0;
        Instant at{};
    };

    PoolSizingOptions options;
    std::map<std::string, ArrivalRate> rates; // by service
    std::map<std::string, Peak> peaks;
};

} // namespace sassafrasferry::scheduling
