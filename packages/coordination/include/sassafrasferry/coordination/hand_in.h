// Stores a submitted job from this entry VM or, if the store doesn't serve it, through a peer.
#pragma once

#include <sassafrasferry/coordination/intake.h>
#include <sassafrasferry/scheduling/queue.h>

#include <optional>

namespace sassafrasferry::coordination {

/// Outcome for a job after this entry VM and then a peer tried to store it. `peer` is `nullopt` if
/// the peer did not answer, in which case it may have stored the job.
constexpr IntakeResult combineResults(IntakeResult own, std::optional<IntakeResult> peer)
{
    const auto isStored = [](IntakeResult result) {
        return result == IntakeResult::Stored || result == IntakeResult::AlreadyStored;
    };
    if (isStored(own))
        return own;
    if (!peer)
        return IntakeResult::Unknown;
    if (isStored(*peer))
        return *peer;
    const bool neverStored = own == IntakeResult::Refused && *peer == IntakeResult::Refused;
    return neverStored ? IntakeResult::Refused : IntakeResult::Unknown;
}

/// Whether the job's queue is gone since the version by which the entry VM that accepted the job
/// routed it.
inline bool isQueueDropped(const messages::JobRecord &record,
                           const scheduling::Configuration &configuration)
{
    return record.configuration() < configuration.version
           && configuration.findQueue(record.queue()) == nullptr;
}

/// Stores a job through a peer if the store refuses it here or doesn't answer.
///
/// The store may refuse or not answer some entry VMs while it serves others. Without a peer,
/// callers of such an entry VM would be refused until they happen to reach another one, which takes
/// most of the time they have. `askPeer(job, record)` returns the peer's result as in
/// `combineResults`, and Refused if there is no peer.
template<typename OwnIntake, typename AskPeer>
Awaitable<IntakeResult> handIn(OwnIntake &intake, AskPeer askPeer, std::string job,
                               std::string record, Instant deadline)
{
    const auto own = co_await intake.submit(job, record, deadline);
    if (own == IntakeResult::Stored || own == IntakeResult::AlreadyStored || bootNow() >= deadline)
        co_return own;
    const auto peer = co_await askPeer(std::move(job), std::move(record));
    co_return combineResults(own, peer);
}

} // namespace sassafrasferry::coordination
