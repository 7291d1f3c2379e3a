// The lease row, and what it means for the entry VM that leads next.
#pragma once

#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/coordination/tenure.h>
#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/model/settings.h>

#include <algorithm>

namespace sassafrasferry::coordination {

/// Nothing that a leader has ordered is under way this long after the store last confirmed it.
constexpr Duration maxLeaderAge = std::chrono::seconds(30);

/// A leader lists a restart in the row within this time: the worker's entry or its next report has
/// to tell of it, the row has to be renewed, and clocks differ.
constexpr Duration maxRestartLag = std::chrono::seconds(3);
/// For this long after its restart a worker may run tasks on a lease by its former clock. Leaders
/// of earlier versions list no restarts.
constexpr Duration maxUnlistedRestartAge = std::chrono::seconds(15);

/// The store's answer that a process holds the lease.
struct LeaseConfirmation
{
    Instant writtenAt; ///< when the write was sent that made the lease row
    std::int64_t version = store::absent; ///< of the store, when it answered
    Instant askedAt; ///< when the call was sent that this answers
};

/// Writes the lease row if it still has the version.
inline store::PartTransaction leaseTransaction(const messages::LeaseRecord &record,
                                               std::int64_t version)
{
    return {table::lease,
            {{table::lease, table::lease, version}},
            {{table::lease, table::lease, record.SerializeAsString()}},
            {}};
}

inline std::vector<scheduling::OpenVmOrder> openVmOrdersOf(const messages::LeaseRecord &record)
{
    std::vector<scheduling::OpenVmOrder> orders;
    for (const auto &order : record.open_orders())
        orders.push_back(scheduling::openVmOrderFrom(order));
    return orders;
}

/// Lists the workers in the row that have restarted. `now`: when the row is sent.
inline void setRestartedWorkers(messages::LeaseRecord &record,
                                const std::vector<scheduling::RestartedWorker> &workers,
                                Instant now)
{
    record.set_lists_restarts(true);
    for (const auto &worker : workers) {
        auto &listed = *record.add_restarted_workers();
        listed.set_id(worker.id);
        listed.set_remaining_milliseconds(static_cast<std::uint32_t>(
            std::max<std::int64_t>((worker.until - now) / std::chrono::milliseconds(1), 0)));
    }
}

/// The workers that the row lists as restarted. `seenAt`: when the row was first seen as it is.
inline std::vector<scheduling::RestartedWorker>
restartedWorkersOf(const messages::LeaseRecord &record, Instant seenAt)
{
    std::vector<scheduling::RestartedWorker> workers;
    for (const auto &worker : record.restarted_workers())
        workers.push_back(
            {worker.id(), seenAt + std::chrono::milliseconds(worker.remaining_milliseconds())});
    return workers;
}

/// Until when the holder of the row, first seen at `seenAt`, has listed all restarts.
inline Instant restartsKnownUntil(const messages::LeaseRecord &record, Instant seenAt)
{
    if (record.term() == 0)
        return Instant::max(); // the first leader of all has no predecessor
    return seenAt - (record.lists_restarts() ? maxRestartLag : maxUnlistedRestartAge);
}

/// Notes in the row when earlier leaders that may live on were last confirmed, for the leaders
/// after its holder.
inline void setEarlierLeaders(messages::LeaseRecord &record, const Tenure &tenure, Instant now)
{
    const auto confirmedBy = tenure.liveLeadersConfirmedBy();
    if (confirmedBy != Instant{} && now - confirmedBy < maxLeaderAge)
        record.set_earlier_leader_age_milliseconds(static_cast<std::uint32_t>(
            std::max<std::int64_t>((now - confirmedBy) / std::chrono::milliseconds(1), 0)));
}

/// When the earlier leaders that the row notes were last confirmed, at the latest. `seenAt`: when
/// the row was first seen as it is.
inline Instant earlierConfirmedBy(const messages::LeaseRecord &record, Instant seenAt)
{
    if (!record.has_earlier_leader_age_milliseconds())
        return {};
    return seenAt - std::chrono::milliseconds(record.earlier_leader_age_milliseconds());
}

/// The tenure that follows the lease row. `isEarlierProcess`: an earlier process of this entry VM
/// holds the lease; `isOwn`: this process does.
inline Tenure tenureAfter(const messages::LeaseRecord &record, bool isEarlierProcess, bool isOwn)
{
    const bool isFree = record.holder().empty();
    Tenure next;
    next.term = record.term() + 1;
    next.predecessorStopped = isFree || isEarlierProcess || isOwn;
    next.limitsLeases = record.renewed_milliseconds() != 0;
    next.isFirst = record.term() == 0 || isEarlierProcess;
    next.knowsPredecessorOrders = record.term() > 0 && (isFree || record.announces_orders());
    // Orders of an earlier process of this entry VM count as its own.
    if (!isEarlierProcess)
        next.orderedVms.assign(record.ordered_vms().begin(), record.ordered_vms().end());
    return next;
}

/// How long the entry VM at `address` waits before it takes the free lease. Recently started
/// processes come first: in a rolling restart they have already been restarted. `yields`: a far
/// stronger entry VM should take an expired lease first.
inline Duration takeDelayFor(const messages::LeaseRecord &record, const model::Endpoint &address,
                             Duration processAge, bool yields, const LeadershipTimes &times)
{
    if (!record.holder().empty())
        return yields ? times.takeDelay + times.yieldDelay : times.takeDelay;
    if (!record.successor().empty())
        return record.successor() == model::toString(address)
                   ? Duration::zero()
                   : times.takeDelay + times.successorLead;
    const auto age = std::min(processAge, times.maxAgeDelayAt);
    return times.takeDelay
           + times.maxAgeDelay * (age / std::chrono::milliseconds(1))
                 / (times.maxAgeDelayAt / std::chrono::milliseconds(1));
}

} // namespace sassafrasferry::coordination
