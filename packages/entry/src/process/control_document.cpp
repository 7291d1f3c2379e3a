// Reads, adopts and changes the document, the fleet rows and the platform's list of leaving VMs.
#include "control.h"
#include "sleep.h"

#include <sassafrasferry/fleet/move_rows.h>
#include <sassafrasferry/http/clock.h>

#include <algorithm>

#include <glog/logging.h>

namespace sassafrasferry::entry {

namespace {

namespace asio = boost::asio;
constexpr auto now = http::steadyNow;

} // namespace

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
    // Moved VMs are marked as draining before the change is adopted. Otherwise a VM could briefly
    // be given work of its new pool while it still runs work of the old one.
    if (isNewer || heads->otherVersion != this->fleetSnapshot.version) {
        if (!co_await this->refreshFleet(heads->otherVersion))
            co_return;
    }
    if (!isNewer) {
        this->lastConfirmedAt = now();
        co_return;
    }
    const auto texts = co_await this->documents.load(current->texts);
    if (!texts.ok()) {
        LOG(WARNING) << "event=document-load-failed " << texts.status();
        co_return;
    }
    // The document changed between the two reads, and that change may have moved VMs too.
    if (texts->revision != heads->revision) {
        const bool isRefreshed = co_await this->refreshFleet(store::absent);
        if (!isRefreshed)
            co_return;
    }
    auto version = makeVersion(*texts);
    if (!version.ok()) {
        LOG(ERROR) << "event=document-unsound revision=" << texts->revision << " "
                   << version.status();
        co_return;
    }
    this->adopt(std::move(*version), VersionSource::Store);
    this->lastConfirmedAt = now();
}

Awaitable<bool> Control::refreshFleet(std::int64_t newVersion)
{
    const auto rows = co_await this->fleetStore.load();
    if (!rows.ok()) {
        LOG(WARNING) << "event=fleet-load-failed " << rows.status();
        co_return false;
    }
    FleetSnapshot snapshot{{}, {}, newVersion};
    for (const auto &vm : rows->vms) {
        if (vm.state != fleet::VmState::Lent)
            snapshot.unavailable.insert(vm.name);
        if (vm.isLoan() && vm.pool != vm.home)
            snapshot.placements.push_back({vm.name, vm.pool});
    }
    this->adoptFleet(std::move(snapshot));
    co_return true;
}

void Control::adoptFleet(FleetSnapshot snapshot)
{
    std::sort(snapshot.placements.begin(), snapshot.placements.end());
    // While the routing table changes, VMs unavailable before or after the change are given no
    // work. If they were released first, a VM in transit could briefly be used in its old pool.
    auto unavailableMeanwhile = snapshot.unavailable;
    unavailableMeanwhile.insert(this->fleetSnapshot.unavailable.begin(),
                                this->fleetSnapshot.unavailable.end());
    this->markDraining(std::move(unavailableMeanwhile));
    if (snapshot.placements != this->fleetSnapshot.placements) {
        std::string list;
        for (const auto &placement : snapshot.placements)
            list += (list.empty() ? "" : ",") + placement.vm + ":" + placement.pool;
        this->parts.log.write({"placements", "", {{"vms", list.empty() ? "-" : list}}});
        this->fleetSnapshot.placements = std::move(snapshot.placements);
        this->adoptTable(this->versions.current()->document);
    }
    this->markDraining(std::move(snapshot.unavailable));
    this->fleetSnapshot.version = snapshot.version;
}

void Control::markDraining(std::set<std::string> names)
{
    this->parts.dispatcher.locked([&](policy::Dispatcher &dispatcher) {
        for (const auto &name : this->fleetSnapshot.unavailable) {
            if (!names.contains(name))
                dispatcher.drained(name);
        }
        for (const auto &name : names)
            dispatcher.setLeaving(name, policy::LeavingSignal::Draining, now());
    });
    if (names != this->fleetSnapshot.unavailable) {
        std::string list;
        for (const auto &name : names)
            list += (list.empty() ? "" : ",") + name;
        this->parts.log.write({"draining", "", {{"vms", list.empty() ? "-" : list}}});
    }
    this->fleetSnapshot.unavailable = std::move(names);
}

void Control::adoptTable(const model::Document &document)
{
    this->table = policy::compileRoutingTable(document, this->fleetSnapshot.placements);
    this->parts.dispatcher.change([&](policy::Dispatcher &dispatcher) {
        dispatcher.expect(this->table);
        for (const auto &name : this->leavingVms)
            dispatcher.setLeaving(name, policy::LeavingSignal::List, now());
        for (const auto &name : this->fleetSnapshot.unavailable)
            dispatcher.setLeaving(name, policy::LeavingSignal::Draining, now());
        return dispatcher.adopt(this->table, now());
    });
}

void Control::adopt(VersionPointer version, VersionSource source)
{
    const auto before = this->versions.current();
    if (version->texts.revision <= before->texts.revision)
        return;
    // The stored placement of moved VMs is not known when the document comes from a peer. These VMs
    // are given no work until the store, or a peer that has read it, provides the placement.
    if (source == VersionSource::Peer) {
        auto names = this->fleetSnapshot.unavailable;
        for (const auto &move : fleet::movesBetween(before->document, version->document))
            names.insert(move.vm);
        this->markDraining(std::move(names));
        this->fleetSnapshot.version = store::absent;
    }
    this->parts.log.write({"revision",
                           "",
                           {{"revision", std::to_string(version->texts.revision)},
                            {"source", std::string(model::nameOf(source))},
                            {"vms", std::to_string(version->table.workers.size())},
                            {"services", std::to_string(version->table.services.size())}}});
    this->adoptTable(version->document);
    this->versions.advance(version);
    this->sendHeartbeats(); // some peers learn the revision now, the others at their next poll
}

Awaitable<void> Control::listLoop()
{
    asio::steady_timer timer(this->context);
    for (;;) {
        const auto leaving = co_await this->list.leaving();
        if (leaving.ok())
            this->updateLeavingVms(*leaving);
        co_await sleepFor(timer, this->settings.control.listPoll);
    }
}

void Control::updateLeavingVms(const std::vector<std::string> &leaving)
{
    const std::set<std::string> next(leaving.begin(), leaving.end());
    std::vector<policy::LeavingNews> news;
    for (const auto &name : next) {
        if (!this->leavingVms.contains(name))
            news.push_back({name, policy::LeavingSignal::List});
    }
    for (const auto &name : this->leavingVms) {
        if (!next.contains(name))
            news.push_back({name, policy::LeavingSignal::None});
    }
    this->leavingVms = next;
    for (const auto &item : news) {
        const bool isNew = this->parts.dispatcher.locked([&](policy::Dispatcher &dispatcher) {
            return dispatcher.setLeaving(item.worker, item.signal, now());
        });
        if (isNew)
            this->broadcastSignal(item);
    }
}

Awaitable<store::ChangeResult> Control::apply(store::SectionChange change)
{
    using Documents = store::DocumentStore<store::TableClient>;
    const Documents::ExtraRowsOf moves = [](const model::Document &current,
                                            const model::Document &changed) {
        Documents::ExtraRows rows;
        rows.fresh = fleet::moveRows(current, changed, http::unixNow());
        if (!rows.fresh.empty())
            rows.touched.push_back({fleet::fleetHeadKey(), store::Json::object()});
        return rows;
    };
    auto result =
        co_await this->documents.apply(std::move(change), this->versions.current()->texts, moves);
    if (result.state == store::ChangeState::Accepted)
        this->documentTimer.cancel();
    co_return result;
}

Awaitable<absl::StatusOr<std::int64_t>> Control::operation(std::string operationId)
{
    return this->documents.operation(std::move(operationId));
}

Awaitable<absl::StatusOr<std::vector<store::HistoryEntry>>> Control::history(std::int64_t after)
{
    return this->documents.history(after);
}

} // namespace sassafrasferry::entry
