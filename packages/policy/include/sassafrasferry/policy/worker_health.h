// Whether a worker is fit to be given work, from the results of what it was given.
#pragma once

#include <sassafrasferry/model/names.h>
#include <sassafrasferry/policy/time.h>

#include <array>
#include <cstdint>

namespace sassafrasferry::policy {

/// The fingerprint of a job: equal for the same service and body.
using JobFingerprint = std::uint64_t;

/// The health of one worker as one entry VM sees it.
///
/// A worker that fails at once is free again at once, and so would draw ever more work. After a
/// failure it gets none until a usual run time has passed, so it never looks less loaded than a
/// worker that runs what it is given.
class WorkerHealth
{
public:
    enum class State { Fit, Ejected, Probing };

    /// A run was served well.
    void succeeded();
    /// A run failed. Repeated failures of one job count once: the job may be at fault.
    void failed(JobFingerprint job, Duration usualRunTime, Instant now, bool mayEject);
    /// A probe was sent to this worker.
    void probeSent();
    /// A probe ended without a verdict (refused or cancelled).
    void probeEnded();

    State state(Instant now) const;
    /// True if a request may be given to it now.
    bool accepts(Instant now) const;
    /// True if it has lately served something well, so that a failing job is itself suspect.
    bool servesWell() const;

private:
    void eject(Instant now);
    double failureRate() const;
    void record(bool failure);

    static constexpr std::uint32_t consecutiveLimit = 3;
    static constexpr std::size_t windowSize = 20;
    static constexpr std::size_t windowEnough = 10;
    static constexpr double rateLimit = 0.5;
    static constexpr Duration firstEjection = std::chrono::seconds(1);
    static constexpr Duration longestEjection = std::chrono::seconds(30);

    std::uint32_t consecutive = 0; // failures in a row, of different jobs
    JobFingerprint lastFailed = 0;
    std::array<bool, windowSize> window{}; // true: a failure
    std::size_t windowCount = 0;
    std::size_t windowNext = 0;
    Instant notBefore{};
    Instant ejectedUntil{};
    Duration ejection = firstEjection;
    bool ejected = false; // set until a probe succeeds
    bool probing = false; // a probe is out; there is one at a time
};

constexpr auto enumNames(WorkerHealth::State)
{
    using model::EnumName;
    return std::array{EnumName{WorkerHealth::State::Fit, "fit"},
                      EnumName{WorkerHealth::State::Ejected, "ejected"},
                      EnumName{WorkerHealth::State::Probing, "probing"}};
}

} // namespace sassafrasferry::policy
