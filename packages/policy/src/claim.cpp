// Decisions on claims.
#include <sassafrasferry/policy/claim.h>

namespace sassafrasferry::policy {

ExistingClaim decideExisting(const Claim &claim, const std::string &fingerprint, bool ownerActive)
{
    if (claim.fingerprint != fingerprint)
        return ExistingClaim::Mismatch;
    switch (claim.state) {
    case ClaimState::Completed:
        return ExistingClaim::Replay;
    case ClaimState::NotRun:
        return ExistingClaim::Reclaim;
    case ClaimState::Claimed:
        return ownerActive ? ExistingClaim::InProgress : ExistingClaim::Settle;
    }
    return ExistingClaim::InProgress;
}

Settlement decideSettlement(const Claim &claim, const WorkerWord &word)
{
    switch (word.state) {
    case RunState::Done:
        return Settlement::Complete;
    case RunState::Running:
    case RunState::Unreachable:
        return Settlement::Open;
    case RunState::NeverSeen:
        break;
    }
    const bool keptItsMemory = word.workerStartedAt + clockTolerance < claim.claimedAt;
    const bool startIsOver = word.workerNow > claim.startDeadline;
    return claim.startRefusal && keptItsMemory && startIsOver ? Settlement::NotRun
                                                              : Settlement::Open;
}

} // namespace sassafrasferry::policy
