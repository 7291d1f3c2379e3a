// The loops of the control thread.
#include "control.h"

#include <sassafrasferry/fleet/move_rows.h>
#include <sassafrasferry/http/clock.h>

#include <algorithm>

#include <glog/logging.h>

namespace sassafrasferry::entry {

namespace {

namespace asio = boost::asio;
using http::unixNow;
constexpr auto now = http::steadyNow;

constexpr auto dispatchPeriod = std::chrono::milliseconds(20);
constexpr auto leasePeriod = std::chrono::milliseconds(500);

Awaitable<void> sleepFor(asio::steady_timer &timer, std::chrono::milliseconds duration)
{
    boost::system::error_code ignored;
    timer.expires_after(duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

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
    this->parts.dispatcher.onNews([this](const policy::LeavingNews &news) {
        asio::post(this->context, [this, news] { this->tellPeers(news); });
    });
    this->spawn(&Control::heartbeatLoop);
    this->spawn(&Control::documentLoop);
    this->spawn(&Control::listLoop);
    this->spawn(&Control::dispatchLoop);
    this->spawn(&Control::leaseLoop);
    return absl::OkStatus();
}

void Control::beginStop()
{
    this->stopping = true;
}

Awaitable<void> Control::endStop()
{
    this->gone = true;
    this->peers.broadcast(this->heartbeat());
    co_await this->lease.release();
}

Health Control::health() const
{
    if (this->stopping)
        return {false, "stopping"};
    if (this->versions.current()->texts.revision == 0)
        return {false, "no document yet"};
    if (now() - this->confirmed > this->settings.control.stale)
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

Awaitable<void> Control::documentLoop()
{
    for (;;) {
        co_await this->refreshDocument();
        co_await sleepFor(this->documentTimer, this->settings.control.poll);
    }
}

Awaitable<void> Control::refreshDocument()
{
    const auto heads = co_await this->documents.heads(fleet::fleetHeadKey());
    this->storeIsUp = heads.ok();
    const auto current = this->versions.current();
    if (!heads.ok()) {
        this->askPeersForDocument();
        co_return;
    }
    const bool isNewer = heads->revision > current->texts.revision;
    // VMs that a change moves are marked before the change is adopted: adopted first, it would for
    // a moment put a VM to use in its new pool that still has work of its old one.
    if (isNewer || heads->otherVersion != this->fleetVersion) {
        if (!co_await this->refreshFleet(heads->otherVersion))
            co_return;
    }
    if (!isNewer) {
        this->confirmed = now();
        co_return;
    }
    const auto texts = co_await this->documents.load(current->texts);
    if (!texts.ok()) {
        LOG(WARNING) << "event=document-load-failed " << texts.status();
        co_return;
    }
    // A change may have come between the two readings, and moved VMs of its own.
    if (texts->revision != heads->revision && !co_await this->refreshFleet(platform::absent))
        co_return;
    auto version = makeVersion(*texts);
    if (!version.ok()) {
        LOG(ERROR) << "event=document-unsound revision=" << texts->revision << " "
                   << version.status();
        co_return;
    }
    this->adopt(std::move(*version), "store");
    this->confirmed = now();
}

Awaitable<bool> Control::refreshFleet(std::int64_t newVersion)
{
    const auto rows = co_await this->fleetStore.load();
    if (!rows.ok()) {
        LOG(WARNING) << "event=fleet-load-failed " << rows.status();
        co_return false;
    }
    std::set<std::string> names;
    for (const auto &vm : rows->vms)
        names.insert(vm.name);
    this->markDraining(std::move(names));
    this->fleetVersion = newVersion;
    co_return true;
}

void Control::markDraining(std::set<std::string> names)
{
    this->parts.dispatcher.locked([&](policy::Dispatcher &dispatcher) {
        for (const auto &name : this->draining) {
            if (!names.contains(name))
                dispatcher.drained(name);
        }
        for (const auto &name : names)
            dispatcher.setLeaving(name, policy::LeavingSignal::Draining, now());
    });
    if (names != this->draining) {
        std::string list;
        for (const auto &name : names)
            list += (list.empty() ? "" : ",") + name;
        this->parts.log.write({"draining", "", {{"vms", list.empty() ? "-" : list}}});
    }
    this->draining = std::move(names);
}

void Control::adopt(VersionPointer version, const char *source)
{
    const auto before = this->versions.current();
    if (version->texts.revision <= before->texts.revision)
        return;
    // What the store would say of VMs that move is not known from a peer: they get no work until
    // it can be read.
    if (!this->storeIsUp) {
        auto names = this->draining;
        for (const auto &move : fleet::movesBetween(before->document, version->document))
            names.insert(move.vm);
        this->markDraining(std::move(names));
        this->fleetVersion = platform::absent;
    }
    this->parts.log.write({"revision",
                           "",
                           {{"revision", std::to_string(version->texts.revision)},
                            {"source", source},
                            {"vms", std::to_string(version->table.workers.size())},
                            {"services", std::to_string(version->table.services.size())}}});
    this->parts.dispatcher.change([&](policy::Dispatcher &dispatcher) {
        dispatcher.expect(version->table);
        for (const auto &name : this->listed)
            dispatcher.setLeaving(name, policy::LeavingSignal::List, now());
        for (const auto &name : this->draining)
            dispatcher.setLeaving(name, policy::LeavingSignal::Draining, now());
        return dispatcher.adopt(version->table, now());
    });
    this->versions.advance(version);
    this->sendHeartbeats(); // some peers learn the new revision at once, all by their next poll
}

Awaitable<void> Control::listLoop()
{
    asio::steady_timer timer(this->context);
    for (;;) {
        const auto leaving = co_await this->list.leaving();
        if (leaving.ok())
            this->take(*leaving);
        co_await sleepFor(timer, this->settings.control.listPoll);
    }
}

void Control::take(const std::vector<std::string> &leaving)
{
    const std::set<std::string> next(leaving.begin(), leaving.end());
    std::vector<policy::LeavingNews> news;
    for (const auto &name : next) {
        if (!this->listed.contains(name))
            news.push_back({name, policy::LeavingSignal::List});
    }
    for (const auto &name : this->listed) {
        if (!next.contains(name))
            news.push_back({name, policy::LeavingSignal::None});
    }
    this->listed = next;
    for (const auto &item : news) {
        const bool isNew = this->parts.dispatcher.locked([&](policy::Dispatcher &dispatcher) {
            return dispatcher.setLeaving(item.worker, item.signal, now());
        });
        if (isNew)
            this->tellPeers(item);
    }
}

Awaitable<void> Control::dispatchLoop()
{
    asio::steady_timer timer(this->context);
    for (;;) {
        this->parts.dispatcher.change(
            [](policy::Dispatcher &dispatcher) { return dispatcher.tick(now()); });
        this->askForLoans();
        co_await sleepFor(timer, dispatchPeriod);
    }
}

Awaitable<void> Control::leaseLoop()
{
    asio::steady_timer timer(this->context);
    bool held = false;
    while (!this->stopping) {
        co_await this->lease.step(now);
        if (this->holdsLease()) {
            const auto view = this->fleetView();
            const auto status = co_await this->waves.step(view, this->lease.fence());
            if (!status.ok())
                LOG(WARNING) << "event=waves-failed " << status;
            co_await this->sweepClaims();
        }
        if (this->holdsLease() != held) {
            held = !held;
            this->parts.log.write(
                {"lease",
                 "",
                 {{"held", held ? "yes" : "no"}, {"epoch", std::to_string(this->leaseEpoch())}}});
        }
        co_await sleepFor(timer, leasePeriod);
    }
}

Awaitable<void> Control::sweepClaims()
{
    const auto deleted = co_await this->sweeper.step(unixNow(), this->lease.fence());
    if (!deleted.ok()) {
        LOG(WARNING) << "event=claims-not-deleted " << deleted.status();
        co_return;
    }
    if (*deleted > 0)
        this->parts.log.write({"claims-deleted", "", {{"count", std::to_string(*deleted)}}});
}

Awaitable<platform::ChangeResult> Control::apply(platform::SectionChange change)
{
    auto result =
        co_await this->documents.apply(std::move(change), this->versions.current()->texts);
    if (result.state == platform::ChangeState::Accepted)
        this->documentTimer.cancel();
    co_return result;
}

Awaitable<absl::StatusOr<fleet::FleetRows>> Control::fleetRows()
{
    return this->fleetStore.load();
}

Awaitable<platform::Commit> Control::setWave(fleet::WaveRow wave)
{
    return this->fleetStore.setWave(std::move(wave), nullptr);
}

fleet::FleetView Control::fleetView()
{
    this->viewed = this->versions.current();
    fleet::FleetView view{this->viewed->document, {}, this->viewed->texts.revision, unixNow()};
    for (const auto &name : this->listed) {
        if (!this->draining.contains(name))
            view.failed.insert(name);
    }
    this->parts.membership.locked([&](policy::Membership &membership) {
        for (const auto &name : membership.live(now())) {
            const auto peer = membership.peer(name);
            if (peer)
                view.revisionEverywhere = std::min(view.revisionEverywhere, peer->revision);
        }
    });
    return view;
}

Awaitable<absl::StatusOr<std::int64_t>> Control::operation(std::string operationId)
{
    return this->documents.operation(std::move(operationId));
}

Awaitable<absl::StatusOr<std::vector<platform::HistoryEntry>>> Control::history(std::int64_t after)
{
    return this->documents.history(after);
}

} // namespace sassafrasferry::entry
