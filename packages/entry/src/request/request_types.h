// A caller's request and its answer, free of HTTP.
#pragma once

#include <sassafrasferry/model/vocabulary.h>
#include <sassafrasferry/policy/claim.h>
#include <sassafrasferry/policy/dispatcher.h>

#include <string>
#include <variant>

namespace sassafrasferry::entry {

/// What a caller asks for.
struct CallerRequest
{
    std::string id; ///< crosses processes; names the request in every log line
    std::string service;
    std::string method;
    std::string target;
    std::string contentType;
    std::string body;
    std::string callerId;
    std::string idempotencyKey;
    std::string fingerprint; ///< of method, target and body
    policy::JobFingerprint job = 0; ///< the same, short
    model::RequestClass requestClass = model::RequestClass::Normal;
    policy::Instant deadline{};
};

/// Why an answer is not a worker's.
enum class AnswerReason {
    None,
    Refused, ///< see `CallerAnswer::refusal`
    KeyMissing,
    CallerMissing,
    KeyMismatch,
    InProgress,
    StoreUnavailable,
    StoreUncertain, ///< the claim may or may not have been written
    StartTooLate, ///< the start deadline passed before the request could be sent
    WorkerSilent, ///< the answer broke off or did not come in time
    NotSettled, ///< an earlier run's outcome is not known yet
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

/// What a caller is told.
struct CallerAnswer
{
    model::Outcome outcome = model::Outcome::NotRun;
    int status = 503;
    AnswerReason reason = AnswerReason::None;
    policy::RefusalReason refusal = policy::RefusalReason::NoWorkers; ///< if `Refused`
    policy::Duration retryAfter{}; ///< zero: none is given
    std::string contentType;
    std::string body;
    std::string worker; ///< that ran it, if one did
    bool replayed = false; ///< kept from an earlier run
};

/// The caller gave up while its request waited.
struct SlotCancelled
{};

/// What came of asking for a slot.
using SlotResult = std::variant<policy::Grant, policy::Refusal, SlotCancelled>;

/// How far a request got at a worker.
enum class SendState {
    Answered,
    Refused, ///< the worker says it has no slot, or that it is too late to start; not run
    Leaving, ///< the worker says it takes no new work; not run
    Unreachable, ///< no byte left; not run
    Broken, ///< it may have run; there is no whole answer
    Cancelled, ///< given up; it may have run
    Preempted, ///< stopped to make room for an urgent request; it may have run
};

/// What came of sending a request to a worker.
struct SendResult
{
    SendState state = SendState::Broken;
    policy::StoredAnswer answer; ///< if answered
};

/// What a worker is told along with a request.
struct SendOptions
{
    std::string operationId;
    policy::UnixMilliseconds startDeadline = 0; ///< zero: none
    std::chrono::milliseconds timeout{};
};

/// What is left to do about a claim when its request has been answered.
enum class LeftOver {
    MarkNotRun, ///< nothing was sent: settle it as not run
    StoreAnswer, ///< it ran, and the answer is not in the store yet
    AskWorker, ///< it may have run: ask until it is known
};

} // namespace sassafrasferry::entry
