// The steps of a request. Each is reported to the environment, so that the fault matrix test can
// inject a fault at any of them.
#pragma once

#include <sassafrasferry/model/names.h>

namespace sassafrasferry::entry {

/// A step of a request. Idempotent requests skip `ClaimRead`, `ClaimWritten`,
/// `StartDeadlineChecked`, `AnswerStored` and `ClaimCompleted`.
enum class RequestStep {
    Received,
    ClaimRead, ///< outcome of earlier requests with the same key has been read
    SlotHeld, ///< the request is admitted and holds a slot of a worker
    ClaimWritten, ///< the store holds a claim for the worker that may run the request
    StartDeadlineChecked,
    FirstByteSent, ///< from this step on the worker may have received the request
    AnswerWhole,
    AnswerStored, ///< the body is in the object store if it is too large for the claim's row
    ClaimCompleted, ///< the store holds the answer
    CallerAnswered,
};

constexpr auto enumNames(RequestStep)
{
    using model::EnumName;
    return std::array{EnumName{RequestStep::Received, "received"},
                      EnumName{RequestStep::ClaimRead, "claim-read"},
                      EnumName{RequestStep::SlotHeld, "slot-held"},
                      EnumName{RequestStep::ClaimWritten, "claim-written"},
                      EnumName{RequestStep::StartDeadlineChecked, "start-deadline-checked"},
                      EnumName{RequestStep::FirstByteSent, "first-byte-sent"},
                      EnumName{RequestStep::AnswerWhole, "answer-whole"},
                      EnumName{RequestStep::AnswerStored, "answer-stored"},
                      EnumName{RequestStep::ClaimCompleted, "claim-completed"},
                      EnumName{RequestStep::CallerAnswered, "caller-answered"}};
}

} // namespace sassafrasferry::entry
