// Claims: the rows that keep a non-idempotent request from running twice, and the decisions taken
// on them. Pure; the store and the workers are asked elsewhere.
#pragma once

#include <sassafrasferry/model/names.h>
#include <sassafrasferry/policy/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace sassafrasferry::policy {

/// Where a claim stands.
enum class ClaimState {
    Claimed, ///< may have been sent to the worker it names
    Completed, ///< ran; its answer is kept
    NotRun, ///< settled: it did not run and will not; the key may be claimed again
};

constexpr auto enumNames(ClaimState)
{
    using model::EnumName;
    return std::array{EnumName{ClaimState::Claimed, "claimed"},
                      EnumName{ClaimState::Completed, "completed"},
                      EnumName{ClaimState::NotRun, "not-run"}};
}

/// An answer as it is kept for replays.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    std::string object; ///< name in the object store, if the body is kept there
};

/// One claim. The key is scoped by service and caller.
struct Claim
{
    std::string key;
    std::string fingerprint; ///< of the request's method, target and body
    std::string operationId; ///< names this attempt, for the worker and for reading back
    std::string entry; ///< the entry VM that claimed it
    std::uint64_t incarnation = 0;
    std::string worker;
    std::string workerAddress;
    UnixMilliseconds claimedAt = 0;
    UnixMilliseconds settledAt = 0; ///< when its outcome became known; 0 while it is not
    UnixMilliseconds startDeadline = 0; ///< a worker refuses to start it later than this
    bool startRefusal = true; ///< the worker keeps to the start deadline
    ClaimState state = ClaimState::Claimed;
    StoredAnswer answer; ///< once completed

    /// It stands so since `at`; 0 for a claim whose outcome is open.
    void settle(ClaimState newState, UnixMilliseconds at)
    {
        this->state = newState;
        this->settledAt = at;
    }
};

/// What to do with a request whose key has a claim already.
enum class ExistingClaim {
    Replay, ///< answer with what is kept
    Mismatch, ///< another request under the same key
    InProgress, ///< its entry VM is alive and at it
    Settle, ///< its entry VM is gone: ask the worker
    Reclaim, ///< settled as not run: claim it anew, on the row's version
};

constexpr auto enumNames(ExistingClaim)
{
    using model::EnumName;
    return std::array{
        EnumName{ExistingClaim::Replay, "replay"}, EnumName{ExistingClaim::Mismatch, "mismatch"},
        EnumName{ExistingClaim::InProgress, "in-progress"},
        EnumName{ExistingClaim::Settle, "settle"}, EnumName{ExistingClaim::Reclaim, "reclaim"}};
}

/// Decides on an existing claim. `ownerActive`: the entry VM that claimed it may still be at it.
ExistingClaim decideExisting(const Claim &claim, const std::string &fingerprint, bool ownerActive);

/// What a worker says of an operation.
enum class RunState {
    NeverSeen,
    Running,
    Done,
    Unreachable, ///< it gave no answer
};

constexpr auto enumNames(RunState)
{
    using model::EnumName;
    return std::array{EnumName{RunState::NeverSeen, "never-seen"},
                      EnumName{RunState::Running, "running"}, EnumName{RunState::Done, "done"},
                      EnumName{RunState::Unreachable, "unreachable"}};
}

/// A worker's word on an operation.
struct WorkerWord
{
    RunState state = RunState::Unreachable;
    UnixMilliseconds workerStartedAt = 0; ///< when its process started
    UnixMilliseconds workerNow = 0; ///< the worker's clock when it answered
    StoredAnswer answer; ///< if done
};

/// How a claim is settled.
enum class Settlement {
    Complete, ///< it ran: keep the worker's answer
    NotRun, ///< it did not run, and no worker will start it any more
    Open, ///< not known yet: the answer stays unknown
};

constexpr auto enumNames(Settlement)
{
    using model::EnumName;
    return std::array{EnumName{Settlement::Complete, "complete"},
                      EnumName{Settlement::NotRun, "not-run"}, EnumName{Settlement::Open, "open"}};
}

/// Clocks of two VMs may differ by this much.
constexpr UnixMilliseconds clockTolerance = 500;

/// Decides from the worker's word.
///
/// "Never seen" settles a claim only if the worker's own clock has passed the start deadline: until
/// then an entry VM that was frozen may wake and send, and afterwards the worker refuses. A worker
/// that restarted after the claim has lost its memory, and its "never seen" means nothing.
Settlement decideSettlement(const Claim &claim, const WorkerWord &word);

} // namespace sassafrasferry::policy
