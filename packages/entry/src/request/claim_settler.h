// Settles claims whose request is no longer in progress because an entry VM died, an answer was cut
// off, or the store did not respond. Any entry VM may do so at any time.
#pragma once

#include "environment.h"

#include <algorithm>
#include <utility>

namespace sassafrasferry::entry {

/// Timeouts and size limits of keyed requests.
struct KeyedRequestLimits
{
    /// Time after the claim within which a worker may start the request; it refuses it later.
    std::chrono::milliseconds startWindow{2000};
    /// Minimum remainder of the start window; with less time left the request is not sent.
    std::chrono::milliseconds startMargin{200};
    /// Delay before an open claim is polled again; doubled after each poll up to the maximum.
    std::chrono::milliseconds initialPollInterval{50};
    std::chrono::milliseconds maxPollInterval{500};
    /// Largest answer body that is stored in the claim's row; larger ones go to the object store.
    std::size_t maxInlineBytes = 16UL * 1024;
};

/// Whether the outcome of an open claim can become known without further action. `word`: the
/// worker's reply.
inline bool canBecomeKnown(const policy::Claim &existing, const policy::WorkerWord &word)
{
    if (word.state == policy::RunState::Running || word.state == policy::RunState::Done)
        return true;
    return word.state == policy::RunState::NeverSeen && existing.startRefusal
           && word.workerStartedAt + policy::clockTolerance < existing.claimedAt;
}

/// Settles a claim whose request is no longer in progress by querying the worker named in the
/// claim. Any entry VM may do this at any time, because writes are conditional on the claim's
/// version.
template<RequestEnvironment Environment>
class ClaimSettler
{
public:
    explicit ClaimSettler(Environment &environment)
        : environment(environment)
    {}

    /// Result of one attempt to settle a claim: the worker's reply, and `Open` if the claim could
    /// not be settled or written.
    struct Settled
    {
        policy::Settlement settlement = policy::Settlement::Open;
        policy::WorkerWord word;
        store::VersionedClaim current; ///< the settled claim if it was written
    };

    Awaitable<Settled> settle(store::VersionedClaim existing)
    {
        Settled settled;
        settled.current = existing;
        settled.word = co_await this->environment.queryWorker(existing.claim.workerAddress,
                                                              existing.claim.operationId);
        settled.settlement = policy::decideSettlement(existing.claim, settled.word);
        if (settled.settlement == policy::Settlement::Open)
            co_return settled;
        auto &claim = settled.current.claim;
        if (settled.settlement == policy::Settlement::Complete) {
            claim.settle(policy::ClaimState::Completed, this->environment.unixNow());
            claim.answer = settled.word.answer;
            const auto stored = co_await storeBody(this->environment, claim);
            if (!stored.ok()) {
                settled.settlement = policy::Settlement::Open;
                co_return settled;
            }
        } else {
            claim.settle(policy::ClaimState::NotRun, this->environment.unixNow());
        }
        const auto written = co_await this->environment.writeClaim(claim, existing.version);
        if (written.state == store::WriteState::Written)
            settled.current.version = written.version;
        else
            settled.settlement = policy::Settlement::Open;
        co_return settled;
    }

    /// Moves a body above `maxInlineBytes` to the object store.
    static Awaitable<absl::Status> storeBody(Environment &environment, policy::Claim &claim)
    {
        if (claim.answer.body.size() <= KeyedRequestLimits{}.maxInlineBytes)
            co_return absl::OkStatus();
        const auto name = claim.operationId;
        const auto status = co_await environment.putObject(name, claim.answer.body);
        if (status.ok()) {
            claim.answer.object = name;
            claim.answer.body.clear();
        }
        co_return status;
    }

private:
    Environment &environment;
};

/// Settles a claim in the background after its request was answered, with at most `maxAttempts`
/// attempts. Returns false if the claim is still open; the next request with the same key then
/// settles it.
template<RequestEnvironment Environment>
Awaitable<bool> runFollowUp(Environment &environment, store::VersionedClaim pending,
                            ClaimFollowUp followUp, int maxAttempts)
{
    constexpr std::chrono::milliseconds initialBackoff{100};
    constexpr std::chrono::milliseconds maxBackoff{5000};
    auto backoff = initialBackoff;
    ClaimSettler<Environment> settler(environment);
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        if (attempt > 0) {
            co_await environment.pause(backoff);
            backoff = std::min(2 * backoff, maxBackoff);
        }
        if (followUp == ClaimFollowUp::QueryWorker) {
            const auto settled = co_await settler.settle(pending);
            if (settled.settlement != policy::Settlement::Open)
                co_return true;
        } else {
            if (followUp == ClaimFollowUp::StoreAnswer) {
                const auto stored =
                    co_await ClaimSettler<Environment>::storeBody(environment, pending.claim);
                if (!stored.ok())
                    continue;
            } else {
                pending.claim.settle(policy::ClaimState::NotRun, environment.unixNow());
            }
            const auto written = co_await environment.writeClaim(pending.claim, pending.version);
            if (written.state == store::WriteState::Written)
                co_return true;
            if (written.state != store::WriteState::Conflict)
                continue;
        }
        // The row has changed, either by a write of ours whose response was lost or by another
        // entry VM.
        const auto current = co_await environment.readClaim(pending.claim.key);
        if (!current.ok())
            continue;
        const bool isOurs = current->version != store::absent
                            && current->claim.operationId == pending.claim.operationId
                            && current->claim.state == policy::ClaimState::Claimed;
        if (current->version != pending.version && !isOurs)
            co_return true;
        pending.version = current->version;
    }
    co_return false;
}

} // namespace sassafrasferry::entry
