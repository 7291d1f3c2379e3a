// Hands a job in where the store answers: at this entry VM, else through a peer.
#pragma once

#include <sassafrasferry/coordination/intake.h>

#include <optional>

namespace sassafrasferry::coordination {

/// What is known of a job after this entry VM and then a peer tried to store it. `peer` is nothing
/// if the peer did not answer: it may have stored the job.
constexpr IntakeResult combine(IntakeResult own, std::optional<IntakeResult> peer)
{
    const auto isStored = [](IntakeResult result) {
        return result == IntakeResult::Stored || result == IntakeResult::Known;
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

/// The store may refuse or not answer some entry VMs while it serves others. Their callers would
/// be turned away until they happen to reach another, which takes most of the time they have.
/// `askPeer(job, record)` returns the peer's result as in `combine`; Refused if there is no peer.
template<typename OwnIntake, typename AskPeer>
Awaitable<IntakeResult> handIn(OwnIntake &intake, AskPeer askPeer, std::string job,
                               std::string record, Instant deadline)
{
    const auto own = co_await intake.submit(job, record, deadline);
    if (own == IntakeResult::Stored || own == IntakeResult::Known || bootNow() >= deadline)
        co_return own;
    const auto peer = co_await askPeer(std::move(job), std::move(record));
    co_return combine(own, peer);
}

} // namespace sassafrasferry::coordination
