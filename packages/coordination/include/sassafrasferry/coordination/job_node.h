// An entry VM as part of the scheduler of jobs: it takes callers' requests, follows the
// configuration, and leads when the lease falls to it.
#pragma once

#include <sassafrasferry/coordination/intake.h>
#include <sassafrasferry/coordination/job_desk.h>
#include <sassafrasferry/coordination/leader.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/coordination/successor.h>

#include <sassafrasferry/http/json.h>
#include <sassafrasferry/http/server.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace sassafrasferry::coordination {

/// Addresses and times of one entry VM.
struct NodeOptions
{
    std::string name;
    model::Endpoint peer; ///< its peer port
    scheduling::SchedulerTimes times;
    LeadershipTimes leadership;
    Duration turn = std::chrono::milliseconds(3000); ///< between two leaders' orders about a VM
    Duration stopWithin = std::chrono::milliseconds(5000); ///< from the stop signal to the end
    double cores = 1.0; ///< the processor of this entry VM
};

template<JobPlatform Platform>
class JobNode : public std::enable_shared_from_this<JobNode<Platform>>
{
public:
    using Store = typename Platform::Store;
    using Cloud = typename Platform::Cloud;

    JobNode(http::asio::io_context &context, Store &store, Cloud &cloud, NodeOptions options)
        : context(context)
        , executor(context.get_executor())
        , store(store)
        , cloud(cloud)
        , options(std::move(options))
        , intake(store, this->executor)
        , desk(
              context, this->options.peer,
              [this](const auto &question) { return this->answer(question); },
              [this](const auto &envelope) { this->takeOther(envelope); })
        , relay(this->executor, this->options.peer,
                [this](const auto &peer, const auto &envelope) {
                    return this->desk.send(peer, envelope);
                })
        , agent(std::make_shared<CallAgent<typename Platform::Worker>>(
              this->executor,
              [this](const auto &peer, const auto &envelope) {
                  return this->desk.send(peer, envelope);
              }))
        , successors(this->options.cores)
        , leadership(store, this->options.name, this->options.peer, http::unixNow(),
                     {[this](const Tenure &tenure) { this->lead(tenure); },
                      [this](const std::string &) {
                          this->dropLeader();
                      }},
                     this->options.leadership)
    {}

    absl::Status begin()
    {
        auto status = this->desk.open();
        if (!status.ok())
            return status;
        auto self = this->shared_from_this();
        this->operators = std::make_shared<TableFollower<Store>>(
            this->store, FollowOptions{Platform::operatorTable(), {""}},
            [self](const auto &rows, bool) { self->takeOperatorRows(rows); });
        this->operators->begin(this->executor);
        spawn(this->executor, "leadership", [self] {
            return restarted("leadership", [self] { return self->leadership.run(); });
        });
        spawn(this->executor, "hello",
              [self] { return restarted("hello", [self] { return self->helloLoop(); }); });
        return absl::OkStatus();
    }

    /// True while callers should be sent here.
    bool isReady() const
    {
        return !this->stopping && this->configuration.version > 0
               && bootNow() - this->operators->lastAnswer() < storeSilence;
    }

    /// Gives the lease up, after the last orders; callers are still served.
    Awaitable<void> stop()
    {
        this->stopping = true;
        co_await this->leadership.release(this->orderedVms());
    }

    Awaitable<http::Response> handle(http::Request request)
    {
        const auto host = std::string(this->hostOf(request));
        const auto target = std::string(request.target());
        const auto path = target.substr(0, target.find('?'));
        if (this->configuration.version == 0)
            co_return retryLater("no configuration yet");
        const auto *queue = this->configuration.route(host, path);
        if (!queue) {
            // The queue may be newer than what this entry VM knows.
            if (!co_await this->operators->refresh())
                co_return retryLater("the configuration can't be read");
            queue = this->configuration.route(host, path);
        }
        if (!queue)
            co_return http::textResponse(http::Status::not_found, "no such queue\n");
        const auto known = *queue; // the configuration may change while this request waits
        const auto job = path.substr(known.prefix.size());
        switch (request.method()) {
        case http::Verb::post:
            co_return co_await this->submit(known, job, request);
        case http::Verb::get:
            if (job.empty())
                co_return co_await this->pending(known);
            co_return co_await this->state(job);
        case http::Verb::delete_:
            co_return co_await this->cancel(job, deadlineOf(request));
        default:
            co_return http::textResponse(http::Status::method_not_allowed, "not a method here\n");
        }
    }

private:
    // A feed of the operators' table answers at least this often while the store is there.
    static constexpr auto storeSilence = std::chrono::milliseconds(4500);
    // A leader that the store does not confirm may miss jobs that were accepted elsewhere.
    static constexpr auto countFreshness = std::chrono::milliseconds(1500);
    static constexpr auto helloPeriod = std::chrono::milliseconds(250);
    static constexpr auto askTimeout = std::chrono::milliseconds(400);
    static constexpr auto retryPause = std::chrono::milliseconds(100);
    static constexpr std::chrono::milliseconds defaultPatience{3000}; // of callers that name none
    static constexpr std::chrono::milliseconds answerMargin{400}; // for the way back
    static constexpr std::size_t longestId = 100;

    static http::Response retryLater(const std::string &why)
    {
        auto response = http::textResponse(http::Status::service_unavailable, why + "\n");
        response.set(http::Field::retry_after, "1");
        return response;
    }

    static std::string_view hostOf(const http::Request &request)
    {
        const auto at = request.find(http::Field::host);
        if (at == request.end())
            return {};
        const std::string_view host(at->value().data(), at->value().size());
        return host.substr(0, host.find(':'));
    }

    static Instant deadlineOf(const http::Request &request)
    {
        std::int64_t patience = defaultPatience.count();
        const auto text = http::fieldOf(request, Platform::patienceHeader());
        if (!text.empty() && !absl::SimpleAtoi(text, &patience))
            patience = defaultPatience.count();
        return bootNow() + std::chrono::milliseconds(patience) - answerMargin;
    }

    static bool isJobId(const std::string &text)
    {
        return !text.empty() && text.size() <= longestId
               && std::all_of(text.begin(), text.end(), [](unsigned char character) {
                      return std::isalnum(character) != 0 || character == '-' || character == '_';
                  });
    }

    Awaitable<http::Response> submit(const scheduling::Queue &queue, const std::string &job,
                                     const http::Request &request)
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
        messages::JobRecord record;
        jobs::toRecord(*spec, record);
        record.set_queue(queue.terms.queue);
        record.set_service(queue.terms.service);
        record.set_priority(static_cast<std::uint32_t>(queue.terms.priority));
        record.set_max_attempts(queue.terms.maxAttempts);
        record.set_stretch(queue.terms.stretch);
        record.set_target_milliseconds(queue.terms.target.count());
        record.set_accepted_milliseconds(http::unixNow());
        record.set_configuration(this->configuration.version);
        const auto begin = bootNow();
        const auto bytes = record.SerializeAsString();
        const auto result = co_await this->intake.submit(job, bytes, deadlineOf(request));
        LOG(INFO) << "event=submit job=" << job << " queue=" << queue.terms.queue
                  << " outcome=" << model::nameOf(result)
                  << " ms=" << policy::seconds(bootNow() - begin) * 1000
                  << " config=" << this->configuration.version;
        switch (result) {
        case IntakeResult::Stored:
        case IntakeResult::Known:
            co_return http::jsonResponse(http::Status::ok, {{"state", "queued"}});
        case IntakeResult::Refused:
            co_return retryLater("the store takes no jobs now");
        case IntakeResult::Unknown:
            break;
        }
        // Not a refusal: the job may be stored, or may yet be.
        co_return http::textResponse(http::Status::gateway_timeout, "ask again\n");
    }

    Awaitable<http::Response> state(const std::string &job)
    {
        if (!isJobId(job))
            co_return http::textResponse(http::Status::gone, "no such job\n");
        std::optional<scheduling::JobState> state;
        if (this->leader && this->leader->isReady()) {
            state = this->leader->jobs().stateOf(job);
        } else if (const auto address = this->otherLeader()) {
            messages::JobQuestion question;
            question.set_job(job);
            const auto answer = co_await this->desk.ask(*address, question, askTimeout);
            if (answer && answer->leads() && answer->ready())
                state = static_cast<scheduling::JobState>(answer->state());
        }
        // The leader may not have heard of a job that was stored just now.
        if (!state || *state == scheduling::JobState::Unknown)
            state = co_await this->storedState(job);
        if (!state)
            co_return retryLater("the job's state can't be read now");
        if (*state == scheduling::JobState::Unknown)
            co_return http::textResponse(http::Status::gone, "no such job\n");
        co_return http::jsonResponse(http::Status::ok,
                                     {{"state", std::string(model::nameOf(*state))}});
    }

    /// What the store knows of a job; nothing if it can't be read.
    Awaitable<std::optional<scheduling::JobState>> storedState(const std::string &job)
    {
        const auto part = partOf(job);
        const auto beyond = cancellationKey(job) + "~";
        // The intake first: a job leaves it for the progress table, never the other way.
        const store::PartRange intakeRange{table::intake, part, job, beyond};
        const auto taken = co_await this->store.scan(intakeRange);
        if (!taken.ok())
            co_return std::nullopt;
        const store::PartRange progressRange{table::progress, part, job, beyond};
        const auto page = co_await this->store.scan(progressRange);
        if (!page.ok())
            co_return std::nullopt;
        auto state = scheduling::JobState::Unknown;
        for (const auto &row : taken->rows) {
            const auto key = parseIntakeKey(row.key);
            if (key.job == job && state != scheduling::JobState::Cancelled)
                state =
                    key.cancels ? scheduling::JobState::Cancelled : scheduling::JobState::Queued;
        }
        for (const auto &row : page->rows) {
            messages::JobProgress progress;
            if (row.key != job || !progress.ParseFromString(row.value))
                continue;
            const auto stored = static_cast<scheduling::JobState>(progress.state());
            if (jobs::isFinal(stored))
                state = stored;
            else if (state == scheduling::JobState::Queued)
                state = scheduling::JobState::Running;
        }
        co_return state;
    }

    Awaitable<http::Response> cancel(const std::string &job, Instant deadline)
    {
        if (!isJobId(job))
            co_return http::textResponse(http::Status::gone, "no such job\n");
        const auto state = co_await this->storedState(job);
        if (!state)
            co_return retryLater("the store can't be read now");
        if (*state == scheduling::JobState::Unknown)
            co_return http::textResponse(http::Status::gone, "no such job\n");
        auto outcome = std::string("over");
        if (!jobs::isFinal(*state)) {
            const bool isStored = co_await this->storeCancellation(job, deadline);
            outcome = isStored ? "stored" : "unknown";
        }
        LOG(INFO) << "event=cancel-asked job=" << job << " state=" << model::nameOf(*state)
                  << " outcome=" << outcome;
        if (outcome == "unknown")
            co_return retryLater("the cancellation may not be stored");
        co_return http::jsonResponse(http::Status::ok, {{"state", "cancelled"}});
    }

    /// Repeats the write until it is confirmed: the same row again does no harm. False at the
    /// deadline.
    Awaitable<bool> storeCancellation(const std::string &job, Instant deadline)
    {
        while (bootNow() < deadline) {
            store::PartTransaction transaction;
            transaction.part = partOf(job);
            transaction.puts.push_back({table::intake, cancellationKey(job), ""});
            const auto commit = co_await this->store.commit(std::move(transaction));
            if (commit.state == store::CommitState::Committed)
                co_return true;
            co_await pause(retryPause);
        }
        co_return false;
    }

    Awaitable<http::Response> pending(const scheduling::Queue &queue)
    {
        if (this->leader && this->leader->isReady()
            && this->leadership.sinceConfirmed() < countFreshness)
            co_return pendingResponse(this->leader->jobs().pendingOf(queue.terms.queue));
        if (const auto address = this->otherLeader()) {
            messages::JobQuestion question;
            question.set_queue(queue.terms.queue);
            const auto answer = co_await this->desk.ask(*address, question, askTimeout);
            if (answer && answer->leads() && answer->counts())
                co_return pendingResponse(answer->pending());
        }
        co_return retryLater("the queue's leader can't be asked now");
    }

    static http::Response pendingResponse(std::size_t count)
    {
        return http::jsonResponse(http::Status::ok, {{"pending", count}});
    }

    std::optional<model::Endpoint> otherLeader() const
    {
        auto address = this->leadership.leaderAddress();
        if (!address || *address == this->options.peer)
            return std::nullopt;
        return address;
    }

    messages::JobAnswer answer(const messages::JobQuestion &question)
    {
        messages::JobAnswer answer;
        this->noteAsker(question);
        answer.set_leads(this->leadership.leads());
        answer.set_leaving(this->stopping);
        answer.set_lease_version(this->leadership.leaseVersion());
        answer.set_ready(this->leader && this->leader->isReady());
        if (!answer.ready())
            return answer;
        answer.set_counts(this->leadership.sinceConfirmed() < countFreshness);
        auto &jobs = this->leader->jobs();
        if (!question.job().empty())
            answer.set_state(static_cast<std::uint32_t>(jobs.stateOf(question.job())));
        if (!question.queue().empty())
            answer.set_pending(static_cast<std::uint32_t>(jobs.pendingOf(question.queue())));
        return answer;
    }

    Awaitable<void> helloLoop()
    {
        for (;;) {
            if (this->leadership.leads()) {
                this->handOverToStronger();
            } else if (const auto address = this->otherLeader()) {
                messages::JobQuestion question;
                question.set_cores(this->isReady() ? this->options.cores : 0);
                const auto answer = co_await this->desk.ask(*address, question, askTimeout);
                if (answer && answer->leads() && !answer->leaving())
                    this->leadership.heard(answer->lease_version());
                else if (answer)
                    this->leadership.denied();
            }
            co_await pause(helloPeriod);
        }
    }

    void takeOther(const messages::JobEnvelope &envelope)
    {
        if (envelope.has_calls())
            this->agent->take(envelope.calls());
        else if (envelope.has_call_answers())
            this->relay.take(envelope.call_answers());
    }

    void takeOperatorRows(const std::vector<store::PartRow> &rows)
    {
        for (const auto &row : rows) {
            if (!row.deleted && row.key == Platform::configurationKey())
                this->takeConfiguration(row);
            else if (!row.deleted && Platform::isWaveKey(row.key))
                this->takeWave(row);
        }
    }

    void takeWave(const store::PartRow &row)
    {
        const auto wave = Platform::decodeWave(row.value);
        if (!wave.ok()) {
            LOG(ERROR) << "event=wave-unreadable version=" << row.version << " error=\""
                       << wave.status().message() << '"';
            return;
        }
        if (!this->waves.emplace(wave->number, *wave).second)
            return;
        if (this->leader)
            this->leader->addWave(*wave);
    }

    void takeConfiguration(const store::PartRow &row)
    {
        auto configuration = Platform::decodeConfiguration(row.value);
        if (!configuration.ok()) {
            LOG(ERROR) << "event=configuration-unreadable version=" << row.version << " error=\""
                       << configuration.status().message() << '"';
            return;
        }
        if (configuration->version <= this->configuration.version)
            return;
        this->configuration = *std::move(configuration);
        LOG(INFO) << "event=configuration version=" << this->configuration.version
                  << " queues=" << this->configuration.queues.size();
        if (this->leader)
            this->leader->setConfiguration(this->configuration);
    }

    void lead(const Tenure &tenure)
    {
        typename Leader<Platform>::Options leaderOptions;
        leaderOptions.times = this->options.times;
        leaderOptions.turn = this->options.turn;
        leaderOptions.relay = &this->relay;
        leaderOptions.orderLimit = this->options.leadership.orderLimit;
        leaderOptions.sinceConfirmed = [this] {
            return this->leadership.sinceConfirmed();
        };
        leaderOptions.onDeposed = [this](const std::string &why) {
            this->leadership.deposed(why);
        };
        leaderOptions.onFailed = [this](const std::string &why) {
            this->giveWay(why, "");
        };
        this->leader =
            std::make_shared<Leader<Platform>>(this->executor, this->store, this->cloud, tenure,
                                               std::move(leaderOptions), this->configuration);
        for (const auto &wave : this->waves)
            this->leader->addWave(wave.second);
        this->leader->begin();
    }

    std::vector<std::string> orderedVms() const
    {
        return this->leader ? this->leader->orderedVms() : std::vector<std::string>{};
    }

    // Not at once: what failed may be what called here.
    void giveWay(const std::string &why, const std::string &successor)
    {
        spawn(this->executor, "give-way", [self = this->shared_from_this(), why, successor] {
            return self->leadership.giveWay(self->orderedVms(), why, successor);
        });
    }

    void noteAsker(const messages::JobQuestion &question)
    {
        if (const auto peer = model::parseEndpoint(question.address()))
            this->relay.heard(*peer);
        // Questions on behalf of callers say nothing of who could lead.
        const bool isHello = question.job().empty() && question.queue().empty();
        if (isHello)
            this->successors.heard(question.address(), question.cores(), bootNow());
    }

    void handOverToStronger()
    {
        const auto successor = this->successors.better(bootNow());
        if (!successor.empty() && this->leadership.sinceConfirmed() < countFreshness)
            this->giveWay("a stronger entry VM is there", successor);
    }

    void dropLeader()
    {
        if (!this->leader)
            return;
        this->leader->stop();
        this->leader.reset();
    }

    http::asio::io_context &context;
    http::asio::any_io_executor executor;
    Store &store;
    Cloud &cloud;
    NodeOptions options;
    Intake<Store> intake;
    JobDesk desk;
    CallRelay relay;
    std::shared_ptr<CallAgent<typename Platform::Worker>> agent;
    SuccessorChoice successors;
    Leadership<Store> leadership;
    std::shared_ptr<TableFollower<Store>> operators; // their table of the store
    std::shared_ptr<Leader<Platform>> leader; // while this entry VM leads
    std::map<std::int64_t, scheduling::Wave> waves; // by number, all that operators ordered
    scheduling::Configuration configuration; // never goes back
    bool stopping = false;
};

} // namespace sassafrasferry::coordination
