// What a leader needs from the entry VM on which it runs.
#pragma once

#include <sassafrasferry/coordination/call_relay.h>
#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/coordination/leadership.h>
#include <sassafrasferry/coordination/peer_store_answers.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/scheduling/scheduler.h>

#include <functional>
#include <string>
#include <vector>

namespace sassafrasferry::coordination {

/// Timing of a leader, and what it asks and tells its entry VM.
struct LeaderOptions
{
    scheduling::SchedulerTimes times;
    std::function<void(const std::string &why)> onDeposed;
    OnFailure onFailed; ///< called when this process can't lead at present
    std::function<Duration()> sinceConfirmed; ///< time since the store last confirmed the lease
    std::function<std::int64_t()> leaseVersion; ///< of the lease row; raises fencing tokens
    /// Returns the moments at which the store confirmed the lease.
    std::function<const ReadIndex &()> confirmations = []() -> const ReadIndex & {
        static const ReadIndex none;
        return none;
    };
    /// Returns what other entry VMs have told of the store's answers to them.
    std::function<PeerContact()> peerContact = [] {
        return PeerContact{};
    };
    RelayClient *relay = nullptr; ///< relays the calls to workers when there are many of them
    LeadershipTimes leadership; ///< of the lease that this leader holds
    /// Returns the latest end of a lease that may be granted to a worker now.
    std::function<Instant()> leasesEndBy = [] {
        return Instant::max();
    };
    /// Records the VMs of the next orders for a successor. The orders are given only if it
    /// returns true.
    std::function<Awaitable<bool>(std::vector<std::string>)> announce;
    /// Minimum time between a leader's last order about a VM and its successor's first.
    Duration handOverDelay = std::chrono::milliseconds(3000);
    /// Loading counts as stalled after this long without a further part of the tables while the
    /// store confirms the lease. A slow store takes seconds for a part of many pages.
    Duration loadStall = std::chrono::seconds(8);
    /// Returns the time until which every change of the configuration is known.
    std::function<Instant()> configurationCoveredUntil = [] {
        return Instant::max();
    };
    /// With customers' caps in force tasks are started only while the configuration is at most this
    /// far behind the store's last answer to this or another entry VM.
    Duration maxConfigurationLag = std::chrono::milliseconds(2000);
    /// Time for which withdrawals of jobs are kept.
    Duration withdrawalRetention = std::chrono::seconds(120);
    store::RowLimits rowLimits;
    JobParts jobParts; ///< where this leader writes the rows of new jobs
};

} // namespace sassafrasferry::coordination
