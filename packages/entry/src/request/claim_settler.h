// Settles claims whose request is no longer under way: when an entry VM died, when an answer broke
// off, when the store gave no answer. Any entry VM may do so at any time.
#pragma once

#include "environment.h"

#include <algorithm>
#include <utility>

namespace sassafrasferry::entry {

/// Times of keyed requests.
struct KeyedTimes
{
    /// A worker refuses to start a request later than this after its claim.
    std::chrono::milliseconds startWindow{2000};
    /// Left of the start window when a request is sent, or it is not sent.
    std::chrono::milliseconds startMargin{200};
    std::chrono::milliseconds firstPoll{50}; ///< of a claim that is in progress
    std::chrono::milliseconds longestPoll{500};
    /// A larger answer goes to the object store.
    std::size_t inlineBytes = 16UL * 1024;
};

/// Settles a claim whose request is no longer under way, by asking the worker that it names.
/// Any entry VM may do this at any time: the writes are conditional on the claim's version.
template<RequestEnvironment Environment>
class ClaimSettler
{
public:
    explicit ClaimSettler(Environment &environment)
        : environment(environment)
    {}

    /// What is known after asking once.
    struct Settled
    {
        policy::Settlement settlement = policy::Settlement::Open;
        policy::WorkerWord word;
        store::VersionedClaim current; ///< as written, if it was settled
    };

    Awaitable<Settled> settle(store::VersionedClaim existing)
    {
        Settled settled;
        settled.current = existing;
        settled.word = co_await this->environment.askWorker(existing.claim.workerAddress,
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

    /// Moves a large body to the object store.
    static Awaitable<absl::Status> storeBody(Environment &environment, policy::Claim &claim)
    {
        if (claim.answer.body.size() <= KeyedTimes{}.inlineBytes)
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

/// Goes on with a claim after its request has been answered, until it is settled or `rounds` tries
/// have been made. What stays open is settled by the next request with the same key.
template<RequestEnvironment Environment>
Awaitable<bool> finishLeftOver(Environment &environment, store::VersionedClaim left,
                               LeftOver leftOver, int rounds)
{
    constexpr std::chrono::milliseconds firstPause{100};
    constexpr std::chrono::milliseconds longestPause{5000};
    auto pause = firstPause;
    ClaimSettler<Environment> settler(environment);
    for (int round = 0; round < rounds; ++round) {
        if (round > 0) {
            co_await environment.pause(pause);
            pause = std::min(2 * pause, longestPause);
        }
        if (leftOver == LeftOver::AskWorker) {
            const auto settled = co_await settler.settle(left);
            if (settled.settlement != policy::Settlement::Open)
                co_return true;
        } else {
            if (leftOver == LeftOver::StoreAnswer) {
                const auto stored =
                    co_await ClaimSettler<Environment>::storeBody(environment, left.claim);
                if (!stored.ok())
                    continue;
            } else {
                left.claim.settle(policy::ClaimState::NotRun, environment.unixNow());
            }
            const auto written = co_await environment.writeClaim(left.claim, left.version);
            if (written.state == store::WriteState::Written)
                co_return true;
            if (written.state != store::WriteState::Conflict)
                continue;
        }
        // The row has moved on: by our own unanswered write, or by another entry VM.
        const auto current = co_await environment.readClaim(left.claim.key);
        if (!current.ok())
            continue;
        const bool isOurs = current->version != store::absent
                            && current->claim.operationId == left.claim.operationId
                            && current->claim.state == policy::ClaimState::Claimed;
        if (current->version != left.version && !isOurs)
            co_return true;
        left.version = current->version;
    }
    co_return false;
}

} // namespace sassafrasferry::entry
