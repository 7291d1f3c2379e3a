// Serves requests that are not idempotent. The idempotency key is claimed in the store before the
// request is sent to a worker, so that it runs at most once despite failures.
#pragma once

#include "answers.h"
#include "claim_settler.h"
#include "environment.h"
#include "idempotent_flow.h"

#include <optional>

namespace sassafrasferry::entry {

/// The key of a claim, scoped by service and caller. The line feed is a safe separator, because
/// header values cannot contain one.
inline std::string scopedKey(const CallerRequest &request)
{
    return request.service + "\n" + request.callerId + "\n" + request.idempotencyKey;
}

/// Serves one request that is not idempotent.
template<RequestEnvironment Environment>
class KeyedFlow
{
public:
    KeyedFlow(Environment &environment, const CallerRequest &request,
              const policy::ServiceSpec &service, Cancellation &cancellation)
        : environment(environment)
        , request(request)
        , service(service)
        , cancellation(cancellation)
        , submission(submissionOf(request))
    {}

    /// Runs the request until there is an answer. Once a claim is written, the request continues
    /// even if the caller disconnects.
    Awaitable<CallerAnswer> run()
    {
        this->environment.reached(this->request, RequestStep::Received);
        if (this->request.idempotencyKey.empty())
            co_return entryAnswer(model::Outcome::NotRun, AnswerReason::KeyMissing, {});
        if (this->request.callerId.empty())
            co_return entryAnswer(model::Outcome::NotRun, AnswerReason::CallerMissing, {});
        const auto key = scopedKey(this->request);
        this->claim.key = key;
        for (;;) {
            // The claim is read before a slot is requested: a refusal may only report "not run" if
            // no earlier request with this key has run, and a stored answer needs no slot.
            const auto existing = co_await this->environment.readClaim(key);
            if (!existing.ok())
                co_return entryAnswer(model::Outcome::Unknown, AnswerReason::StoreUnavailable,
                                      this->retryDelay());
            this->environment.reached(this->request, RequestStep::ClaimRead);
            this->version = existing->version;
            if (existing->version != store::absent) {
                auto answer = co_await this->answerExisting(*existing);
                if (answer)
                    co_return std::move(*answer);
                if (this->mustReadAgain)
                    continue;
            }
            auto answer = co_await this->claimAndSend();
            if (answer)
                co_return std::move(*answer);
        }
    }

private:
    using MaybeAnswer = std::optional<CallerAnswer>;

    // Delay after which a caller should ask again for an outcome that is not known yet.
    policy::Duration retryDelay()
    {
        return this->environment.retryAfter(this->request.service);
    }

    // Handles an existing claim. Without an answer, the claim must be read again if `mustReadAgain`
    // is set; otherwise the key may be claimed on `version`.
    Awaitable<MaybeAnswer> answerExisting(store::VersionedClaim existing)
    {
        this->mustReadAgain = false;
        const bool isActive = this->environment.isPossiblyActive(existing.claim);
        const auto decision =
            policy::decideExisting(existing.claim, this->request.fingerprint, isActive);
        MaybeAnswer answer;
        switch (decision) {
        case policy::ExistingClaim::Replay:
            answer = co_await this->replay(existing.claim);
            break;
        case policy::ExistingClaim::Mismatch:
            answer = entryAnswer(model::Outcome::NotRun, AnswerReason::KeyMismatch, {});
            break;
        case policy::ExistingClaim::InProgress:
            answer = co_await this->waitBeforeReread(AnswerReason::InProgress);
            break;
        case policy::ExistingClaim::Settle:
            answer = co_await this->settle(existing);
            break;
        case policy::ExistingClaim::Reclaim:
            break;
        }
        co_return answer;
    }

    Awaitable<MaybeAnswer> replay(policy::Claim kept)
    {
        if (!kept.answer.object.empty()) {
            auto body = co_await this->environment.getObject(kept.answer.object);
            if (!body.ok())
                co_return entryAnswer(model::Outcome::Unknown, AnswerReason::StoreUnavailable,
                                      this->retryDelay());
            kept.answer.body = std::move(*body);
        }
        auto answer = workerAnswer(kept.answer, kept.worker);
        answer.replayed = true;
        co_return answer;
    }

    // Waits for the poll interval before the claim is read again. Returns an answer if the deadline
    // would pass meanwhile or the caller is gone.
    Awaitable<MaybeAnswer> waitBeforeReread(AnswerReason reason)
    {
        const auto next = this->environment.now() + this->poll;
        if (next >= this->request.deadline || this->cancellation.requested())
            co_return entryAnswer(model::Outcome::Unknown, reason, this->retryDelay());
        co_await this->environment.pause(this->poll);
        this->poll = std::min(2 * this->poll, KeyedRequestLimits{}.maxPollInterval);
        this->mustReadAgain = true;
        co_return std::nullopt;
    }

    Awaitable<MaybeAnswer> settle(store::VersionedClaim existing)
    {
        ClaimSettler<Environment> settler(this->environment);
        const auto settled = co_await settler.settle(existing);
        MaybeAnswer answer;
        switch (settled.settlement) {
        case policy::Settlement::Complete: {
            answer = workerAnswer(settled.word.answer, existing.claim.worker);
            answer->replayed = true;
            break;
        }
        case policy::Settlement::NotRun:
            this->version = settled.current.version;
            break;
        case policy::Settlement::Open:
            // Waiting only helps if the outcome can become known without further action.
            if (canBecomeKnown(existing.claim, settled.word))
                answer = co_await this->waitBeforeReread(AnswerReason::NotSettled);
            else
                answer = entryAnswer(model::Outcome::Unknown, AnswerReason::NotSettled,
                                     this->retryDelay());
            break;
        }
        co_return answer;
    }

    // Claims the key and sends the request, trying other workers until one has run it. Returns no
    // answer if another request has claimed the key first.
    Awaitable<MaybeAnswer> claimAndSend()
    {
        for (;;) {
            auto slot = co_await this->environment.slot(this->submission, this->cancellation);
            if (const auto *refusal = std::get_if<policy::Refusal>(&slot)) {
                auto answer = co_await this->confirmNotRun(refusalAnswer(*refusal, false));
                co_return answer;
            }
            if (std::holds_alternative<SlotCancelled>(slot)) {
                this->scheduleMarkNotRun();
                co_return entryAnswer(model::Outcome::NotRun, AnswerReason::CallerGone, {});
            }
            const auto grant = std::get<policy::Grant>(std::move(slot));
            this->environment.reached(this->request, RequestStep::SlotHeld);
            this->fillClaim(grant);
            this->environment.setActive(this->claim.operationId, true);
            auto answer = co_await this->runOn(grant);
            this->environment.setActive(this->claim.operationId, false);
            if (answer || this->mustReadAgain)
                co_return answer;
        }
    }

    void fillClaim(const policy::Grant &grant)
    {
        auto &filled = this->claim;
        filled.fingerprint = this->request.fingerprint;
        filled.operationId = this->environment.newOperationId();
        filled.entry = this->environment.entryName();
        filled.incarnation = this->environment.incarnation();
        filled.worker = grant.workerName;
        filled.workerAddress = model::toString(grant.address);
        filled.claimedAt = this->environment.unixNow();
        const auto left = timeLeft(this->environment, this->request);
        filled.startDeadline =
            filled.claimedAt + std::min(left, KeyedRequestLimits{}.startWindow).count();
        filled.startRefusal = this->service.startRefusal;
        filled.settle(policy::ClaimState::Claimed, 0);
        this->mustReadAgain = false;
    }

    // Makes one attempt on one worker. Returns no answer if another worker must be tried or the
    // claim must be read again.
    Awaitable<MaybeAnswer> runOn(policy::Grant grant)
    {
        const auto written = co_await this->environment.writeClaim(this->claim, this->version);
        if (written.state != store::WriteState::Written) {
            finishRun(this->environment, this->request, grant, policy::RunResult::Cancelled,
                      this->environment.now());
            co_return this->afterFailedClaim(written);
        }
        this->version = written.version;
        this->hasClaim = true;
        this->environment.reached(this->request, RequestStep::ClaimWritten);
        // The write to the store may have been slow. This check only avoids sending a request that
        // the worker would refuse. The worker's own check is the guarantee, because this process
        // may be suspended right after this one.
        const auto margin = KeyedRequestLimits{}.startMargin.count();
        if (this->environment.unixNow() + margin > this->claim.startDeadline) {
            finishRun(this->environment, this->request, grant, policy::RunResult::Cancelled,
                      this->environment.now());
            auto late = entryAnswer(model::Outcome::NotRun, AnswerReason::StartTooLate,
                                    this->environment.retryAfter(this->request.service));
            auto answer = co_await this->confirmNotRun(std::move(late));
            co_return answer;
        }
        this->environment.reached(this->request, RequestStep::StartDeadlineChecked);
        const auto begin = this->environment.now();
        SendOptions options;
        options.operationId = this->claim.operationId;
        options.startDeadline = this->claim.startDeadline;
        options.timeout = timeLeft(this->environment, this->request);
        this->environment.reached(this->request, RequestStep::FirstByteSent);
        Cancellation never; // the run continues and its answer is stored if the caller is gone
        const auto sent = co_await this->environment.send(grant, this->request, options, never);
        finishRun(this->environment, this->request, grant, runResultOf(sent), begin);
        MaybeAnswer answer;
        switch (sent.state) {
        case SendState::Answered:
            answer = co_await this->complete(sent.answer);
            break;
        case SendState::Refused:
        case SendState::Leaving:
        case SendState::Unreachable:
            answer = co_await this->afterNotRun(grant, sent.state);
            break;
        case SendState::Broken:
        case SendState::Cancelled:
        case SendState::Preempted:
            answer = co_await this->afterBroken();
            break;
        }
        co_return answer;
    }

    MaybeAnswer afterFailedClaim(const store::WriteResult &written)
    {
        switch (written.state) {
        case store::WriteState::Conflict:
            this->hasClaim = false; // another request owns the row now
            this->mustReadAgain = true;
            return std::nullopt;
        case store::WriteState::NotApplied:
            // This request has not run, but a resend through another entry VM may have. That cannot
            // be determined while the store is unavailable.
            this->scheduleMarkNotRun();
            return entryAnswer(model::Outcome::Unknown, AnswerReason::StoreUnavailable,
                               this->retryDelay());
        case store::WriteState::Unknown:
        case store::WriteState::Written:
            break;
        }
        // Nothing was sent, but the claim may have been written and would then block a resend.
        this->environment.scheduleFollowUp(this->claim, this->version, ClaimFollowUp::MarkNotRun);
        return entryAnswer(model::Outcome::Unknown, AnswerReason::StoreUncertain,
                           this->retryDelay());
    }

    Awaitable<MaybeAnswer> afterNotRun(policy::Grant grant, SendState state)
    {
        if (++this->notRunAttempts > maxNotRunAttempts) {
            const policy::Refusal refusal{{},
                                          policy::RefusalReason::TooManyRefusals,
                                          this->environment.retryAfter(this->request.service)};
            auto answer = co_await this->confirmNotRun(refusalAnswer(refusal, false));
            co_return answer;
        }
        this->submission.isRetry = true;
        if (state != SendState::Refused)
            this->submission.avoid.push_back(grant.workerName);
        co_return std::nullopt;
    }

    // Returns the given "not run" answer after the store has confirmed it. While this request
    // waited or its process was suspended, a resend through another entry VM may have taken over
    // the key and run; a caller that is told "not run" would then repeat the work under a new key.
    // Returns no answer if the claim must be read again.
    Awaitable<MaybeAnswer> confirmNotRun(CallerAnswer answer)
    {
        if (!this->hasClaim) {
            const auto current = co_await this->environment.readClaim(this->claim.key);
            if (!current.ok())
                co_return entryAnswer(model::Outcome::Unknown, AnswerReason::StoreUnavailable,
                                      this->retryDelay());
            this->mustReadAgain = current->version != this->version;
            if (this->mustReadAgain)
                co_return std::nullopt;
            co_return answer;
        }
        auto settled = this->claim;
        settled.settle(policy::ClaimState::NotRun, this->environment.unixNow());
        const auto written = co_await this->environment.writeClaim(settled, this->version);
        if (written.state == store::WriteState::Written) {
            this->hasClaim = false;
            co_return answer;
        }
        if (written.state == store::WriteState::Conflict) {
            this->hasClaim = false;
            this->mustReadAgain = true;
            co_return std::nullopt;
        }
        this->scheduleMarkNotRun();
        co_return entryAnswer(model::Outcome::Unknown, AnswerReason::StoreUncertain,
                              this->retryDelay());
    }

    // Marks this request's claim as not run in the background, so that a resend may run. Called
    // only if no worker runs the request.
    void scheduleMarkNotRun()
    {
        if (std::exchange(this->hasClaim, false))
            this->environment.scheduleFollowUp(this->claim, this->version,
                                               ClaimFollowUp::MarkNotRun);
    }

    Awaitable<MaybeAnswer> complete(policy::StoredAnswer stored)
    {
        this->environment.reached(this->request, RequestStep::AnswerWhole);
        auto answer = workerAnswer(stored, this->claim.worker);
        this->claim.settle(policy::ClaimState::Completed, this->environment.unixNow());
        this->claim.answer = std::move(stored);
        const auto body =
            co_await ClaimSettler<Environment>::storeBody(this->environment, this->claim);
        if (body.ok()) {
            this->environment.reached(this->request, RequestStep::AnswerStored);
            const auto written = co_await this->environment.writeClaim(this->claim, this->version);
            // On a conflict, another entry VM has settled the claim with the same worker's answer.
            if (written.state == store::WriteState::Written
                || written.state == store::WriteState::Conflict) {
                this->environment.reached(this->request, RequestStep::ClaimCompleted);
                co_return answer;
            }
        }
        // The request ran, and the caller gets the answer. Until the answer is stored, a resend
        // queries the worker named in the claim.
        this->environment.scheduleFollowUp(this->claim, this->version, ClaimFollowUp::StoreAnswer);
        co_return answer;
    }

    // The worker's answer was cut off. Polls the worker for the outcome, which it may still hold.
    Awaitable<MaybeAnswer> afterBroken()
    {
        ClaimSettler<Environment> settler(this->environment);
        store::VersionedClaim own;
        own.claim = this->claim;
        own.version = this->version;
        while (this->environment.now() + this->poll < this->request.deadline) {
            const auto settled = co_await settler.settle(own);
            if (settled.settlement == policy::Settlement::Complete)
                co_return workerAnswer(settled.word.answer, this->claim.worker);
            if (settled.settlement == policy::Settlement::NotRun)
                co_return entryAnswer(model::Outcome::NotRun, AnswerReason::WorkerSilent,
                                      this->environment.retryAfter(this->request.service));
            if (!canBecomeKnown(this->claim, settled.word))
                break;
            co_await this->environment.pause(this->poll);
            this->poll = std::min(2 * this->poll, KeyedRequestLimits{}.maxPollInterval);
        }
        this->environment.scheduleFollowUp(this->claim, this->version, ClaimFollowUp::QueryWorker);
        co_return entryAnswer(model::Outcome::Unknown, AnswerReason::WorkerSilent,
                              this->retryDelay());
    }

    Environment &environment;
    const CallerRequest &request;
    const policy::ServiceSpec &service;
    Cancellation &cancellation;
    policy::Submission submission;
    policy::Claim claim; // as last written or about to be written
    std::int64_t version = store::absent; // version of the claim's row
    // The row holds a claim of this request in state claimed, unless it was changed since. Read
    // only while no worker runs the request.
    bool hasClaim = false;
    bool mustReadAgain = false;
    int notRunAttempts = 0;
    std::chrono::milliseconds poll = KeyedRequestLimits{}.initialPollInterval;
};

} // namespace sassafrasferry::entry
