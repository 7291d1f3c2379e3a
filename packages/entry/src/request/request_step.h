// The named points that a request passes. They are the rows of the fault matrix, and each is
// reported to the environment, so that a test can cause a fault at any of them.
#pragma once

#include <sassafrasferry/model/names.h>

namespace sassafrasferry::entry {

/// A point in the life of a request. Those from `ClaimWritten` to `ClaimCompleted`, but for the
/// sending, are passed only by requests that are not idempotent.
enum class RequestStep {
    Received,
    ClaimRead, ///< it is known what became of earlier requests with the same key
    SlotHeld, ///< admitted, and given a slot of a worker
    ClaimWritten, ///< the store names the worker that may run it
    StartDeadlineChecked,
    FirstByteSent, ///< from here on the worker may have seen it
    AnswerWhole,
    AnswerStored, ///< a large answer's body is in the object store
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
