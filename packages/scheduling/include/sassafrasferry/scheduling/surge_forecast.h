// Learns when the demand of services surges, so that VMs can be on their way before it does.
#pragma once

#include <sassafrasferry/jobs/job.h>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace sassafrasferry::scheduling {

using jobs::Duration;
using jobs::Instant;

/// Work of a service that came since the last look.
struct Arrivals
{
    std::size_t jobs = 0;
    double coreSeconds = 0;
};

/// Times and bounds of the forecast.
struct SurgeTerms
{
    Duration window = std::chrono::milliseconds(1000); ///< in which arrivals are counted
    std::size_t leastJobs = 3; ///< in a window, for a surge
    double leastFactor = 2; ///< over the long-term mean, for a surge
    double endShare = 0.3; ///< of a surge's rate, below which it is over
    Duration meanMemory = std::chrono::seconds(30); ///< of the long-term mean
    Duration lead = std::chrono::milliseconds(1900); ///< before an expected surge
    Duration tolerance = std::chrono::milliseconds(700); ///< of an expected beginning
};

/// Services whose demand surges in turns: what is learned is which service follows which, after
/// what time, and how much each asks for. A surge that fails to come makes its predecessor tell
/// nothing until it has been seen to follow again.
class SurgeForecast
{
public:
    explicit SurgeForecast(SurgeTerms terms);

    void arrived(const std::map<std::string, Arrivals> &arrivals, Instant now);
    /// Cores that arriving work of a service is expected to keep busy, soon or now; 0: not known.
    double expectedCores(const std::string &service, Instant now) const;
    /// When the next surge of a service is expected to begin.
    std::optional<Instant> nextSurge(const std::string &service) const;

private:
    struct Arrival
    {
        Instant at;
        Arrivals work;
    };

    struct Demand
    {
        std::deque<Arrival> recent; // within the window
        std::size_t recentJobs = 0;
        double meanJobs = 0; // a second
        bool surges = false;
        Instant beganAt{};
        double surgeWork = 0; // core-seconds since then
        std::size_t surgeJobs = 0;
        double cores = 0; // that the last whole surge asked for; 0: none seen
        Duration length{}; // of that surge
    };

    /// Which surge comes after another.
    struct Successor
    {
        std::string service;
        Duration gap{}; // from beginning to beginning
    };

    void beginSurge(const std::string &service, Demand &demand);
    void endSurge(Demand &demand, Instant now);
    void dropMissed(Instant now);

    SurgeTerms terms;
    std::map<std::string, Demand> demands;
    std::map<std::string, Successor> successors; // of a service
    std::string latest; // the service whose surge began last
    Instant latestAt{}; // when it began
    Instant lookedAt{};
};

} // namespace sassafrasferry::scheduling
