// Start and graceful stop of an entry VM.
#include "daemon.h"

#include "../request/caller_handler.h"

#include <sassafrasferry/http/clock.h>

#include <boost/asio/signal_set.hpp>

#include <csignal>

#include <glog/logging.h>

namespace sassafrasferry::entry {

namespace {

namespace asio = boost::asio;

// Milliseconds since 1970, so that each start of an entry VM has a higher incarnation.
std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(http::unixNow());
}

std::vector<std::string> namesOf(const std::vector<model::PeerSettings> &peers)
{
    std::vector<std::string> names;
    for (const auto &peer : peers)
        names.push_back(peer.name);
    return names;
}

} // namespace

struct Daemon::TrafficThread
{
    TrafficThread(ProcessParts &parts, std::size_t idleConnections)
        : environment(context.get_executor(), parts, idleConnections)
    {}

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    TrafficEnvironment environment;
    std::thread thread;
};

Daemon::Daemon(model::Settings newSettings)
    : settings(std::move(newSettings))
    , controlContext(1)
    , incarnation(newIncarnation())
    , incarnationName(this->settings.name + "." + std::to_string(this->incarnation))
    , dispatcher(this->settings.routing, this->settings.name, this->incarnation)
    , membership(this->settings.name, this->incarnation, namesOf(this->settings.peers),
                 policy::silenceOf(this->settings.control.peerTimeout,
                                   this->settings.control.heartbeat, this->settings.peers.size()))
    , store(this->controlContext.get_executor(), this->settings, this->incarnationName)
    , parts{this->settings.name, this->incarnation, this->incarnationName,
            this->dispatcher,    this->membership,  this->store,
            this->log,           this->metrics}
{}

Daemon::~Daemon() = default;

absl::Status Daemon::start()
{
    this->control = std::make_unique<Control>(this->controlContext, this->settings, this->parts,
                                              this->versions);
    this->admin =
        std::make_unique<AdminApi>(this->settings, this->parts, this->versions, *this->control);
    const auto administer = [this](http::Request request, std::shared_ptr<http::Disconnect>) {
        return this->admin->handle(std::move(request));
    };
    this->adminServer = std::make_shared<http::Server>(
        std::vector<http::Lane>{{this->controlContext.get_executor(), administer}},
        this->settings.limits);
    const auto idleConnections = static_cast<std::size_t>(this->settings.routing.idleConnections
                                                          / this->settings.trafficThreads);
    std::vector<http::Lane> lanes;
    for (std::int64_t i = 0; i < this->settings.trafficThreads; ++i) {
        this->traffic.push_back(std::make_unique<TrafficThread>(this->parts, idleConnections));
        auto &thread = *this->traffic.back();
        lanes.push_back(
            {thread.context.get_executor(),
             [this, &thread](http::Request request, std::shared_ptr<http::Disconnect> disconnect) {
                 return handleCaller(thread.environment, this->versions, std::move(request),
                                     std::move(disconnect));
             }});
    }
    this->callerServer = std::make_shared<http::Server>(std::move(lanes), this->settings.limits);
    auto status = this->control->start();
    if (status.ok())
        status = this->adminServer->listen(this->settings.admin);
    if (status.ok())
        status = this->callerServer->listen(this->settings.callers);
    return status;
}

int Daemon::run()
{
    const auto status = this->start();
    if (!status.ok()) {
        LOG(ERROR) << "event=start-failed " << status;
        return exit_code::bindFailed;
    }
    for (const auto &thread : this->traffic)
        thread->thread = std::thread([&thread] { thread->context.run(); });
    LOG(INFO) << "event=start entry=" << this->settings.name << " incarnation=" << this->incarnation
              << " callers=" << model::toString(this->settings.callers)
              << " admin=" << model::toString(this->settings.admin)
              << " version=" << SASSAFRASFERRY_VERSION;
    asio::co_spawn(
        this->controlContext, [this] { return this->waitForSignals(); }, asio::detached);
    this->controlContext.run();
    for (const auto &thread : this->traffic) {
        thread->context.stop();
        thread->thread.join();
    }
    LOG(INFO) << "event=stopped entry=" << this->settings.name << " code=" << this->exitCode;
    return this->exitCode;
}

Awaitable<void> Daemon::waitForSignals()
{
    asio::signal_set signals(this->controlContext, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    asio::co_spawn(
        this->controlContext, [this] { return this->stop(); }, asio::detached);
    // A second signal ends the wait for requests in flight.
    co_await signals.async_wait(asio::use_awaitable);
    if (!this->isIdle())
        this->recordInterruption("signal");
    this->controlContext.stop();
}

void Daemon::recordInterruption(const char *why)
{
    for (const auto &id : this->parts.inFlight.ids())
        this->parts.log.write({"cut", id, {{"why", why}}});
    LOG(WARNING) << "event=cut busy=" << this->callerServer->busySessions()
                 << " claims=" << this->parts.pendingFollowUps << " why=" << why;
    this->exitCode = exit_code::interrupted;
}

bool Daemon::isIdle() const
{
    return this->callerServer->sessionCount() == 0 && this->parts.pendingFollowUps == 0;
}

Awaitable<void> Daemon::stop()
{
    const auto &times = this->settings.control;
    LOG(INFO) << "event=stop entry=" << this->settings.name
              << " busy=" << this->callerServer->busySessions();
    const auto deadline = std::chrono::steady_clock::now() + times.stopDeadline;
    asio::steady_timer timer(this->controlContext);
    // The health check fails first; requests are served until the load balancer has noticed.
    this->control->beginStop();
    timer.expires_after(times.balancerLag);
    co_await timer.async_wait(asio::use_awaitable);
    this->callerServer->stopAccepting();
    this->callerServer->closeSessions();
    constexpr auto period = std::chrono::milliseconds(20);
    while (!this->isIdle() && std::chrono::steady_clock::now() < deadline) {
        timer.expires_after(period);
        co_await timer.async_wait(asio::use_awaitable);
        this->callerServer->closeSessions(); // sessions accepted after the first call
    }
    if (!this->isIdle())
        this->recordInterruption("deadline");
    co_await this->control->endStop();
    // ZeroMQ sends the last heartbeat on its own thread, which needs a moment to do so.
    timer.expires_after(period);
    co_await timer.async_wait(asio::use_awaitable);
    this->controlContext.stop();
}

} // namespace sassafrasferry::entry
