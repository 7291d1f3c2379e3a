// Maps refusals and errors of the entry VM to HTTP status codes and bodies.
#include "answers.h"

namespace sassafrasferry::entry {

namespace {

using model::Outcome;
using policy::RefusalReason;

struct ReasonStatus
{
    AnswerReason reason;
    int status;
};

constexpr ReasonStatus reasonStatuses[] = {
    {AnswerReason::KeyMissing, 400},       {AnswerReason::CallerMissing, 400},
    {AnswerReason::KeyMismatch, 422},      {AnswerReason::InProgress, 409},
    {AnswerReason::StoreUnavailable, 503}, {AnswerReason::StoreUncertain, 503},
    {AnswerReason::StartTooLate, 503},     {AnswerReason::WorkerSilent, 502},
    {AnswerReason::NotSettled, 503},       {AnswerReason::CallerGone, 499},
    {AnswerReason::DeadlinePassed, 504},
};

int statusOf(AnswerReason reason)
{
    constexpr int unavailable = 503;
    for (const auto &row : reasonStatuses) {
        if (row.reason == reason)
            return row.status;
    }
    return unavailable;
}

int statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownService:
        return 404;
    case RefusalReason::HopelessJob:
    case RefusalReason::QuotaTooSmall:
        return 422;
    case RefusalReason::QuotaReached:
        return 429;
    case RefusalReason::NoWorkers:
    case RefusalReason::DeadlineUnreachable:
    case RefusalReason::QueueFull:
    case RefusalReason::TooManyRefusals:
    case RefusalReason::Starting:
        return 503;
    }
    return 503;
}

} // namespace

CallerAnswer refusalAnswer(const policy::Refusal &refusal, bool mayHaveRun)
{
    CallerAnswer answer;
    answer.outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    answer.status = statusOf(refusal.reason);
    answer.reason = AnswerReason::Refused;
    answer.refusal = refusal.reason;
    answer.retryAfter = refusal.retryAfter;
    answer.body = std::string(model::nameOf(refusal.reason)) + "\n";
    return answer;
}

CallerAnswer entryAnswer(Outcome outcome, AnswerReason reason, policy::Duration retryAfter)
{
    CallerAnswer answer;
    answer.outcome = outcome;
    answer.status = statusOf(reason);
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    answer.body = std::string(model::nameOf(reason)) + "\n";
    return answer;
}

CallerAnswer workerAnswer(const policy::StoredAnswer &stored, const std::string &worker)
{
    CallerAnswer answer;
    answer.outcome = Outcome::Completed;
    answer.status = stored.status;
    answer.contentType = stored.contentType;
    answer.body = stored.body;
    answer.worker = worker;
    return answer;
}

} // namespace sassafrasferry::entry
