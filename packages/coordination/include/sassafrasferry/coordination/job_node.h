// An entry VM's part in job scheduling: it serves callers' job requests, follows the operators'
// table, and runs the leader while it holds the lease.
#pragma once

#include <sassafrasferry/coordination/caller_check.h>
#include <sassafrasferry/coordination/caller_request.h>
#include <sassafrasferry/coordination/configuration_reader.h>
#include <sassafrasferry/coordination/job_messenger.h>
#include <sassafrasferry/coordination/job_queries.h>
#include <sassafrasferry/coordination/job_submission.h>
#include <sassafrasferry/coordination/leader.h>
#include <sassafrasferry/coordination/node_options.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/coordination/stored_jobs.h>
#include <sassafrasferry/coordination/successor.h>

#include <sassafrasferry/http/server.h>

namespace sassafrasferry::coordination {

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
        , intake(store, this->executor, this->options.jobParts)
        , stored(store, this->options.jobParts)
        , operators(std::make_shared<ConfigurationReader<Platform>>(
              this->executor, store, this->options.configuration, this->operatorEvents()))
        , callerCheck(*this->operators, this->options.checksKeys)
        , messenger(
              context, this->options.peer,
              [this](const auto &question) { return this->answer(question); },
              [this](auto handedIn) { return this->submission.storeForPeer(std::move(handedIn)); },
              [this](const auto &envelope) { this->dispatchEnvelope(envelope); })
        , queries({this->stored, this->intake, this->messenger, this->options.checksKeys,
                   [this] { return this->readyLeader(); },
                   [this] {
                       return this->otherLeader();
                   }})
        , submission({this->options.rowLimits, this->intake, this->stored, this->messenger,
                      *this->operators, [this] { return this->handInPeer(); },
                      [this](std::string job) {
                          return this->queries.askLeader(std::move(job));
                      }})
        , relay(this->executor, this->options.peer,
                [this](const auto &peer, const auto &envelope) {
                    return this->messenger.send(peer, envelope);
                })
        , agent(std::make_shared<RelayServer<typename Platform::Worker>>(
              this->executor,
              [this](const auto &peer, const auto &envelope) {
                  return this->messenger.send(peer, envelope);
              }))
        , successors(this->options.cores)
        , leadership(store, this->options.name, this->options.peer, http::unixNow(),
                     {[this](const Tenure &tenure) { this->lead(tenure); },
                      [this](const std::string &) { this->dropLeader(); },
                      [this] { return this->orderedVms(); },
                      [this] { return this->openVmOrders(); },
                      [this] {
                          return this->restartedWorkers();
                      }},
                     this->options.leadership)
    {}

    absl::Status begin()
    {
        auto status = this->messenger.open();
        if (!status.ok())
            return status;
        auto self = this->shared_from_this();
        this->operators->begin();
        spawn(this->executor, "leadership", [self] {
            return restarted("leadership", [self] { return self->leadership.run(); });
        });
        spawn(this->executor, "hello",
              [self] { return restarted("hello", [self] { return self->helloLoop(); }); });
        return absl::OkStatus();
    }

    /// True while the load balancer should route callers to this entry VM.
    bool isReady() const
    {
        return !this->stopping && this->configuration().version > 0
               && this->operators->age() < this->options.configuration.maxReadyAge();
    }

    /// Makes `isReady` false, so that no further callers are routed here.
    void beginStop()
    {
        this->stopping = true;
    }

    /// Releases the lease after this leader's last orders, and records in it the VMs of recent
    /// orders. While the store is unreachable no other entry VM can acquire the lease, so this one
    /// keeps leading until the store answers again, at most until `latest`.
    Awaitable<void> handOver(Instant latest)
    {
        co_await this->leadership.awaitConfirmation(latest);
        co_await this->leadership.release(this->orderedVms());
    }

    Awaitable<http::Response> handle(http::Request request)
    {
        const auto host = std::string(hostOf(request));
        const auto target = std::string(request.target());
        const auto path = target.substr(0, target.find('?'));
        if (this->configuration().version == 0)
            co_return retryLater("no configuration yet");
        const auto deadline = deadlineOf(request, Platform::deadlineHeader());
        const bool isCurrent = co_await this->operators->renew(deadline);
        if (!isCurrent && !this->operators->mayRoute())
            co_return this->refuseOutdated(target);
        const auto *queue = this->configuration().route(host, path);
        if (!queue) {
            // The queue may have been added in a configuration that is not yet known here.
            if (!co_await this->operators->reread(deadline))
                co_return retryLater("the configuration can't be read");
            queue = this->configuration().route(host, path);
        }
        if (!queue)
            co_return http::textResponse(http::Status::not_found, "no such queue\n");
        if (!isCurrent)
            this->logOldConfiguration(queue->terms.queue);
        const auto check = this->callerCheck.check(request, *queue);
        if (check.refusal)
            co_return *check.refusal;
        const auto route = *queue; // a copy: the configuration may change during the awaits
        co_return co_await this->serve(route, check.caller, path.substr(route.prefix.size()),
                                       request);
    }

private:
    // The lease is handed to a stronger entry VM only if the store confirmed it within this time.
    static constexpr auto maxConfirmationAge = std::chrono::milliseconds(1500);
    static constexpr auto helloPeriod = std::chrono::milliseconds(250);

    Awaitable<http::Response> serve(const scheduling::Queue &queue, const Caller &caller,
                                    const std::string &job, const http::Request &request)
    {
        switch (request.method()) {
        case http::Verb::post:
            co_return co_await this->submission.submit(queue, caller, job, request);
        case http::Verb::get:
            if (job.empty())
                co_return co_await this->queries.pending(queue);
            co_return co_await this->queries.state(job, caller.customer);
        case http::Verb::delete_:
            co_return co_await this->queries.cancel(
                job, caller.customer, deadlineOf(request, Platform::deadlineHeader()));
        default:
            co_return http::textResponse(http::Status::method_not_allowed, "not a method here\n");
        }
    }

    // The peer that stores a job in place of this entry VM: the leader if that is another entry VM,
    // else the strongest of the peers that sent hellos here. Entry VMs send hellos to the leader.
    std::optional<model::Endpoint> handInPeer() const
    {
        auto leader = this->otherLeader();
        if (leader)
            return leader;
        return model::parseEndpoint(this->successors.strongestPeer(bootNow()));
    }

    std::optional<model::Endpoint> otherLeader() const
    {
        auto address = this->leadership.leaderAddress();
        if (!address || *address == this->options.peer)
            return std::nullopt;
        return address;
    }

    std::shared_ptr<Leader<Platform>> readyLeader() const
    {
        return this->leader && this->leader->isReady() ? this->leader : nullptr;
    }

    messages::JobAnswer answer(const messages::JobQuestion &question)
    {
        messages::JobAnswer answer;
        this->recordPeer(question);
        answer.set_leads(this->leadership.isLeader());
        answer.set_leaving(this->stopping);
        answer.set_strongest_cores(this->successors.strongestCores(bootNow()));
        answer.set_lease_version(this->leadership.leaseVersion());
        answer.set_ready(this->leader && this->leader->isReady());
        if (!answer.ready())
            return answer;
        answer.set_counts(this->leader->intakeAge() < maxCountAge);
        auto &jobs = this->leader->jobs();
        if (!question.job().empty()) {
            answer.set_state(static_cast<std::uint32_t>(jobs.stateOf(question.job())));
            answer.set_customer(jobs.customerOf(question.job()));
        }
        if (!question.queue().empty())
            answer.set_pending(static_cast<std::uint32_t>(jobs.pendingJobCount(question.queue())));
        return answer;
    }

    Awaitable<void> helloLoop()
    {
        for (;;) {
            if (this->leadership.isLeader()) {
                this->handOverToStronger();
                co_await this->operators->renew();
            } else if (const auto address = this->otherLeader()) {
                const auto hello = helloOf(this->isReady() ? this->options.cores : 0,
                                           this->storeAnsweredAt(), bootNow());
                const auto answer = co_await this->messenger.ask(*address, hello, questionTimeout);
                if (answer && answer->leads() && !answer->leaving()) {
                    this->leadership.noteLeaderAnswer(answer->lease_version());
                    this->leadership.setYielding(
                        this->successors.isFarWeakerThan(answer->strongest_cores()));
                } else if (answer)
                    this->leadership.noteNotLeader();
            }
            co_await pause(helloPeriod);
        }
    }

    // The store is known to have answered this entry VM at or after this moment, or to have
    // confirmed a cancellation just before.
    Instant storeAnsweredAt() const
    {
        return std::max({this->operators->coveredUntil(), this->leadership.storeAnsweredAt(),
                         this->stored.storeAnsweredAt()});
    }

    http::Response refuseOutdated(const std::string &target) const
    {
        LOG(INFO) << "event=configuration-outdated config=" << this->configuration().version
                  << " age-ms=" << this->operators->age() / std::chrono::milliseconds(1);
        return retryLater("a newer configuration is being read",
                          policy::retryAfter(Duration::zero(), target));
    }

    void logOldConfiguration(const std::string &queue) const
    {
        LOG(WARNING) << "event=old-configuration queue=" << queue
                     << " config=" << this->configuration().version
                     << " age-ms=" << this->operators->age() / std::chrono::milliseconds(1);
    }

    void dispatchEnvelope(const messages::JobEnvelope &envelope)
    {
        if (envelope.has_calls())
            this->agent->take(envelope.calls());
        else if (envelope.has_call_answers())
            this->relay.take(envelope.call_answers());
    }

    const scheduling::Configuration &configuration() const
    {
        return this->operators->configuration();
    }

    typename ConfigurationReader<Platform>::Events operatorEvents()
    {
        return {[this] {
                    if (this->leader)
                        this->leader->setConfiguration(this->configuration());
                },
                [this](const scheduling::Wave &wave) {
                    if (this->leader)
                        this->leader->addWave(wave);
                }};
    }

    void lead(const Tenure &tenure)
    {
        typename Leader<Platform>::Options leaderOptions;
        leaderOptions.times = this->options.times;
        leaderOptions.handOverDelay = this->options.handOverDelay;
        leaderOptions.jobParts = this->options.jobParts;
        leaderOptions.rowLimits = this->options.rowLimits;
        leaderOptions.withdrawalRetention = this->options.statusRetention;
        leaderOptions.configurationCoveredUntil = [this] {
            return this->operators->coveredUntil();
        };
        leaderOptions.maxConfigurationLag = this->options.configuration.maxLag();
        leaderOptions.relay = &this->relay;
        leaderOptions.leadership = this->options.leadership;
        leaderOptions.leasesEndBy = [this] {
            return this->leadership.leasesEndBy();
        };
        leaderOptions.announce = [this](std::vector<std::string> vms) {
            return this->leadership.announce(std::move(vms));
        };
        leaderOptions.sinceConfirmed = [this] {
            return this->leadership.sinceConfirmed();
        };
        leaderOptions.leaseVersion = [this] {
            return this->leadership.leaseVersion();
        };
        leaderOptions.confirmations = [this]() -> const ReadIndex & {
            return this->leadership.confirmations();
        };
        leaderOptions.peerContact = [this] {
            return this->peerStoreAnswers.contact(bootNow());
        };
        leaderOptions.onDeposed = [this](const std::string &why) {
            this->leadership.deposed(why);
        };
        leaderOptions.onFailed = [this](const std::string &why) {
            this->stepDown(why, "");
        };
        this->leader =
            std::make_shared<Leader<Platform>>(this->executor, this->store, this->cloud, tenure,
                                               std::move(leaderOptions), this->configuration());
        for (const auto &wave : this->operators->waves())
            this->leader->addWave(wave.second);
        this->leader->begin();
    }

    std::vector<std::string> orderedVms() const
    {
        return this->leader ? this->leader->orderedVms() : std::vector<std::string>{};
    }

    std::vector<scheduling::OpenVmOrder> openVmOrders() const
    {
        return this->leader ? this->leader->openVmOrders() : std::vector<scheduling::OpenVmOrder>{};
    }

    std::vector<scheduling::RestartedWorker> restartedWorkers() const
    {
        return this->leader ? this->leader->restartedWorkers()
                            : std::vector<scheduling::RestartedWorker>{};
    }

    // Runs in a coroutine of its own: the caller may be the part of the leader that failed, and
    // stepping down destroys the leader.
    void stepDown(const std::string &why, const std::string &successor)
    {
        spawn(this->executor, "step-down", [self = this->shared_from_this(), why, successor] {
            return self->leadership.stepDown(self->orderedVms(), why, successor);
        });
    }

    void recordPeer(const messages::JobQuestion &question)
    {
        if (const auto peer = model::parseEndpoint(question.address()))
            this->relay.addRelay(*peer);
        this->successors.noteQuestion(question, bootNow());
        this->peerStoreAnswers.noteQuestion(question, bootNow());
    }

    void handOverToStronger()
    {
        const auto successor = this->successors.strongerPeer(bootNow());
        if (!successor.empty() && this->leadership.sinceConfirmed() < maxConfirmationAge)
            this->stepDown("a stronger entry VM is available", successor);
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
    StoredJobs<Store> stored;
    std::shared_ptr<ConfigurationReader<Platform>> operators; // follows the operators' table
    CallerCheck<Platform> callerCheck;
    JobMessenger messenger;
    JobQueries<Platform> queries;
    JobSubmission<Platform> submission;
    RelayClient relay;
    std::shared_ptr<RelayServer<typename Platform::Worker>> agent;
    SuccessorChoice successors;
    PeerStoreAnswers peerStoreAnswers;
    Leadership<Store> leadership;
    std::shared_ptr<Leader<Platform>> leader; // null unless this entry VM leads
    bool stopping = false;
};

} // namespace sassafrasferry::coordination
