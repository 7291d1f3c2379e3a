// Answers callers who ask for a job's state or a queue's count, or cancel a job: from the leader's
// books, on this entry VM or another one, or from the store.
#pragma once

#include <sassafrasferry/coordination/caller_request.h>
#include <sassafrasferry/coordination/intake.h>
#include <sassafrasferry/coordination/job_messenger.h>
#include <sassafrasferry/coordination/known_job.h>
#include <sassafrasferry/coordination/leader.h>
#include <sassafrasferry/coordination/stored_jobs.h>

#include <sassafrasferry/http/json.h>
#include <sassafrasferry/policy/caller_access.h>

namespace sassafrasferry::coordination {

/// A pending count may be two seconds old when its caller gets it. The rest of that time is for the
/// answer's way through another entry VM.
constexpr Duration maxCountAge = std::chrono::milliseconds(1700);

/// The parts of an entry VM that queries use.
template<JobPlatform Platform>
struct QueryNode
{
    StoredJobs<typename Platform::Store> &stored;
    Intake<typename Platform::Store> &intake;
    JobMessenger &messenger;
    bool checksKeys = false;
    /// Returns the leader on this entry VM if it has loaded all jobs, else null.
    std::function<std::shared_ptr<Leader<Platform>>()> readyLeader;
    /// Returns the address of the leader if that is another entry VM.
    std::function<std::optional<model::Endpoint>()> otherLeader;
};

template<JobPlatform Platform>
class JobQueries
{
public:
    explicit JobQueries(QueryNode<Platform> node)
        : node(std::move(node))
    {}

    /// Answers a caller who asks for the job's state.
    Awaitable<http::Response> state(const std::string &job, const std::string &customer)
    {
        if (!isJobId(job))
            co_return noSuchJob();
        auto known = co_await this->askLeader(job);
        const bool isWhole = known && (known->customer || !this->node.checksKeys);
        // The leader may not yet have read a job that was stored just now.
        if (!isWhole || known->state == scheduling::JobState::Unknown) {
            const auto found = co_await this->node.stored.find(job);
            if (!found)
                co_return retryLater("the job's state can't be read now");
            known = KnownJob{found->state, found->customer};
        }
        const bool isVisible = policy::mayKnowJob(customer, known->customer.value_or(""));
        if (known->state == scheduling::JobState::Unknown || !isVisible)
            co_return noSuchJob();
        co_return http::jsonResponse(http::Status::ok,
                                     {{"state", std::string(model::nameOf(known->state))}});
    }

    /// Returns what the leader's books tell of the job; `nullopt` if no leader answers.
    Awaitable<std::optional<KnownJob>> askLeader(std::string job)
    {
        if (const auto leader = this->node.readyLeader()) {
            auto &jobs = leader->jobs();
            co_return KnownJob{jobs.stateOf(job), jobs.customerOf(job)};
        }
        const auto address = this->node.otherLeader();
        if (!address)
            co_return std::nullopt;
        messages::JobQuestion question;
        question.set_job(std::move(job));
        const auto answer = co_await this->node.messenger.ask(*address, question, questionTimeout);
        if (!answer || !answer->leads() || !answer->ready())
            co_return std::nullopt;
        KnownJob known;
        known.state = static_cast<scheduling::JobState>(answer->state());
        if (answer->has_customer())
            known.customer = answer->customer();
        co_return known;
    }

    /// Answers a caller who cancels the job. That there is no such job is answered only once the
    /// store makes sure that none will come: a hand-in of the job may still be on its way.
    Awaitable<http::Response> cancel(const std::string &job, const std::string &customer,
                                     Instant deadline)
    {
        if (!isJobId(job))
            co_return noSuchJob();
        for (;;) {
            const auto found = co_await this->node.stored.find(job);
            if (!found)
                co_return retryLater("the store can't be read now");
            if (found->state != scheduling::JobState::Unknown)
                co_return co_await this->cancelStored(job, customer, *found, deadline);
            if (found->withdrawal && found->withdrawal->customers.count(customer) != 0)
                co_return noSuchJob();
            const auto result = co_await this->node.intake.withdraw(job, customer, deadline);
            LOG(INFO) << "event=cancel-asked job=" << job << " state=unknown outcome="
                      << (result == IntakeResult::Stored ? "withdrawn" : model::nameOf(result));
            if (result == IntakeResult::Stored)
                co_return noSuchJob();
            if (result == IntakeResult::Refused || bootNow() >= deadline)
                co_return retryLater("the cancellation may not be stored");
        }
    }

    /// Answers a caller who asks for the number of jobs that wait on the queue.
    Awaitable<http::Response> pending(const scheduling::Queue &queue)
    {
        if (const auto leader = this->node.readyLeader();
            leader && leader->intakeAge() < maxCountAge)
            co_return pendingResponse(leader->jobs().pendingJobCount(queue.terms.queue));
        if (const auto address = this->node.otherLeader()) {
            messages::JobQuestion question;
            question.set_queue(queue.terms.queue);
            const auto answer =
                co_await this->node.messenger.ask(*address, question, questionTimeout);
            if (answer && answer->leads() && answer->counts())
                co_return pendingResponse(answer->pending());
        }
        co_return retryLater("the queue's leader can't be asked now");
    }

private:
    using Found = typename StoredJobs<typename Platform::Store>::Found;

    Awaitable<http::Response> cancelStored(std::string job, std::string customer, Found found,
                                           Instant deadline)
    {
        // The id can't be used for another job, so no job of this customer will come.
        if (!policy::mayKnowJob(customer, found.customer))
            co_return noSuchJob();
        auto outcome = std::string("over");
        if (!jobs::isFinal(found.state)) {
            const bool isStored = co_await this->node.stored.cancel(job, found.part, deadline);
            outcome = isStored ? "stored" : "unknown";
        }
        LOG(INFO) << "event=cancel-asked job=" << job << " state=" << model::nameOf(found.state)
                  << " outcome=" << outcome;
        if (outcome == "unknown")
            co_return retryLater("the cancellation may not be stored");
        co_return http::jsonResponse(http::Status::ok, {{"state", "cancelled"}});
    }

    QueryNode<Platform> node;
};

} // namespace sassafrasferry::coordination
