// The control thread's view of the document and of VMs that leave: read, adopted, changed.
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
    // VMs that a change moves are marked before the change is adopted: adopted first, it would for
    // a moment put a VM to use in its new pool that still has work of its old one.
    if (isNewer || heads->otherVersion != this->fleetKnown.version) {
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
    this->confirmed = now();
}

Awaitable<bool> Control::refreshFleet(std::int64_t newVersion)
{
    const auto rows = co_await this->fleetStore.load();
    if (!rows.ok()) {
        LOG(WARNING) << "event=fleet-load-failed " << rows.status();
        co_return false;
    }
    FleetKnowledge knowledge{{}, {}, newVersion};
    for (const auto &vm : rows->vms) {
        if (vm.state != fleet::VmState::Lent)
            knowledge.out.insert(vm.name);
        if (vm.isLoan() && vm.pool != vm.home)
            knowledge.placements.push_back({vm.name, vm.pool});
    }
    this->takeFleet(std::move(knowledge));
    co_return true;
}

void Control::takeFleet(FleetKnowledge knowledge)
{
    std::sort(knowledge.placements.begin(), knowledge.placements.end());
    // While the table changes, VMs that were out and those that will be get no work: taken back
    // first, a VM on its way would for a moment be of use in the pool that it has left.
    auto outMeanwhile = knowledge.out;
    outMeanwhile.insert(this->fleetKnown.out.begin(), this->fleetKnown.out.end());
    this->markDraining(std::move(outMeanwhile));
    if (knowledge.placements != this->fleetKnown.placements) {
        std::string list;
        for (const auto &placement : knowledge.placements)
            list += (list.empty() ? "" : ",") + placement.vm + ":" + placement.pool;
        this->parts.log.write({"placements", "", {{"vms", list.empty() ? "-" : list}}});
        this->fleetKnown.placements = std::move(knowledge.placements);
        this->adoptTable(this->versions.current()->document);
    }
    this->markDraining(std::move(knowledge.out));
    this->fleetKnown.version = knowledge.version;
}

void Control::markDraining(std::set<std::string> names)
{
    this->parts.dispatcher.locked([&](policy::Dispatcher &dispatcher) {
        for (const auto &name : this->fleetKnown.out) {
            if (!names.contains(name))
                dispatcher.drained(name);
        }
        for (const auto &name : names)
            dispatcher.setLeaving(name, policy::LeavingSignal::Draining, now());
    });
    if (names != this->fleetKnown.out) {
        std::string list;
        for (const auto &name : names)
            list += (list.empty() ? "" : ",") + name;
        this->parts.log.write({"draining", "", {{"vms", list.empty() ? "-" : list}}});
    }
    this->fleetKnown.out = std::move(names);
}

void Control::adoptTable(const model::Document &document)
{
    this->table = policy::compileRoutingTable(document, this->fleetKnown.placements);
    this->parts.dispatcher.change([&](policy::Dispatcher &dispatcher) {
        dispatcher.expect(this->table);
        for (const auto &name : this->listed)
            dispatcher.setLeaving(name, policy::LeavingSignal::List, now());
        for (const auto &name : this->fleetKnown.out)
            dispatcher.setLeaving(name, policy::LeavingSignal::Draining, now());
        return dispatcher.adopt(this->table, now());
    });
}

void Control::adopt(VersionPointer version, VersionSource source)
{
    const auto before = this->versions.current();
    if (version->texts.revision <= before->texts.revision)
        return;
    // What the store would say of VMs that move is not known from a peer: they get no work until
    // it, or a peer that has read it, says where they are.
    if (source == VersionSource::Peer) {
        auto names = this->fleetKnown.out;
        for (const auto &move : fleet::movesBetween(before->document, version->document))
            names.insert(move.vm);
        this->markDraining(std::move(names));
        this->fleetKnown.version = store::absent;
    }
    this->parts.log.write({"revision",
                           "",
                           {{"revision", std::to_string(version->texts.revision)},
                            {"source", std::string(model::nameOf(source))},
                            {"vms", std::to_string(version->table.workers.size())},
                            {"services", std::to_string(version->table.services.size())}}});
    this->adoptTable(version->document);
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
