// Implements `RequestEnvironment` with the daemon's dispatcher, store and HTTP clients.
#include "traffic_environment.h"

#include "../request/claim_settler.h"
#include "../request/idempotent_flow.h"

#include <sassafrasferry/http/clock.h>
#include <sassafrasferry/http/json.h>

#include <glog/logging.h>

namespace sassafrasferry::entry {

namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds queryTimeout{1000};
constexpr int maxFollowUpAttempts = 50;
constexpr int stepLogLevel = 1; // verbosity level in glog

http::Request upstreamRequest(const CallerRequest &request, const SendOptions &options)
{
    http::Request out;
    out.method_string(request.method);
    out.target(request.target);
    out.version(11);
    if (!request.contentType.empty())
        out.set(http::Field::content_type, request.contentType);
    out.set(http::header::requestId, request.id);
    out.set(http::header::operationId, options.operationId);
    if (options.startDeadline != 0)
        out.set(http::header::startDeadline, std::to_string(options.startDeadline));
    if (!request.idempotencyKey.empty())
        out.set(http::header::idempotencyKey, request.idempotencyKey);
    out.body() = request.body;
    out.prepare_payload();
    return out;
}

policy::StoredAnswer storedAnswer(http::Response &response)
{
    policy::StoredAnswer answer;
    answer.status = static_cast<int>(response.result_int());
    answer.contentType = http::fieldOf(response, "Content-Type");
    answer.body = std::move(response.body());
    return answer;
}

SendResult sendResult(http::Exchange &exchange, bool isCancelled)
{
    SendResult result;
    switch (exchange.state) {
    case http::ExchangeState::NotSent:
        result.state = isCancelled ? SendState::Cancelled : SendState::Unreachable;
        return result;
    case http::ExchangeState::Broken:
        result.state = isCancelled ? SendState::Cancelled : SendState::Broken;
        return result;
    case http::ExchangeState::Answered:
        break;
    }
    const auto &response = exchange.response;
    const bool isRefusal = response.result() == http::Status::service_unavailable
                           && http::fieldOf(response, http::header::outcome) == "not-run";
    if (isRefusal) {
        const bool isLeaving = http::fieldOf(response, http::header::leaving) == "true";
        result.state = isLeaving ? SendState::Leaving : SendState::Refused;
        return result;
    }
    result.state = SendState::Answered;
    result.answer = storedAnswer(exchange.response);
    return result;
}

std::string resultName(const SendResult &result)
{
    if (result.state == SendState::Preempted)
        return "preempted";
    return std::string(model::nameOf(runResultOf(result)));
}

policy::UnixMilliseconds millisecondsField(const http::Response &response, const char *name)
{
    const auto text = http::fieldOf(response, name);
    return text.empty() ? 0 : std::strtoll(text.c_str(), nullptr, 10);
}

policy::WorkerWord workerWord(http::Exchange &exchange)
{
    policy::WorkerWord word;
    if (exchange.state != http::ExchangeState::Answered)
        return word;
    auto &response = exchange.response;
    word.workerStartedAt = millisecondsField(response, http::header::startedAt);
    word.workerNow = millisecondsField(response, http::header::clockNow);
    const auto state = model::valueOf<policy::RunState>(http::fieldOf(response, "Run-State"));
    word.state = state.value_or(policy::RunState::Unreachable);
    if (word.state == policy::RunState::Done) {
        word.answer = storedAnswer(response);
        word.answer.status = static_cast<int>(millisecondsField(response, "Run-Status"));
    }
    return word;
}

} // namespace

TrafficEnvironment::TrafficEnvironment(asio::any_io_executor executor, ProcessParts &parts,
                                       std::size_t idleConnections)
    : ownExecutor(executor)
    , parts(parts)
    , upstreams(executor, idleConnections)
{}

policy::Instant TrafficEnvironment::now() const
{
    return http::steadyNow();
}

policy::UnixMilliseconds TrafficEnvironment::unixNow() const
{
    return http::unixNow();
}

Awaitable<void> TrafficEnvironment::pause(policy::Duration duration)
{
    asio::steady_timer timer(this->ownExecutor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

std::string TrafficEnvironment::entryName() const
{
    return this->parts.entryName;
}

std::uint64_t TrafficEnvironment::incarnation() const
{
    return this->parts.incarnation;
}

std::string TrafficEnvironment::newOperationId()
{
    return this->parts.incarnationName + "." + std::to_string(++this->parts.lastId);
}

void TrafficEnvironment::reached(const CallerRequest &request, RequestStep step)
{
    VLOG(stepLogLevel) << "event=step request=" << request.id << " step=" << model::nameOf(step);
}

Awaitable<SlotResult> TrafficEnvironment::slot(policy::Submission submission,
                                               Cancellation &cancellation)
{
    return this->parts.dispatcher.acquireSlot(std::move(submission), cancellation);
}

void TrafficEnvironment::finish(const policy::RunReport &report)
{
    this->parts.metrics.recordRun(report.result);
    this->parts.dispatcher.finish(report, this->now());
}

bool TrafficEnvironment::jobFailed(policy::JobFingerprint job, policy::Index worker)
{
    return this->parts.dispatcher.locked([&](policy::Dispatcher &dispatcher) {
        return dispatcher.jobFailed(job, worker, this->now());
    });
}

bool TrafficEnvironment::takeRetry(const std::string &service)
{
    return this->parts.dispatcher.locked(
        [&](policy::Dispatcher &dispatcher) { return dispatcher.takeRetry(service); });
}

policy::Duration TrafficEnvironment::retryAfter(const std::string &service)
{
    return this->parts.dispatcher.locked(
        [&](policy::Dispatcher &dispatcher) { return dispatcher.retryAfter(service); });
}

Awaitable<SendResult> TrafficEnvironment::send(const policy::Grant &grant,
                                               const CallerRequest &request, SendOptions options,
                                               Cancellation &cancellation)
{
    this->parts.metrics.recordRoute(grant.reason);
    this->parts.log.write({"route",
                           request.id,
                           {{"service", request.service},
                            {"class", std::string(model::nameOf(request.requestClass))},
                            {"worker", grant.workerName},
                            {"rack", grant.rack},
                            {"reason", std::string(model::nameOf(grant.reason))},
                            {"overflow", grant.overflowed ? "yes" : "no"},
                            {"operation", options.operationId}}});
    auto abort = std::make_shared<http::Abort>();
    cancellation.onCancel([abort] { abort->abort(); });
    auto isPreempted = std::make_shared<bool>(false);
    if (grant.preemptible)
        this->parts.dispatcher.whenPreempted(grant.id, this->preemptionHandler(abort, isPreempted));
    auto message = upstreamRequest(request, options);
    auto exchange = co_await this->upstreams.client(grant.address)
                        .exchange(std::move(message), options.timeout, abort);
    cancellation.onCancel(nullptr);
    auto result = sendResult(exchange, abort->aborted());
    if (result.state == SendState::Cancelled && *isPreempted && !cancellation.requested())
        result.state = SendState::Preempted;
    if (result.state != SendState::Answered)
        this->parts.log.write({"worker-failed",
                               request.id,
                               {{"worker", grant.workerName},
                                {"result", resultName(result)},
                                {"error", std::string(exchange.status.message())}}});
    co_return result;
}

std::function<void()> TrafficEnvironment::preemptionHandler(std::shared_ptr<http::Abort> abort,
                                                            std::shared_ptr<bool> isPreempted)
{
    return [this, abort = std::move(abort), isPreempted = std::move(isPreempted)] {
        asio::post(this->ownExecutor, [abort, isPreempted] {
            *isPreempted = true;
            abort->abort();
        });
    };
}

Awaitable<policy::WorkerWord> TrafficEnvironment::queryWorker(std::string address,
                                                              std::string operationId)
{
    const auto endpoint = model::parseEndpoint(address);
    if (!endpoint)
        co_return policy::WorkerWord{};
    http::Request message{http::Verb::get, "/runs/" + operationId, 11};
    auto exchange =
        co_await this->upstreams.client(*endpoint).exchange(std::move(message), queryTimeout);
    auto word = workerWord(exchange);
    this->parts.log.write({"ask-worker",
                           "",
                           {{"worker", address},
                            {"operation", operationId},
                            {"state", std::string(model::nameOf(word.state))}}});
    co_return word;
}

Awaitable<absl::StatusOr<store::VersionedClaim>> TrafficEnvironment::readClaim(std::string key)
{
    return this->parts.store.readClaim(std::move(key));
}

Awaitable<store::WriteResult> TrafficEnvironment::writeClaim(policy::Claim claim,
                                                             std::int64_t version)
{
    return this->parts.store.writeClaim(std::move(claim), version);
}

Awaitable<absl::Status> TrafficEnvironment::putObject(std::string name, std::string body)
{
    return this->parts.store.putObject(std::move(name), std::move(body));
}

Awaitable<absl::StatusOr<std::string>> TrafficEnvironment::getObject(std::string name)
{
    return this->parts.store.getObject(std::move(name));
}

void TrafficEnvironment::setActive(const std::string &operationId, bool isActive)
{
    this->parts.membership.setActive(operationId, isActive);
}

bool TrafficEnvironment::isPossiblyActive(const policy::Claim &claim)
{
    return this->parts.membership.isPossiblyActive(claim);
}

void TrafficEnvironment::scheduleFollowUp(policy::Claim claim, std::int64_t version,
                                          ClaimFollowUp followUp)
{
    ++this->parts.pendingFollowUps;
    store::VersionedClaim pending;
    pending.claim = std::move(claim);
    pending.version = version;
    asio::co_spawn(
        this->ownExecutor,
        [this, pending = std::move(pending), followUp]() -> Awaitable<void> {
            const bool isDone = co_await runFollowUp(*this, pending, followUp, maxFollowUpAttempts);
            this->parts.log.write({"claim-left-over",
                                   "",
                                   {{"operation", pending.claim.operationId},
                                    {"worker", pending.claim.worker},
                                    {"settled", isDone ? "yes" : "no"}}});
            --this->parts.pendingFollowUps;
        },
        asio::detached);
}

ProcessParts &TrafficEnvironment::process()
{
    return this->parts;
}

asio::any_io_executor TrafficEnvironment::executor() const
{
    return this->ownExecutor;
}

} // namespace sassafrasferry::entry
