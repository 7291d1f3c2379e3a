// Sends messages to the other entry VMs and handles the messages received from them.
#include "control.h"

#include <sassafrasferry/http/clock.h>

#include <algorithm>

namespace sassafrasferry::entry {

namespace {

constexpr auto loanRequestPeriod = std::chrono::milliseconds(100);
constexpr std::size_t peersPerLoanRequest = 2;

constexpr auto now = http::steadyNow;

} // namespace

messages::Envelope Control::heartbeat() const
{
    messages::Envelope envelope;
    auto &heartbeat = *envelope.mutable_heartbeat();
    heartbeat.set_incarnation(this->parts.incarnation);
    heartbeat.set_revision(this->versions.current()->texts.revision);
    heartbeat.set_leaving(this->hasLeft);
    heartbeat.set_fleet_version(this->fleetSnapshot.version);
    heartbeat.set_holds_lease(this->holdsLease());
    for (const auto &name : this->busyDrainingVms())
        heartbeat.add_busy(name);
    return envelope;
}

std::vector<std::string> Control::busyDrainingVms() const
{
    if (this->fleetSnapshot.unavailable.empty())
        return {};
    return this->parts.dispatcher.locked(
        [](policy::Dispatcher &dispatcher) { return dispatcher.busyDraining(); });
}

// Sends to a fixed number of peers in rotation, so that the total number of heartbeats does not
// grow with the square of the number of entry VMs.
void Control::sendHeartbeats()
{
    const auto envelope = this->heartbeat();
    const auto count = std::min(policy::heartbeatFanOut, this->settings.peers.size());
    for (std::size_t i = 0; i < count; ++i) {
        const auto &peer =
            this->settings.peers[this->nextHeartbeatIndex++ % this->settings.peers.size()];
        this->peers.send(peer.name, envelope);
    }
}

void Control::askPeersForDocument()
{
    const auto own = this->versions.current()->texts.revision;
    messages::Envelope envelope;
    envelope.mutable_document_request()->set_have_revision(own);
    envelope.mutable_document_request()->set_have_fleet_version(this->fleetSnapshot.version);
    for (const auto &peer : this->settings.peers) {
        const auto state = this->parts.membership.locked(
            [&](policy::Membership &membership) { return membership.peer(peer.name); });
        const bool knowsMore =
            state && (state->revision > own || state->fleetVersion > this->fleetSnapshot.version);
        if (knowsMore && this->peers.send(peer.name, envelope))
            break;
    }
}

void Control::broadcastSignal(const policy::LeavingNews &news)
{
    this->parts.log.write({"worker-signal",
                           "",
                           {{"worker", news.worker},
                            {"signal", std::string(model::nameOf(news.signal))},
                            {"from", "self"}}});
    messages::Envelope envelope;
    auto &signal = *envelope.mutable_worker_signal();
    signal.set_worker(news.worker);
    signal.set_signal(static_cast<std::uint32_t>(news.signal));
    this->peers.broadcast(envelope);
}

void Control::requestLoans()
{
    if (now() < this->nextLoanRequest || this->settings.peers.empty())
        return;
    const auto wishes = this->parts.dispatcher.locked(
        [](policy::Dispatcher &dispatcher) { return dispatcher.loanWishes(now()); });
    const auto quotaWishes = this->parts.dispatcher.locked(
        [](policy::Dispatcher &dispatcher) { return dispatcher.quotaWishes(now()); });
    if (wishes.empty() && quotaWishes.empty())
        return;
    this->nextLoanRequest = now() + loanRequestPeriod;
    for (std::size_t i = 0; i < peersPerLoanRequest; ++i) {
        const auto &peer =
            this->settings.peers[this->nextLenderIndex++ % this->settings.peers.size()];
        for (const auto &wish : wishes) {
            messages::Envelope envelope;
            envelope.mutable_loan_wish()->set_pool(wish.pool);
            envelope.mutable_loan_wish()->set_slots(wish.slots);
            // Only one peer is asked to preempt runs; otherwise several could preempt one each for
            // the same request.
            if (i == 0)
                envelope.mutable_loan_wish()->set_urgent(wish.urgent);
            this->peers.send(peer.name, envelope);
        }
        for (const auto &wish : quotaWishes) {
            messages::Envelope envelope;
            envelope.mutable_quota_wish()->set_team(wish.team);
            envelope.mutable_quota_wish()->set_processors(wish.processors);
            this->peers.send(peer.name, envelope);
        }
    }
}

void Control::receive(const messages::Envelope &envelope)
{
    switch (envelope.body_case()) {
    case messages::Envelope::kHeartbeat:
        this->receiveHeartbeat(envelope.sender(), envelope.heartbeat());
        break;
    case messages::Envelope::kWorkerSignal:
        this->receiveSignal(envelope.sender(), envelope.worker_signal());
        break;
    case messages::Envelope::kLoanWish:
        this->receiveLoanWish(envelope.sender(), envelope.loan_wish());
        break;
    case messages::Envelope::kLoan:
        this->receiveLoan(envelope.loan());
        break;
    case messages::Envelope::kQuotaWish:
        this->receiveQuotaWish(envelope.sender(), envelope.quota_wish());
        break;
    case messages::Envelope::kQuotaLoan:
        this->receiveQuotaLoan(envelope.quota_loan());
        break;
    case messages::Envelope::kDocumentRequest:
        this->receiveDocumentRequest(envelope.sender(), envelope.document_request());
        break;
    case messages::Envelope::kDocumentReply:
        this->receiveDocument(envelope.document_reply());
        break;
    case messages::Envelope::kDemand:
        this->receiveDemand(envelope.sender(), envelope.demand());
        break;
    case messages::Envelope::BODY_NOT_SET:
        break;
    }
}

void Control::receiveHeartbeat(const std::string &sender, const messages::Heartbeat &heartbeat)
{
    const policy::PeerState state{sender,
                                  heartbeat.incarnation(),
                                  heartbeat.revision(),
                                  heartbeat.leaving(),
                                  heartbeat.fleet_version(),
                                  heartbeat.holds_lease(),
                                  {heartbeat.busy().begin(), heartbeat.busy().end()}};
    this->parts.membership.locked(
        [&](policy::Membership &membership) { membership.heard(state, now()); });
    const auto own = this->versions.current()->texts.revision;
    if (heartbeat.revision() > own || heartbeat.fleet_version() > this->fleetSnapshot.version)
        this->documentTimer.cancel(); // fetch the newer state now
    if (heartbeat.revision() <= own && own > 0)
        this->lastConfirmedAt = now();
}

void Control::receiveSignal(const std::string &sender, const messages::WorkerSignal &message)
{
    const auto signal = static_cast<policy::LeavingSignal>(message.signal());
    if (model::nameOf(signal) == "?")
        return; // a signal that this software version does not know
    this->parts.dispatcher.locked([&](policy::Dispatcher &dispatcher) {
        return dispatcher.setLeaving(message.worker(), signal, now());
    });
    this->parts.log.write({"worker-signal",
                           "",
                           {{"worker", message.worker()},
                            {"signal", std::string(model::nameOf(signal))},
                            {"from", sender}}});
}

void Control::receiveLoanWish(const std::string &sender, const messages::LoanWish &wish)
{
    policy::Loan loan;
    this->parts.dispatcher.change([&](policy::Dispatcher &dispatcher) {
        auto lending = dispatcher.lend({wish.pool(), wish.slots(), wish.urgent()}, now());
        loan = std::move(lending.loan);
        return std::move(lending.changes);
    });
    if (loan.items.empty())
        return;
    messages::Envelope envelope;
    auto &message = *envelope.mutable_loan();
    message.set_pool(loan.pool);
    message.set_term_milliseconds(static_cast<std::uint32_t>(loan.term.count()));
    for (const auto &item : loan.items) {
        message.add_workers(item.worker);
        message.add_slots(item.slots);
    }
    this->peers.send(sender, envelope);
}

void Control::receiveLoan(const messages::Loan &message)
{
    policy::Loan loan{message.pool(), {}, std::chrono::milliseconds(message.term_milliseconds())};
    for (int i = 0; i < message.workers_size() && i < message.slots_size(); ++i)
        loan.items.push_back({message.workers(i), message.slots(i)});
    this->parts.dispatcher.change(
        [&](policy::Dispatcher &dispatcher) { return dispatcher.borrow(loan, now()); });
}

void Control::receiveQuotaWish(const std::string &sender, const messages::QuotaWish &wish)
{
    const auto loan = this->parts.dispatcher.locked([&](policy::Dispatcher &dispatcher) {
        return dispatcher.lendQuota({wish.team(), wish.processors()}, now());
    });
    if (loan.processors == 0)
        return;
    messages::Envelope envelope;
    auto &message = *envelope.mutable_quota_loan();
    message.set_team(loan.team);
    message.set_processors(loan.processors);
    message.set_term_milliseconds(static_cast<std::uint32_t>(loan.term.count()));
    this->peers.send(sender, envelope);
}

void Control::receiveQuotaLoan(const messages::QuotaLoan &message)
{
    const policy::QuotaLoan loan{message.team(), message.processors(),
                                 std::chrono::milliseconds(message.term_milliseconds())};
    this->parts.dispatcher.change(
        [&](policy::Dispatcher &dispatcher) { return dispatcher.borrowQuota(loan, now()); });
}

void Control::receiveDocumentRequest(const std::string &sender,
                                     const messages::DocumentRequest &request)
{
    const auto version = this->versions.current();
    const bool isNewer = version->texts.revision > request.have_revision();
    const bool knowsFleet = this->fleetSnapshot.version > request.have_fleet_version();
    if (!isNewer && !knowsFleet)
        return;
    messages::Envelope envelope;
    auto &reply = *envelope.mutable_document_reply();
    reply.set_revision(version->texts.revision);
    for (const auto &section : version->texts.sections) {
        reply.add_names(section.name);
        if (section.revision <= request.have_revision())
            continue;
        auto &changed = *reply.add_sections();
        changed.set_name(section.name);
        changed.set_text(section.text);
        changed.set_revision(section.revision);
    }
    reply.set_fleet_version(this->fleetSnapshot.version);
    for (const auto &name : this->fleetSnapshot.unavailable) {
        auto &placement = *reply.add_placements();
        placement.set_vm(name);
        placement.set_out(true);
    }
    for (const auto &item : this->fleetSnapshot.placements) {
        auto &placement = *reply.add_placements();
        placement.set_vm(item.vm);
        placement.set_pool(item.pool);
    }
    this->peers.send(sender, envelope);
}

// Adopts a peer's fleet snapshot while the store cannot be read.
void Control::receiveFleet(const messages::DocumentReply &reply)
{
    if (this->storeIsUp || reply.fleet_version() <= this->fleetSnapshot.version)
        return;
    FleetSnapshot snapshot{{}, {}, reply.fleet_version()};
    for (const auto &placement : reply.placements()) {
        if (placement.out())
            snapshot.unavailable.insert(placement.vm());
        else
            snapshot.placements.push_back({placement.vm(), placement.pool()});
    }
    this->adoptFleet(std::move(snapshot));
}

void Control::receiveDocument(const messages::DocumentReply &reply)
{
    // The fleet snapshot is applied before the document, so that the document does not put a lent
    // VM to use in its home pool, and again after it, because adopting a document from a peer
    // invalidates the snapshot.
    this->receiveFleet(reply);
    this->receiveTexts(reply);
    this->receiveFleet(reply);
}

void Control::receiveTexts(const messages::DocumentReply &reply)
{
    auto texts = this->versions.current()->texts;
    if (reply.revision() <= texts.revision)
        return;
    texts.revision = reply.revision();
    const std::set<std::string> names(reply.names().begin(), reply.names().end());
    std::erase_if(texts.sections,
                  [&](const model::SectionText &section) { return !names.contains(section.name); });
    for (const auto &section : reply.sections())
        texts.set({section.name(), section.text(), section.revision()});
    auto version = makeVersion(std::move(texts));
    if (version.ok())
        this->adopt(std::move(*version), VersionSource::Peer);
}

} // namespace sassafrasferry::entry
