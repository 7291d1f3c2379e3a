// The way of a request that is not idempotent: its key is claimed in the store before the first
// byte leaves, so that it runs at most once, whatever fails between.
#pragma once

#include "answers.h"
#include "claim_settler.h"
#include "environment.h"
#include "idempotent_flow.h"

#include <optional>

namespace sassafrasferry::entry {

/// The key of a claim: the service and the caller scope it. Header values hold no line feed.
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

    /// Runs to the answer. Once a claim is written it goes on though the caller has gone.
    Awaitable<CallerAnswer> run()
    {
        this->environment.reached(this->request, RequestStep::Received);
        if (this->request.idempotencyKey.empty())
            co_return ownAnswer(model::Outcome::NotRun, AnswerReason::KeyMissing, {});
        if (this->request.callerId.empty())
            co_return ownAnswer(model::Outcome::NotRun, AnswerReason::CallerMissing, {});
        const auto key = scopedKey(this->request);
        this->claim.key = key;
        for (;;) {
            // The claim is read before a slot is asked for: a refusal may only say "not run" if no
            // earlier request with this key has run, and a kept answer needs no slot.
            const auto existing = co_await this->environment.readClaim(key);
            if (!existing.ok())
                co_return ownAnswer(model::Outcome::Unknown, AnswerReason::StoreUnavailable,
                                    this->comeBack());
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

    // How soon a caller may come back for an outcome that is not known yet.
    policy::Duration comeBack()
    {
        return this->environment.retryAfter(this->request.service);
    }

    // An answer; or none, and the key may be claimed on `version`, or must be read again.
    Awaitable<MaybeAnswer> answerExisting(store::VersionedClaim existing)
    {
        this->mustReadAgain = false;
        const bool isActive = this->environment.mayBeActive(existing.claim);
        const auto decision =
            policy::decideExisting(existing.claim, this->request.fingerprint, isActive);
        MaybeAnswer answer;
        switch (decision) {
        case policy::ExistingClaim::Replay:
            answer = co_await this->replay(existing.claim);
            break;
        case policy::ExistingClaim::Mismatch:
            answer = ownAnswer(model::Outcome::NotRun, AnswerReason::KeyMismatch, {});
            break;
        case policy::ExistingClaim::InProgress:
            answer = co_await this->waitOn(AnswerReason::InProgress);
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
                co_return ownAnswer(model::Outcome::Unknown, AnswerReason::StoreUnavailable,
                                    this->comeBack());
            kept.answer.body = std::move(*body);
        }
        auto answer = workerAnswer(kept.answer, kept.worker);
        answer.replayed = true;
        co_return answer;
    }

    // Waits a little before the claim is read again; an answer if the deadline does not allow it.
    Awaitable<MaybeAnswer> waitOn(AnswerReason reason)
    {
        const auto next = this->environment.now() + this->poll;
        if (next >= this->request.deadline || this->cancellation.requested())
            co_return ownAnswer(model::Outcome::Unknown, reason, this->comeBack());
        co_await this->environment.pause(this->poll);
        this->poll = std::min(2 * this->poll, KeyedTimes{}.longestPoll);
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
            // Waiting is only of use if time alone will tell.
            if (this->mayTurnOut(existing.claim, settled.word))
                answer = co_await this->waitOn(AnswerReason::NotSettled);
            else
                answer =
                    ownAnswer(model::Outcome::Unknown, AnswerReason::NotSettled, this->comeBack());
            break;
        }
        co_return answer;
    }

    bool mayTurnOut(const policy::Claim &existing, const policy::WorkerWord &word) const
    {
        if (word.state == policy::RunState::Running || word.state == policy::RunState::Done)
            return true;
        return word.state == policy::RunState::NeverSeen && existing.startRefusal
               && word.workerStartedAt + policy::clockTolerance < existing.claimedAt;
    }

    // Claims the key and sends; tries other workers while none has run it. No answer: another
    // request came first with its claim.
    Awaitable<MaybeAnswer> claimAndSend()
    {
        for (;;) {
            auto slot = co_await this->environment.slot(this->submission, this->cancellation);
            if (const auto *refusal = std::get_if<policy::Refusal>(&slot)) {
                auto answer = co_await this->tellNotRun(refusalAnswer(*refusal, false));
                co_return answer;
            }
            if (std::holds_alternative<SlotCancelled>(slot)) {
                this->markNotRun();
                co_return ownAnswer(model::Outcome::NotRun, AnswerReason::CallerGone, {});
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
        filled.startDeadline = filled.claimedAt + std::min(left, KeyedTimes{}.startWindow).count();
        filled.startRefusal = this->service.startRefusal;
        filled.settle(policy::ClaimState::Claimed, 0);
        this->mustReadAgain = false;
    }

    // One try at one worker. No answer: try another one, or read the claim again.
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
        // The store may have taken long. This check only saves a useless sending: what holds is
        // that the worker refuses, since this process may freeze right after the check.
        const auto margin = KeyedTimes{}.startMargin.count();
        if (this->environment.unixNow() + margin > this->claim.startDeadline) {
            finishRun(this->environment, this->request, grant, policy::RunResult::Cancelled,
                      this->environment.now());
            auto late = ownAnswer(model::Outcome::NotRun, AnswerReason::StartTooLate,
                                  this->environment.retryAfter(this->request.service));
            auto answer = co_await this->tellNotRun(std::move(late));
            co_return answer;
        }
        this->environment.reached(this->request, RequestStep::StartDeadlineChecked);
        const auto begin = this->environment.now();
        SendOptions options;
        options.operationId = this->claim.operationId;
        options.startDeadline = this->claim.startDeadline;
        options.timeout = timeLeft(this->environment, this->request);
        this->environment.reached(this->request, RequestStep::FirstByteSent);
        Cancellation never; // the run goes on and keeps its answer though the caller is gone
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
            this->hasClaim = false; // the row is another request's now
            this->mustReadAgain = true;
            return std::nullopt;
        case store::WriteState::NotApplied:
            // This request has not run, but while the store cannot be asked nobody knows whether
            // a resend has, through another entry VM.
            this->markNotRun();
            return ownAnswer(model::Outcome::Unknown, AnswerReason::StoreUnavailable,
                             this->comeBack());
        case store::WriteState::Unknown:
        case store::WriteState::Written:
            break;
        }
        // Nothing was sent, but the claim may stand in the store and hold off a resend.
        this->environment.leaveOver(this->claim, this->version, LeftOver::MarkNotRun);
        return ownAnswer(model::Outcome::Unknown, AnswerReason::StoreUncertain, this->comeBack());
    }

    Awaitable<MaybeAnswer> afterNotRun(policy::Grant grant, SendState state)
    {
        if (++this->notRunTries > mostNotRunTries) {
            const policy::Refusal refusal{{},
                                          policy::RefusalReason::TooManyRefusals,
                                          this->environment.retryAfter(this->request.service)};
            auto answer = co_await this->tellNotRun(refusalAnswer(refusal, false));
            co_return answer;
        }
        this->submission.isRetry = true;
        if (state != SendState::Refused)
            this->submission.avoid.push_back(grant.workerName);
        co_return std::nullopt;
    }

    // The answer "not run", once the store confirms it. While this request waited, or its process
    // was frozen, a resend may have taken the key over through another entry VM and have run: a
    // caller told "not run" then would send the work again under a new key. No answer: read the
    // claim again.
    Awaitable<MaybeAnswer> tellNotRun(CallerAnswer answer)
    {
        if (!this->hasClaim) {
            const auto current = co_await this->environment.readClaim(this->claim.key);
            if (!current.ok())
                co_return ownAnswer(model::Outcome::Unknown, AnswerReason::StoreUnavailable,
                                    this->comeBack());
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
        this->markNotRun();
        co_return ownAnswer(model::Outcome::Unknown, AnswerReason::StoreUncertain,
                            this->comeBack());
    }

    // Our claim stands, and we know that no worker runs it: say so, so that a resend may run.
    void markNotRun()
    {
        if (std::exchange(this->hasClaim, false))
            this->environment.leaveOver(this->claim, this->version, LeftOver::MarkNotRun);
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
            // In a conflict another entry VM has settled the claim with the worker's own answer.
            if (written.state == store::WriteState::Written
                || written.state == store::WriteState::Conflict) {
                this->environment.reached(this->request, RequestStep::ClaimCompleted);
                co_return answer;
            }
        }
        // It ran, and the caller is told so; until the store has the answer, a resend asks the
        // worker that the claim names.
        this->environment.leaveOver(this->claim, this->version, LeftOver::StoreAnswer);
        co_return answer;
    }

    // The worker's answer broke off. It may still have it.
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
                co_return ownAnswer(model::Outcome::NotRun, AnswerReason::WorkerSilent,
                                    this->environment.retryAfter(this->request.service));
            if (!this->mayTurnOut(this->claim, settled.word))
                break;
            co_await this->environment.pause(this->poll);
            this->poll = std::min(2 * this->poll, KeyedTimes{}.longestPoll);
        }
        this->environment.leaveOver(this->claim, this->version, LeftOver::AskWorker);
        co_return ownAnswer(model::Outcome::Unknown, AnswerReason::WorkerSilent, this->comeBack());
    }

    Environment &environment;
    const CallerRequest &request;
    const policy::ServiceSpec &service;
    Cancellation &cancellation;
    policy::Submission submission;
    policy::Claim claim; // as last written, or about to be
    std::int64_t version = store::absent; // of the claim's row
    bool hasClaim = false; // the row holds `claim` in state claimed, and nothing runs it
    bool mustReadAgain = false;
    int notRunTries = 0;
    std::chrono::milliseconds poll = KeyedTimes{}.firstPoll;
};

} // namespace sassafrasferry::entry
