// Answers that are not a worker's.
#pragma once

#include "request_types.h"

namespace sassafrasferry::entry {

/// A refusal by the dispatcher. `mayHaveRun`: an earlier attempt of the same request may have run.
CallerAnswer refusalAnswer(const policy::Refusal &refusal, bool mayHaveRun);

/// Any other answer that the entry VM gives itself.
CallerAnswer ownAnswer(model::Outcome outcome, AnswerReason reason, policy::Duration retryAfter);

/// A worker's whole answer.
CallerAnswer workerAnswer(const policy::StoredAnswer &answer, const std::string &worker);

} // namespace sassafrasferry::entry
