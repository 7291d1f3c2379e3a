// Serves submissions of jobs on an entry VM: stores them here or through a peer, and answers what
// is known of them.
#pragma once

#include <sassafrasferry/coordination/caller_request.h>
#include <sassafrasferry/coordination/configuration_reader.h>
#include <sassafrasferry/coordination/hand_in.h>
#include <sassafrasferry/coordination/intake.h>
#include <sassafrasferry/coordination/job_messenger.h>
#include <sassafrasferry/coordination/job_platform.h>
#include <sassafrasferry/coordination/known_job.h>
#include <sassafrasferry/coordination/stored_jobs.h>

#include <sassafrasferry/http/json.h>
#include <sassafrasferry/policy/retry_advice.h>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::coordination {

/// The parts of an entry VM that submissions use.
template<JobPlatform Platform>
struct SubmissionNode
{
    using Store = typename Platform::Store;

    store::RowLimits rowLimits;
    Intake<Store> &intake;
    StoredJobs<Store> &stored;
    JobMessenger &messenger;
    ConfigurationReader<Platform> &operators;
    /// Returns the peer that stores a job in place of this entry VM; `nullopt` if there is none.
    std::function<std::optional<model::Endpoint>()> handInPeer;
    /// Returns what the leader's books tell of a job; `nullopt` if no leader answers.
    std::function<Awaitable<std::optional<KnownJob>>(std::string job)> askLeader;
};

template<JobPlatform Platform>
class JobSubmission
{
public:
    using Store = typename Platform::Store;

    explicit JobSubmission(SubmissionNode<Platform> node)
        : node(std::move(node))
    {}

    /// Answers a caller who submits a job on the queue.
    Awaitable<http::Response> submit(const scheduling::Queue &queue, const Caller &caller,
                                     const std::string &job, const http::Request &request)
    {
        if (!isJobId(job))
            co_return http::textResponse(http::Status::bad_request, "not the id of a job\n");
        const auto spec = Platform::decodeJob(request.body());
        if (!spec.ok()) {
            LOG(WARNING) << "event=submit job=" << job << " queue=" << queue.terms.queue
                         << " outcome=malformed error=\"" << spec.status().message() << '"';
            co_return http::textResponse(http::Status::bad_request,
                                         std::string(spec.status().message()) + "\n");
        }
        const auto *customer = this->node.operators.configuration().findCustomer(caller.customer);
        if (customer && !scheduling::canEverRun(*spec, customer->cap)) {
            auto answer = co_await this->answerAboveCap(job, caller.customer);
            LOG(WARNING) << "event=submit job=" << job << " queue=" << queue.terms.queue
                         << " customer=" << caller.customer
                         << " outcome=above-cap status=" << answer.result_int();
            co_return answer;
        }
        auto record = recordOf(*spec, queue.terms);
        record.set_accepted_milliseconds(http::unixNow());
        record.set_configuration(this->node.operators.configuration().version);
        record.set_customer(caller.customer);
        const auto begin = bootNow();
        const auto deadline = deadlineOf(request, Platform::deadlineHeader());
        const auto bytes = record.SerializeAsString();
        if (bytes.size() > this->node.rowLimits.valueBytes) {
            LOG(WARNING) << "event=submit job=" << job << " queue=" << queue.terms.queue
                         << " outcome=too-large bytes=" << bytes.size();
            co_return http::textResponse(
                http::Status::bad_request,
                absl::StrCat("the job has ", bytes.size(), " bytes, of which the store takes ",
                             this->node.rowLimits.valueBytes, " at most\n"));
        }
        const auto handIn = std::make_shared<HandIn<Intake<Store>>>(
            this->node.intake, this->handInRoutes(caller, deadline), job, deadline);
        const auto result = co_await handIn->run(bytes);
        LOG(INFO) << "event=submit job=" << job << " queue=" << queue.terms.queue
                  << " customer=" << caller.customer << " outcome=" << model::nameOf(result)
                  << " ms=" << policy::seconds(bootNow() - begin) * 1000
                  << " config=" << this->node.operators.configuration().version;
        switch (result) {
        case IntakeResult::Stored:
        case IntakeResult::AlreadyStored:
            co_return http::jsonResponse(http::Status::ok, {{"state", "queued"}});
        case IntakeResult::Refused:
            co_return retryLater("the store takes no jobs now",
                                 policy::retryAfter(this->node.intake.failingFor(), job));
        case IntakeResult::Taken:
            co_return idTaken();
        case IntakeResult::Withdrawn:
            co_return cancelledBefore();
        case IntakeResult::Unknown:
            break;
        }
        // Not answered as a refusal, because the job may be stored now or later.
        co_return http::textResponse(http::Status::gateway_timeout, "ask again\n");
    }

    /// Stores a job that a peer could not store itself.
    Awaitable<messages::JobAnswer> storeForPeer(messages::HandIn handedIn)
    {
        const auto patience = std::chrono::milliseconds(handedIn.patience_milliseconds());
        const auto deadline = bootNow() + patience;
        messages::JobRecord record;
        auto result = IntakeResult::Refused;
        // The sender can't read the store, so its configuration may be old, and so may this one.
        const bool isCurrent = co_await this->node.operators.renew(deadline);
        const bool isOutdated = !isCurrent && !this->node.operators.mayRoute();
        if (!record.ParseFromString(handedIn.record()))
            LOG(ERROR) << "event=hand-in-unreadable job=" << handedIn.job();
        else if (handedIn.record().size() > this->node.rowLimits.valueBytes)
            LOG(WARNING) << "event=hand-in-too-large job=" << handedIn.job()
                         << " bytes=" << handedIn.record().size();
        else if (isOutdated || !this->isStillAllowed(record, handedIn.key_digest()))
            LOG(INFO) << "event=hand-in-refused job=" << handedIn.job()
                      << " queue=" << record.queue() << " customer=" << record.customer()
                      << " config=" << this->node.operators.configuration().version
                      << " sender-config=" << record.configuration();
        else
            result = co_await this->node.intake.submit(handedIn.job(), handedIn.record(), deadline);
        messages::JobAnswer answer;
        answer.set_hand_in_result(1 + static_cast<std::uint32_t>(result));
        co_return answer;
    }

private:
    static constexpr Duration maxHandInWait = std::chrono::milliseconds(900);

    // The cap may have been cut after the job was accepted, and then the caller repeats the
    // request.
    Awaitable<http::Response> answerAboveCap(std::string job, std::string customer)
    {
        const auto found = co_await this->node.stored.find(std::move(job));
        if (!found)
            co_return retryLater("it can't be told now whether the job is stored");
        if (found->state == scheduling::JobState::Unknown)
            co_return aboveCap();
        if (!policy::mayKnowJob(customer, found->customer))
            co_return idTaken();
        co_return http::jsonResponse(http::Status::ok, {{"state", "queued"}});
    }

    bool isStillAllowed(const messages::JobRecord &record, const std::string &keyDigest) const
    {
        const auto &operators = this->node.operators;
        return !isQueueDropped(record, operators.configuration())
               && !isKeyRemoved(record, keyDigest, operators.configuration(), operators.keys());
    }

    HandInRoutes handInRoutes(const Caller &caller, Instant deadline)
    {
        return {[this, deadline, digest = caller.keyDigest](std::string job, std::string record) {
                    messages::HandIn handedIn;
                    handedIn.set_job(std::move(job));
                    handedIn.set_record(std::move(record));
                    handedIn.set_key_digest(digest);
                    return this->handInThroughPeer(std::move(handedIn), deadline);
                },
                [this, customer = caller.customer](std::string job) {
                    return this->isKnownToLeader(std::move(job), customer);
                },
                [this, customer = caller.customer](std::string job) {
                    return this->isSeenInStore(std::move(job), customer);
                }};
    }

    // A leader of an earlier version doesn't tell whose job it is, which proves nothing.
    Awaitable<bool> isKnownToLeader(std::string job, std::string customer)
    {
        const auto known = co_await this->node.askLeader(std::move(job));
        const bool isKnown = known && known->state != scheduling::JobState::Unknown
                             && (customer.empty() || known->customer)
                             && policy::mayKnowJob(customer, known->customer.value_or(""));
        co_return isKnown;
    }

    Awaitable<bool> isSeenInStore(std::string job, std::string customer)
    {
        const auto found = co_await this->node.stored.find(std::move(job));
        const bool isSeen = found && found->state != scheduling::JobState::Unknown
                            && policy::mayKnowJob(customer, found->customer);
        co_return isSeen;
    }

    Awaitable<std::optional<IntakeResult>> handInThroughPeer(messages::HandIn handedIn,
                                                             Instant deadline)
    {
        const auto peer = this->node.handInPeer();
        if (!peer)
            co_return IntakeResult::Refused;
        const auto patience = std::min<Duration>(deadline - bootNow(), maxHandInWait);
        handedIn.set_patience_milliseconds(
            static_cast<std::uint32_t>(patience / std::chrono::milliseconds(1)));
        const auto job = handedIn.job();
        messages::JobQuestion question;
        *question.mutable_hand_in() = std::move(handedIn);
        const auto answer =
            co_await this->node.messenger.ask(*peer, question, patience + questionTimeout / 2);
        LOG(INFO) << "event=hand-in job=" << job << " peer=" << model::toString(*peer)
                  << " answered=" << answer.has_value()
                  << " result=" << (answer ? answer->hand_in_result() : 0);
        if (!answer)
            co_return std::nullopt;
        // 0: the peer runs an earlier version without hand-ins and has stored nothing.
        if (answer->hand_in_result() == 0)
            co_return IntakeResult::Refused;
        co_return static_cast<IntakeResult>(answer->hand_in_result() - 1);
    }

    SubmissionNode<Platform> node;
};

} // namespace sassafrasferry::coordination
