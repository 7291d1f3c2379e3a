// How long a task waits for a worker on the rack of its data.
//
// Load pattern: more tasks name a rack than its workers can take at that moment, while others have
// room. Elsewhere a task runs several times as long, and takes that much more from the workers that
// others wait for; waiting delays it, and the rack may be full for longer than the wait saves.
// This is delay scheduling with the wait derived from the expected end of what runs on the rack.
#pragma once

#include <sassafrasferry/model/names.h>
#include <sassafrasferry/policy/time.h>

#include <array>
#include <map>
#include <optional>
#include <string>

namespace sassafrasferry::scheduling {

using policy::Duration;
using policy::Instant;

/// A task that could start elsewhere now, and what is expected of its rack.
struct NearWaitQuestion
{
    /// When a worker on the rack is expected to have room; nothing if the rack has no worker that
    /// takes work and stays.
    std::optional<Duration> nearFreeIn;
    Duration nearTime{}; ///< run time on the rack
    Duration farTime{}; ///< run time elsewhere
    Duration slackNear{}; ///< until the latest start on the rack that keeps the job on time
    Duration slackFar{}; ///< the same elsewhere; negative if it would be late there now
    Duration waited{}; ///< since the task could first have started elsewhere
    Duration maxWait{}; ///< longest wait that the settings allow; 0: never
    /// Work that names the rack, as a share of what its workers can do: a place that the task waits
    /// for would be taken by others that come meanwhile.
    double demand = 0;
    double places = 1; ///< tasks like this one that the rack can run at a time
    double trust = 1; ///< of expectations about this rack, from 0 to 1
};

enum class NearWaitReason {
    Pays, ///< wait
    NoWorker, ///< the rack has no worker that takes work and stays
    WaitedLong, ///< the longest wait is over, or would be before there is room
    NoGain, ///< waiting takes longer than it saves
    Objective, ///< the job would miss its objective by waiting, and meets it elsewhere
};

constexpr auto enumNames(NearWaitReason)
{
    return std::array{
        model::EnumName{NearWaitReason::Pays, "pays"},
        model::EnumName{NearWaitReason::NoWorker, "no-worker"},
        model::EnumName{NearWaitReason::WaitedLong, "waited-long"},
        model::EnumName{NearWaitReason::NoGain, "no-gain"},
        model::EnumName{NearWaitReason::Objective, "objective"},
    };
}

/// Whether the task waits, and why.
struct NearWait
{
    NearWaitReason reason = NearWaitReason::NoWorker;
    Duration expectedWait{};
    Duration saves{}; ///< expected gain of the wait; set if it pays

    bool isWaiting() const
    {
        return this->reason == NearWaitReason::Pays;
    }
};

NearWait decideNearWait(const NearWaitQuestion &question);

/// How far expectations about each rack came true. Waits that end without room near by the expected
/// time halve the trust in the rack, those that end with it restore it.
class RackTrust
{
public:
    double of(const std::string &rack) const;
    void noteKept(const std::string &rack);
    void noteBroken(const std::string &rack);

private:
    std::map<std::string, double> trust; // below 1 only; one entry a rack
};

} // namespace sassafrasferry::scheduling
