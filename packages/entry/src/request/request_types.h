// A caller's request, its answer and the result of sending it to a worker, independent of HTTP.
#pragma once

#include <sassafrasferry/model/vocabulary.h>
#include <sassafrasferry/policy/claim.h>
#include <sassafrasferry/policy/dispatcher.h>

#include <string>
#include <variant>

namespace sassafrasferry::entry {

/// A request of a caller.
struct CallerRequest
{
    std::string id; ///< request ID, passed between processes and written to every log line
    std::string service;
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    std::string callerId;
    std::string idempotencyKey;
    std::string fingerprint; ///< SHA-256 of method, target and body
    policy::JobFingerprint job = 0; ///< leading bits of `fingerprint`
    model::RequestClass requestClass = model::RequestClass::Normal;
    policy::Instant deadline{};
};

/// Reason for which the entry VM answers itself instead of forwarding a worker's answer.
enum class AnswerReason {
    None,
    Refused, ///< refused by the dispatcher, see `CallerAnswer::refusal`
    KeyMissing,
    CallerMissing,
    KeyMismatch,
    InProgress,
    StoreUnavailable,
    StoreUncertain, ///< the claim may or may not have been written
    StartTooLate, ///< the start deadline passed before the request could be sent
    WorkerSilent, ///< the worker's answer was cut off or did not arrive in time
    NotSettled, ///< the outcome of an earlier run is not known yet
    CallerGone,
    DeadlinePassed,
};

constexpr auto enumNames(AnswerReason)
{
    using model::EnumName;
    return std::array{EnumName{AnswerReason::None, "none"},
                      EnumName{AnswerReason::Refused, "refused"},
                      EnumName{AnswerReason::KeyMissing, "idempotency-key-missing"},
                      EnumName{AnswerReason::CallerMissing, "caller-id-missing"},
                      EnumName{AnswerReason::KeyMismatch, "idempotency-key-mismatch"},
                      EnumName{AnswerReason::InProgress, "in-progress"},
                      EnumName{AnswerReason::StoreUnavailable, "store-unavailable"},
                      EnumName{AnswerReason::StoreUncertain, "store-uncertain"},
                      EnumName{AnswerReason::StartTooLate, "start-too-late"},
                      EnumName{AnswerReason::WorkerSilent, "worker-silent"},
                      EnumName{AnswerReason::NotSettled, "not-settled"},
                      EnumName{AnswerReason::CallerGone, "caller-gone"},
                      EnumName{AnswerReason::DeadlinePassed, "deadline-passed"}};
}

/// The answer to a caller.
struct CallerAnswer
{
    model::Outcome outcome = model::Outcome::NotRun;
    int status = 503;
    AnswerReason reason = AnswerReason::None;
    policy::RefusalReason refusal = policy::RefusalReason::NoWorkers; ///< if `Refused`
    policy::Duration retryAfter{}; ///< zero if no delay is suggested
    std::string contentType;
    std::string body;
    std::string worker; ///< worker that ran the request; empty if none did
    bool replayed = false; ///< true if this is the stored answer of an earlier run
};

/// The caller cancelled its request while it waited for a slot.
struct SlotCancelled
{};

/// Result of requesting a slot.
using SlotResult = std::variant<policy::Grant, policy::Refusal, SlotCancelled>;

/// Result of an attempt to send a request to a worker.
enum class SendState {
    Answered,
    Refused, ///< the worker has no slot or the start deadline has passed; not run
    Leaving, ///< the worker accepts no new work; not run
    Unreachable, ///< no byte was sent; not run
    Broken, ///< there is no complete answer; the request may have run
    Cancelled, ///< cancelled by the caller; the request may have run
    Preempted, ///< stopped in favour of an urgent request; may have run
};

/// Result of sending a request to a worker, with the worker's answer.
struct SendResult
{
    SendState state = SendState::Broken;
    policy::StoredAnswer answer; ///< valid if `state` is `Answered`
};

/// Parameters sent to a worker with a request, and the time to wait for the answer.
struct SendOptions
{
    std::string operationId;
    policy::UnixMilliseconds startDeadline = 0; ///< zero for no start deadline
    std::chrono::milliseconds timeout{};
};

/// Background action that settles a claim after its request was answered.
enum class ClaimFollowUp {
    MarkNotRun, ///< nothing was sent: settle the claim as not run
    StoreAnswer, ///< the request ran, but its answer is not in the store yet
    QueryWorker, ///< the request may have run: query the worker until the outcome is known
};

} // namespace sassafrasferry::entry
