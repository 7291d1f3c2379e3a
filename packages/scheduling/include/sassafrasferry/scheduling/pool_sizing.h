// How many VMs each pool needs, from the work its service has and the work that arrives.
#pragma once

#include <sassafrasferry/scheduling/scheduler.h>

#include <map>

namespace sassafrasferry::scheduling {

/// Times and weights of the sizing.
struct PoolSizingTerms
{
    Duration rateMemory = std::chrono::milliseconds(500); ///< over which arriving work is averaged
    Duration peakMemory = std::chrono::milliseconds(1200); ///< how long a need is remembered
    double headroom = 1.15; ///< room wanted for each core needed, since tasks do not fill a VM
    double lateWeight = 0.3; ///< of work that can't be on time any more
    MechanismSet mechanisms;
};

/// VMs of one pool. kept <= onTime <= wanted.
struct PoolNeed
{
    std::size_t wanted = 0; ///< for all its work, at the peak of the last moments
    std::size_t onTime = 0; ///< for its present work, without what waits and is late anyhow
    std::size_t kept = 0; ///< for what can be on time alone: more may be given to other pools
};

class PoolSizing
{
public:
    explicit PoolSizing(PoolSizingTerms terms);

    /// Core-seconds of the jobs that came to each service since the last call.
    void arrived(const std::map<std::string, double> &coreSeconds, Instant now);

    /// `count`: VMs that the pool has or gets; `vmCores`: of the largest of them.
    PoolNeed needOf(const std::string &service, const ServiceLoad &load, double vmCores,
                    std::size_t count, Instant now);

private:
    struct Peak
    {
        double cores = 0;
        Instant at{};
    };

    PoolSizingTerms terms;
    std::map<std::string, double> rates; // core-seconds a second
    std::map<std::string, Peak> peaks;
    Instant ratesAt{};
};

} // namespace sassafrasferry::scheduling
