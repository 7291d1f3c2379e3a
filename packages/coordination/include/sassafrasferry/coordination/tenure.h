// One tenure of the scheduling lease, and the durations that govern it.
#pragma once

#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/scheduling/open_vm_order.h>
#include <sassafrasferry/scheduling/worker.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasferry::coordination {

/// Durations that govern the scheduling lease.
struct LeadershipTimes
{
    Duration renew = std::chrono::milliseconds(400); ///< interval between renewals of the lease
    /// Any entry VM may take a lease whose row has not changed for this long. This serves liveness
    /// only; the fencing token ensures that two leaders don't interfere.
    Duration term = std::chrono::milliseconds(1600);
    /// A leader gives orders for at most this long after the store last confirmed its lease, since
    /// the store may be unavailable for some seconds.
    Duration orderLimit = std::chrono::milliseconds(6500);
    /// The leases that a leader grants to workers end at most this long after the store last
    /// confirmed its own lease. A successor waits no longer than that for a worker that does not
    /// answer, so lasting tasks are back within 9 s.
    Duration leaseLimit = std::chrono::milliseconds(7500);
    /// The lease row is not read while the leader's last answer is younger than this.
    Duration leaderAnswerMaxAge = std::chrono::milliseconds(600);
    /// The lease row is read if the leader has reported no renewal for this long. A renewal that
    /// the store did not answer may have been stored, and the term counts from when it is seen.
    Duration maxRenewalGap = std::chrono::milliseconds(1000);
    Duration readPeriod = std::chrono::milliseconds(200); ///< between reads of the lease row
    Duration tick = std::chrono::milliseconds(50); ///< period of the main loop
    /// Delay before taking a free lease. Entry VMs with more processor cores get a shorter one and
    /// so come first.
    Duration takeDelay = std::chrono::milliseconds(0);
    /// Additional delay before taking an expired lease while a far stronger entry VM should lead.
    /// Entry VMs see an expiry up to 0.4 s apart. A weak leader takes seconds to load the jobs of
    /// an overload, and hands over in the middle.
    Duration yieldDelay = std::chrono::milliseconds(500);
    /// Additional delay before taking a released lease. It grows linearly with the age of the
    /// process and reaches this value at the age `maxAgeDelayAt`.
    Duration maxAgeDelay = std::chrono::milliseconds(300);
    Duration maxAgeDelayAt = std::chrono::seconds(30);
    /// After stepping down because it could not lead, a process takes no lease for this long.
    Duration holdOff = std::chrono::seconds(3);
    /// Additional delay of all entry VMs but the successor that the predecessor named.
    Duration successorLead = std::chrono::milliseconds(600);
};

/// What a new leader knows about its lease and its predecessor.
struct Tenure
{
    std::int64_t fence = 0; ///< fencing token, higher than that of every earlier leader
    std::int64_t term = 0;
    /// The predecessor is known to have stopped: it released the lease, or it was an earlier
    /// process of this entry VM, or an earlier tenure of this process.
    bool predecessorStopped = false;
    bool isFirst = false; ///< no predecessor, or it was an earlier process of this entry VM
    /// The lease row was first seen then as the predecessor last wrote it, so the store last
    /// confirmed the predecessor's lease before.
    Instant predecessorConfirmedBy{};
    /// The store last confirmed the leaders before the predecessor that may live on before this
    /// moment; the epoch if there are none.
    Instant earlierConfirmedBy{};
    /// The leases that the predecessor granted end within the lease limit after that moment.
    bool limitsLeases = false;
    /// `orderedVms` contains all VMs about which the predecessor may have given recent orders.
    bool knowsPredecessorOrders = false;
    std::vector<std::string> orderedVms; ///< get no order before the hand-over delay is over
    /// Orders of earlier leaders that the platform may still execute. The VMs get no work until it
    /// is known that they were executed, or can't be any more.
    std::vector<scheduling::OpenVmOrder> openVmOrders;

    /// Workers that earlier leaders knew to have restarted. They may have missed restarts from
    /// `restartsKnownUntil` on.
    std::vector<scheduling::RestartedWorker> restartedWorkers;
    Instant restartsKnownUntil = Instant::max();

    /// The store last confirmed any earlier leader that may live on before this moment; the epoch
    /// if there are none.
    Instant liveLeadersConfirmedBy() const
    {
        return this->predecessorStopped
                   ? this->earlierConfirmedBy
                   : std::max(this->earlierConfirmedBy, this->predecessorConfirmedBy);
    }
};

} // namespace sassafrasferry::coordination
