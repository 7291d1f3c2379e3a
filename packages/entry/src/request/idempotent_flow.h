// The way of an idempotent request: slot, worker, and on to another worker if that fails.
#pragma once

#include "answers.h"
#include "environment.h"

namespace sassafrasferry::entry {

/// Times a request is tried again after workers that did not run it, before it is refused.
constexpr int mostNotRunTries = 8;

/// The submission of a request to the dispatcher.
inline policy::Submission submissionOf(const CallerRequest &request)
{
    policy::Submission submission;
    submission.service = request.service;
    submission.requestClass = request.requestClass;
    submission.deadline = request.deadline;
    submission.job = request.job;
    return submission;
}

/// The dispatcher's word for how a request ended at a worker.
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

/// Time left until the request's deadline, at least a millisecond.
template<RequestEnvironment Environment>
std::chrono::milliseconds timeLeft(Environment &environment, const CallerRequest &request)
{
    constexpr std::chrono::milliseconds least{1};
    const auto left = request.deadline - environment.now();
    return std::max(least, std::chrono::duration_cast<std::chrono::milliseconds>(left));
}

/// Gives the slot back, with what became of the request.
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

    /// Runs to the answer.
    Awaitable<CallerAnswer> run()
    {
        this->environment.reached(this->request, RequestStep::Received);
        for (;;) {
            auto slot = co_await this->environment.slot(this->submission, this->cancellation);
            if (const auto *refusal = std::get_if<policy::Refusal>(&slot))
                co_return this->afterRefusal(*refusal);
            if (std::holds_alternative<SlotCancelled>(slot))
                co_return ownAnswer(this->outcomeIfGivenUp(), AnswerReason::CallerGone, {});
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
    // The answer, or the wish to try again.
    struct Decision
    {
        bool isFinal = false;
        CallerAnswer answer;
    };

    model::Outcome outcomeIfGivenUp() const
    {
        return this->mayHaveRun ? model::Outcome::Unknown : model::Outcome::NotRun;
    }

    // If a worker's failing answer is at hand, it says more than a refusal.
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
            return this->tryElsewhere(grant);
        case SendState::Broken:
            this->mayHaveRun = true;
            return this->tryElsewhere(grant);
        case SendState::Refused:
        case SendState::Leaving:
        case SendState::Unreachable:
            return this->tryAgainAfterNotRun(grant, sent.state);
        case SendState::Preempted:
            // It waits for its next turn; no retry is counted, since no worker failed.
            this->mayHaveRun = true;
            this->submission.isRetry = true;
            ++this->submission.preemptions;
            return {};
        case SendState::Cancelled:
            return {true, ownAnswer(model::Outcome::Unknown, AnswerReason::CallerGone, {})};
        }
        return {true, ownAnswer(model::Outcome::Unknown, AnswerReason::WorkerSilent, {})};
    }

    Decision tryElsewhere(const policy::Grant &grant)
    {
        const bool isHopeless = this->environment.jobFailed(this->request.job, grant.worker);
        const bool isOver = this->environment.now() >= this->request.deadline;
        if (isHopeless || isOver || !this->environment.takeRetry(this->request.service)) {
            if (this->hasFailure)
                return {true, this->failure};
            return {true, ownAnswer(model::Outcome::Unknown, AnswerReason::WorkerSilent,
                                    this->environment.retryAfter(this->request.service))};
        }
        this->submission.isRetry = true;
        this->submission.avoid.push_back(grant.workerName);
        this->submission.avoidRack = grant.rack;
        return {};
    }

    Decision tryAgainAfterNotRun(const policy::Grant &grant, SendState state)
    {
        if (++this->notRunTries > mostNotRunTries) {
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
    bool mayHaveRun = false; // an attempt ended without a whole answer
    bool hasFailure = false; // `failure` holds a worker's failing answer
    CallerAnswer failure;
    int notRunTries = 0;
};

} // namespace sassafrasferry::entry
