// Builds answers to callers from refusals, errors of the entry VM and answers of workers.
#pragma once

#include "request_types.h"

namespace sassafrasferry::entry {

/// The answer for a refusal by the dispatcher. `mayHaveRun` is true if an earlier attempt of the
/// same request may have run; the outcome is then unknown instead of not run.
CallerAnswer refusalAnswer(const policy::Refusal &refusal, bool mayHaveRun);

/// The answer for any other error that the entry VM reports without a worker's answer.
CallerAnswer entryAnswer(model::Outcome outcome, AnswerReason reason, policy::Duration retryAfter);

/// The answer that forwards a worker's complete answer.
CallerAnswer workerAnswer(const policy::StoredAnswer &answer, const std::string &worker);

} // namespace sassafrasferry::entry
