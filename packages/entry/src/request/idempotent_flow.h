// Serves idempotent requests: acquires a slot, sends the request, retries it on another worker.
#pragma once

#include "answers.h"
#include "environment.h"

namespace sassafrasferry::entry {

/// Maximum number of retries after workers that did not run the request; then it is refused.
constexpr int maxNotRunAttempts = 8;

/// Builds the request's submission to the dispatcher.
inline policy::Submission submissionOf(const CallerRequest &request)
{
    policy::Submission submission;
    submission.service = request.service;
    submission.requestClass = request.requestClass;
    submission.deadline = request.deadline;
    submission.job = request.job;
    return submission;
}

/// Converts the result of sending a request to the result that is reported to the dispatcher.
inline policy::RunResult runResultOf(const SendResult &sent)
{
    constexpr int firstFailure = 500;
    switch (sent.state) {
    case SendState::Answered:
        return sent.answer.status < firstFailure ? policy::RunResult::Succeeded
                                                 : policy::RunResult::Failed;
    case SendState::Refused:
        return policy::RunResult::Refused;
    case SendState::Leaving:
        return policy::RunResult::Leaving;
    case SendState::Unreachable:
        return policy::RunResult::Unreachable;
    case SendState::Broken:
        return policy::RunResult::Failed;
    case SendState::Cancelled:
    case SendState::Preempted:
        return policy::RunResult::Cancelled;
    }
    return policy::RunResult::Failed;
}

/// Time left until the request's deadline; at least one millisecond.
template<RequestEnvironment Environment>
std::chrono::milliseconds timeLeft(Environment &environment, const CallerRequest &request)
{
    constexpr std::chrono::milliseconds minimum{1};
    const auto left = request.deadline - environment.now();
    return std::max(minimum, std::chrono::duration_cast<std::chrono::milliseconds>(left));
}

/// Releases the slot and reports the result of the run to the dispatcher.
template<RequestEnvironment Environment>
void finishRun(Environment &environment, const CallerRequest &request, const policy::Grant &grant,
               policy::RunResult result, policy::Instant begin)
{
    environment.finish({grant.worker, request.service, result, grant.reason,
                        environment.now() - begin, request.job, grant.id});
}

/// Serves one idempotent request.
template<RequestEnvironment Environment>
class IdempotentFlow
{
public:
    IdempotentFlow(Environment &environment, const CallerRequest &request,
                   Cancellation &cancellation)
        : environment(environment)
        , request(request)
        , cancellation(cancellation)
        , submission(submissionOf(request))
    {}

    /// Runs the request until there is an answer for the caller.
    Awaitable<CallerAnswer> run()
    {
        this->environment.reached(this->request, RequestStep::Received);
        for (;;) {
            auto slot = co_await this->environment.slot(this->submission, this->cancellation);
            if (const auto *refusal = std::get_if<policy::Refusal>(&slot))
                co_return this->afterRefusal(*refusal);
            if (std::holds_alternative<SlotCancelled>(slot))
                co_return entryAnswer(this->outcomeIfCancelled(), AnswerReason::CallerGone, {});
            const auto grant = std::get<policy::Grant>(std::move(slot));
            this->environment.reached(this->request, RequestStep::SlotHeld);
            const auto begin = this->environment.now();
            SendOptions options;
            options.operationId = this->environment.newOperationId();
            options.timeout = timeLeft(this->environment, this->request);
            this->environment.reached(this->request, RequestStep::FirstByteSent);
            const auto sent =
                co_await this->environment.send(grant, this->request, options, this->cancellation);
            finishRun(this->environment, this->request, grant, runResultOf(sent), begin);
            auto answer = this->decide(sent, grant);
            if (answer.isFinal)
                co_return std::move(answer.answer);
        }
    }

private:
    // The final answer, or a request for another attempt if `isFinal` is false.
    struct Decision
    {
        bool isFinal = false;
        CallerAnswer answer;
    };

    model::Outcome outcomeIfCancelled() const
    {
        return this->mayHaveRun ? model::Outcome::Unknown : model::Outcome::NotRun;
    }

    // An error answer of a worker is preferred to the refusal, because it is more informative.
    CallerAnswer afterRefusal(const policy::Refusal &refusal) const
    {
        if (this->hasFailure)
            return this->failure;
        return refusalAnswer(refusal, this->mayHaveRun);
    }

    Decision decide(const SendResult &sent, const policy::Grant &grant)
    {
        switch (sent.state) {
        case SendState::Answered:
            this->environment.reached(this->request, RequestStep::AnswerWhole);
            if (runResultOf(sent) == policy::RunResult::Succeeded)
                return {true, workerAnswer(sent.answer, grant.workerName)};
            this->failure = workerAnswer(sent.answer, grant.workerName);
            this->hasFailure = true;
            return this->retryOnAnotherWorker(grant);
        case SendState::Broken:
            this->mayHaveRun = true;
            return this->retryOnAnotherWorker(grant);
        case SendState::Refused:
        case SendState::Leaving:
        case SendState::Unreachable:
            return this->retryAfterNotRun(grant, sent.state);
        case SendState::Preempted:
            // The request is queued again. The retry budget is not charged, since no worker failed.
            this->mayHaveRun = true;
            this->submission.isRetry = true;
            ++this->submission.preemptions;
            return {};
        case SendState::Cancelled:
            return {true, entryAnswer(model::Outcome::Unknown, AnswerReason::CallerGone, {})};
        }
        return {true, entryAnswer(model::Outcome::Unknown, AnswerReason::WorkerSilent, {})};
    }

    Decision retryOnAnotherWorker(const policy::Grant &grant)
    {
        const bool isPoisonJob = this->environment.jobFailed(this->request.job, grant.worker);
        const bool isPastDeadline = this->environment.now() >= this->request.deadline;
        if (isPoisonJob || isPastDeadline || !this->environment.takeRetry(this->request.service)) {
            if (this->hasFailure)
                return {true, this->failure};
            return {true, entryAnswer(model::Outcome::Unknown, AnswerReason::WorkerSilent,
                                      this->environment.retryAfter(this->request.service))};
        }
        this->submission.isRetry = true;
        this->submission.avoid.push_back(grant.workerName);
        this->submission.avoidRack = grant.rack;
        return {};
    }

    Decision retryAfterNotRun(const policy::Grant &grant, SendState state)
    {
        if (++this->notRunAttempts > maxNotRunAttempts) {
            const policy::Refusal refusal{{},
                                          policy::RefusalReason::TooManyRefusals,
                                          this->environment.retryAfter(this->request.service)};
            return {true, this->afterRefusal(refusal)};
        }
        this->submission.isRetry = true;
        if (state != SendState::Refused)
            this->submission.avoid.push_back(grant.workerName);
        return {};
    }

    Environment &environment;
    const CallerRequest &request;
    Cancellation &cancellation;
    policy::Submission submission;
    bool mayHaveRun = false; // an attempt ended without a complete answer
    bool hasFailure = false; // `failure` holds an error answer of a worker
    CallerAnswer failure;
    int notRunAttempts = 0;
};

} // namespace sassafrasferry::entry
