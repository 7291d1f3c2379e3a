// Start, stop and health of the control thread, its heartbeats, and the dispatcher tick.
#include "control.h"
#include "sleep.h"

#include <sassafrasferry/http/clock.h>

namespace sassafrasferry::entry {

namespace {

namespace asio = boost::asio;
constexpr auto now = http::steadyNow;

constexpr auto dispatchPeriod = std::chrono::milliseconds(20);

} // namespace

Control::Control(asio::io_context &context, const model::Settings &settings, ProcessParts &parts,
                 VersionHolder &versions)
    : context(context)
    , settings(settings)
    , parts(parts)
    , versions(versions)
    , peers(context, settings.name, settings.peers,
            [this](const messages::Envelope &envelope) { this->receive(envelope); })
    , documents(parts.store.tables())
    , list(context.get_executor(), settings.platform, settings.control.storeTimeout)
    , lease(parts.store.tables(), parts.incarnationName, {})
    , fleetStore(parts.store.tables())
    , vmControl(context.get_executor(), settings.platform, settings.control.storeTimeout)
    , waves(parts.store.tables(), this->vmControl,
            [this](const fleet::FleetDecision &decision) {
                this->fleetChanged = true;
                this->parts.log.write(
                    {decision.event,
                     "",
                     {{"subject", decision.subject}, {"reason", decision.reason}}});
            })
    , sweeper(parts.store.tables(), parts.store.objectStore(),
              settings.control.claimRetention.count())
    , documentTimer(context)
{}

void Control::spawn(Awaitable<void> (Control::*loop)())
{
    asio::co_spawn(
        this->context, [this, loop] { return (this->*loop)(); }, asio::detached);
}

absl::Status Control::start()
{
    auto status = this->peers.open(this->settings.peer);
    if (!status.ok())
        return status;
    this->parts.dispatcher.setLeavingHandler([this](const policy::LeavingNews &news) {
        asio::post(this->context, [this, news] { this->broadcastSignal(news); });
    });
    this->spawn(&Control::heartbeatLoop);
    this->spawn(&Control::documentLoop);
    this->spawn(&Control::listLoop);
    this->spawn(&Control::dispatchLoop);
    this->spawn(&Control::leaseLoop);
    this->spawn(&Control::demandLoop);
    return absl::OkStatus();
}

void Control::beginStop()
{
    this->isStopping = true;
}

Awaitable<void> Control::endStop()
{
    this->hasLeft = true;
    this->peers.broadcast(this->heartbeat());
    co_await this->lease.release();
}

Health Control::health() const
{
    if (this->isStopping)
        return {false, "stopping"};
    if (this->versions.current()->texts.revision == 0)
        return {false, "no document yet"};
    if (now() - this->lastConfirmedAt > this->settings.control.stale)
        return {false, "neither the store nor a peer confirms the document's revision"};
    return {true, "ok"};
}

http::ClientTraffic Control::platformTraffic() const
{
    auto sum = this->parts.store.tables().traffic();
    sum.sent += this->list.traffic().sent;
    sum.received += this->list.traffic().received;
    return sum;
}

const peer::PeerLink &Control::link() const
{
    return this->peers;
}

bool Control::storeReachable() const
{
    return this->storeIsUp;
}

bool Control::holdsLease() const
{
    return this->lease.holds(now());
}

std::int64_t Control::fleetVersion() const
{
    return this->fleetSnapshot.version;
}

std::int64_t Control::leaseEpoch() const
{
    return this->lease.currentEpoch();
}

Awaitable<void> Control::heartbeatLoop()
{
    asio::steady_timer timer(this->context);
    std::vector<std::string> known;
    for (;;) {
        this->sendHeartbeats();
        const auto live = this->parts.membership.locked(
            [](policy::Membership &membership) { return membership.live(now()); });
        if (live != known) {
            std::string names;
            for (const auto &name : live)
                names += (names.empty() ? "" : ",") + name;
            this->parts.log.write({"membership", "", {{"live", names}}});
            known = live;
        }
        this->parts.dispatcher.change(
            [&](policy::Dispatcher &dispatcher) { return dispatcher.setLive(live, now()); });
        this->parts.store.setEntries(live.size());
        co_await sleepFor(timer, this->settings.control.heartbeat);
    }
}

Awaitable<void> Control::dispatchLoop()
{
    asio::steady_timer timer(this->context);
    for (;;) {
        this->parts.dispatcher.change(
            [](policy::Dispatcher &dispatcher) { return dispatcher.tick(now()); });
        this->requestLoans();
        co_await sleepFor(timer, dispatchPeriod);
    }
}

} // namespace sassafrasferry::entry
