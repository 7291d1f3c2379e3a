// Serves requests of the worker stand-in.
#include <sassafrasferry/standins/worker_standin.h>

#include <sassafrasferry/http/clock.h>
#include <sassafrasferry/http/json.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace sassafrasferry::standins {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using http::Awaitable;
using http::Json;
using http::Request;
using http::Response;
using http::Status;
using http::Tcp;
using http::unixNow;

const std::string runsPath = "/runs/";
const std::string runTimeParameter = "run-ms=";

std::chrono::milliseconds runTimeOf(const Request &request, std::chrono::milliseconds defaultTime)
{
    const std::string target(request.target());
    const auto at = target.find(runTimeParameter);
    if (at == std::string::npos)
        return defaultTime;
    return std::chrono::milliseconds(
        std::strtoll(target.c_str() + at + runTimeParameter.size(), nullptr, 10));
}

} // namespace

struct WorkerStandin::Session
{
    explicit Session(Tcp::socket socket)
        : socket(std::move(socket))
        , timer(this->socket.get_executor())
    {}

    Tcp::socket socket;
    asio::steady_timer timer; // ends the run; cancelled if the caller disconnects
    bool isCallerGone = false;
    bool truncatesAnswer = false; // send all but the last byte, then close
    bool duplicatesAnswer = false;
    bool dropsAnswer = false; // close without an answer
};

WorkerStandin::WorkerStandin(asio::io_context &context, WorkerOptions options)
    : context(context)
    , options(std::move(options))
    , acceptor(context)
    , startedAt(unixNow())
{}

model::Endpoint WorkerStandin::listen(const model::Endpoint &endpoint)
{
    beast::error_code error;
    const Tcp::endpoint local(asio::ip::make_address(endpoint.host), endpoint.port);
    this->acceptor.open(local.protocol());
    this->acceptor.set_option(Tcp::acceptor::reuse_address(true));
    this->acceptor.bind(local, error);
    if (error)
        return {endpoint.host, 0};
    this->acceptor.listen();
    asio::co_spawn(
        this->context, [self = this->shared_from_this()] { return self->acceptLoop(); },
        asio::detached);
    return {endpoint.host, this->acceptor.local_endpoint().port()};
}

const std::map<std::string, RunRecord> &WorkerStandin::runs() const
{
    return this->records;
}

std::size_t WorkerStandin::busy() const
{
    return this->busySlots;
}

std::size_t WorkerStandin::maxBusy() const
{
    return this->maxBusySlots;
}

std::size_t WorkerStandin::refusals() const
{
    return this->refusalCount;
}

Awaitable<void> WorkerStandin::acceptLoop()
{
    for (;;) {
        beast::error_code error;
        auto socket =
            co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        if (this->openSessions >= this->options.connections)
            continue; // closes the socket
        socket.set_option(Tcp::no_delay(true), error);
        auto session = std::make_shared<Session>(std::move(socket));
        asio::co_spawn(
            this->context,
            [self = this->shared_from_this(), session]() -> Awaitable<void> {
                ++self->openSessions;
                co_await self->serve(session);
                --self->openSessions;
            },
            asio::detached);
    }
}

Awaitable<void> WorkerStandin::serve(std::shared_ptr<Session> session)
{
    beast::flat_buffer buffer;
    beast::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    for (;;) {
        Request request;
        co_await beast::http::async_read(session->socket, buffer, request, token);
        if (error)
            co_return;
        auto response = co_await this->handle(session, request);
        if (session->isCallerGone || session->dropsAnswer)
            co_return;
        response.version(11);
        response.prepare_payload();
        if (session->truncatesAnswer) {
            std::ostringstream text;
            text << response;
            const auto whole = text.str();
            co_await asio::async_write(session->socket,
                                       asio::buffer(whole.data(), whole.size() - 1), token);
            co_return;
        }
        const int times = session->duplicatesAnswer ? 2 : 1;
        for (int i = 0; i < times && !error; ++i)
            co_await beast::http::async_write(session->socket, response, token);
        if (error)
            co_return;
    }
}

Awaitable<Response> WorkerStandin::handle(std::shared_ptr<Session> session, const Request &request)
{
    const std::string target(request.target());
    if (target == "/standin/faults")
        co_return this->setFaults(request);
    if (target == "/standin/runs")
        co_return this->allRunsResponse();
    if (target.rfind(runsPath, 0) == 0)
        co_return this->runResponse(target.substr(runsPath.size()));
    auto response = co_await this->run(session, request);
    this->addClock(response);
    co_return response;
}

Response WorkerStandin::refuse(const char *why, bool isLeaving)
{
    ++this->refusalCount;
    auto response = http::textResponse(Status::service_unavailable, std::string(why) + "\n");
    response.set(http::header::outcome, "not-run");
    if (isLeaving)
        response.set(http::header::leaving, "true");
    return response;
}

Awaitable<Response> WorkerStandin::run(std::shared_ptr<Session> session, const Request &request)
{
    const auto operation = http::fieldOf(request, http::header::operationId);
    const auto deadline = http::fieldOf(request, http::header::startDeadline);
    if (this->faults.isLeaving)
        co_return this->refuse("leaving", true);
    if (this->faults.refuseRequests || this->busySlots >= this->options.slots)
        co_return this->refuse("full", false);
    if (!deadline.empty() && unixNow() > std::strtoll(deadline.c_str(), nullptr, 10))
        co_return this->refuse("too late to start", false);
    auto &record = this->records[operation];
    record.idempotencyKey = http::fieldOf(request, http::header::idempotencyKey);
    ++this->busySlots;
    this->maxBusySlots = std::max(this->maxBusySlots, this->busySlots);
    if (!this->faults.failRuns) {
        // A run without an idempotency key is cancelled when its caller disconnects.
        auto isWatching = std::make_shared<bool>(record.idempotencyKey.empty());
        session->socket.async_wait(Tcp::socket::wait_read,
                                   [session, isWatching](const beast::error_code &waitError) {
                                       if (waitError || !*isWatching)
                                           return;
                                       session->isCallerGone = true;
                                       session->timer.cancel();
                                   });
        beast::error_code ignored;
        session->timer.expires_after(runTimeOf(request, this->options.runTime));
        co_await session->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        *isWatching = false;
        session->socket.cancel(ignored);
    }
    --this->busySlots;
    record.isDone = true;
    record.status = this->faults.failRuns ? 500 : 200;
    const Json body{
        {"worker", this->options.name}, {"operation", operation}, {"echo", request.body()}};
    record.body = this->faults.failRuns ? "failed\n" : body.dump();
    session->truncatesAnswer = this->faults.truncateAnswers;
    session->duplicatesAnswer = this->faults.duplicateAnswers;
    session->dropsAnswer = this->faults.dropAnswers;
    auto response = http::textResponse(static_cast<Status>(record.status), record.body);
    response.set(http::header::outcome, "completed"); // for callers that bypass the entry VMs
    response.set(http::Field::content_type, "application/json");
    co_return response;
}

void WorkerStandin::addClock(Response &response) const
{
    response.set(http::header::startedAt, std::to_string(this->startedAt));
    response.set(http::header::clockNow, std::to_string(unixNow()));
}

Response WorkerStandin::runResponse(const std::string &operationId)
{
    const auto at = this->records.find(operationId);
    Response response;
    if (at == this->records.end()) {
        response = http::textResponse(Status::not_found, "");
        response.set("Run-State", "never-seen");
    } else if (!at->second.isDone) {
        response = http::textResponse(Status::accepted, "");
        response.set("Run-State", "running");
    } else {
        response = http::textResponse(Status::ok, at->second.body);
        response.set(http::Field::content_type, "application/json");
        response.set("Run-State", "done");
        response.set("Run-Status", std::to_string(at->second.status));
    }
    this->addClock(response);
    return response;
}

Response WorkerStandin::allRunsResponse()
{
    auto list = Json::array();
    for (const auto &[operation, record] : this->records)
        list.push_back(
            {{"operation", operation}, {"key", record.idempotencyKey}, {"done", record.isDone}});
    return http::jsonResponse(Status::ok, {{"worker", this->options.name},
                                           {"busy", this->busySlots},
                                           {"mostBusy", this->maxBusySlots},
                                           {"refused", this->refusalCount},
                                           {"runs", list}});
}

Response WorkerStandin::setFaults(const Request &request)
{
    const auto body = http::parseJson(request.body());
    if (!body.is_object())
        return http::textResponse(Status::bad_request, "the body is not a JSON object\n");
    this->faults.failRuns = body.value("fail", false);
    this->faults.truncateAnswers = body.value("half", false);
    this->faults.duplicateAnswers = body.value("twice", false);
    this->faults.dropAnswers = body.value("silent", false);
    this->faults.isLeaving = body.value("leaving", false);
    this->faults.refuseRequests = body.value("refuse", false);
    return http::textResponse(Status::ok, "");
}

} // namespace sassafrasferry::standins
