// Control thread of an entry VM: heartbeats, document updates, the platform's VM list, the control
// lease, demand reports, and loans of slots and quota between entry VMs.
#pragma once

#include "../connection/traffic_environment.h"
#include "../version/version.h"

#include <sassafrasferry/fleet/vm_control_client.h>
#include <sassafrasferry/fleet/wave_runner.h>
#include <sassafrasferry/peer/peer_link.h>
#include <sassafrasferry/policy/demand.h>
#include <sassafrasferry/store/claim_sweeper.h>
#include <sassafrasferry/store/document_store.h>
#include <sassafrasferry/store/lease_keeper.h>
#include <sassafrasferry/store/vm_list_client.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <set>

namespace sassafrasferry::entry {

/// Whether the load balancer should send requests to this entry VM, with the reason if not.
struct Health
{
    bool isHealthy = false;
    std::string reason;
};

/// Where a document version was obtained.
enum class VersionSource { Store, Peer };

constexpr auto enumNames(VersionSource)
{
    using model::EnumName;
    return std::array{EnumName{VersionSource::Store, "store"},
                      EnumName{VersionSource::Peer, "peer"}};
}

/// The VMs whose state or pool differs from the document, as last read from the fleet rows.
struct FleetSnapshot
{
    std::set<std::string> unavailable; ///< VMs that are given no new work
    std::vector<policy::Placement> placements; ///< pools of VMs on loan, sorted
    std::int64_t version = store::absent; ///< version of the fleet's head row
};

/// The control loops and peer messages of an entry VM. All members run on the control thread
/// unless documented as thread-safe.
class Control
{
public:
    Control(boost::asio::io_context &context, const model::Settings &settings, ProcessParts &parts,
            VersionHolder &versions);

    /// Opens the peer port and starts the control loops.
    absl::Status start();
    /// Makes the health check fail; traffic is still served.
    void beginStop();
    /// Announces to the peers that this entry VM has left, and releases the control lease.
    Awaitable<void> endStop();

    Health health() const;
    /// Applies a change of one section through the store.
    Awaitable<store::ChangeResult> apply(store::SectionChange change);
    Awaitable<absl::StatusOr<std::int64_t>> operation(std::string operationId);
    Awaitable<absl::StatusOr<std::vector<store::HistoryEntry>>> history(std::int64_t after);

    Awaitable<absl::StatusOr<fleet::FleetRows>> fleetRows();
    /// Stores the state of a wave that an operator starts, halts or resumes.
    Awaitable<store::Commit> setWave(fleet::WaveRow wave);
    /// The input of the wave planner.
    fleet::FleetView fleetView();

    /// Bytes exchanged with the platform by the control thread.
    http::ClientTraffic platformTraffic() const;
    const peer::PeerLink &link() const;
    bool storeReachable() const;
    bool holdsLease() const;
    std::int64_t leaseEpoch() const;
    /// Version of the fleet's head row when its rows were last read; 0 if they are not known.
    std::int64_t fleetVersion() const;

private:
    using Timer = boost::asio::steady_timer;

    Awaitable<void> heartbeatLoop();
    Awaitable<void> documentLoop();
    Awaitable<void> listLoop();
    Awaitable<void> dispatchLoop();
    Awaitable<void> leaseLoop();
    Awaitable<void> demandLoop();
    Awaitable<void> updateLease();
    Awaitable<void> refreshDocument();
    Awaitable<bool> refreshFleet(std::int64_t fleetVersion);
    Awaitable<void> sweepClaims();
    void askPeersForDocument();
    void adoptFleet(FleetSnapshot snapshot);
    void markDraining(std::set<std::string> names);
    void spawn(Awaitable<void> (Control::*loop)());
    messages::Envelope heartbeat() const;
    void sendHeartbeats();
    void adopt(VersionPointer version, VersionSource source);
    void adoptTable(const model::Document &document);
    bool isDemandLendingEnabled() const;
    void reportDemand();
    std::vector<std::string> busyDrainingVms() const;
    std::vector<policy::PoolLoad> poolLoads() const;
    std::vector<policy::PoolWish> demandWishes();
    void updateLeavingVms(const std::vector<std::string> &leaving);
    void broadcastSignal(const policy::LeavingNews &news);
    void requestLoans();
    void receive(const messages::Envelope &envelope);
    void receiveHeartbeat(const std::string &sender, const messages::Heartbeat &heartbeat);
    void receiveSignal(const std::string &sender, const messages::WorkerSignal &signal);
    void receiveLoanWish(const std::string &sender, const messages::LoanWish &wish);
    void receiveLoan(const messages::Loan &loan);
    void receiveQuotaWish(const std::string &sender, const messages::QuotaWish &wish);
    void receiveQuotaLoan(const messages::QuotaLoan &loan);
    void receiveDemand(const std::string &sender, const messages::Demand &demand);
    void receiveDocumentRequest(const std::string &sender,
                                const messages::DocumentRequest &request);
    void receiveTexts(const messages::DocumentReply &reply);
    void receiveFleet(const messages::DocumentReply &reply);
    void receiveDocument(const messages::DocumentReply &reply);

    boost::asio::io_context &context;
    const model::Settings &settings;
    ProcessParts &parts;
    VersionHolder &versions;
    peer::PeerLink peers;
    store::DocumentStore<store::TableClient> documents;
    store::VmListClient list;
    store::LeaseKeeper<store::TableClient> lease;
    fleet::FleetStore<store::TableClient> fleetStore;
    fleet::VmControlClient vmControl;
    fleet::WaveRunner<store::TableClient, fleet::VmControlClient> waves;
    store::ClaimSweeper<store::TableClient, store::ObjectClient> sweeper;
    Timer documentTimer; // cancelled to make the document loop poll immediately
    bool isStopping = false;
    bool hasLeft = false; // announced in heartbeats
    bool storeIsUp = false;
    policy::Instant lastConfirmedAt{};
    std::set<std::string> leavingVms; // VMs on the platform's list of leaving VMs
    FleetSnapshot fleetSnapshot;
    policy::RoutingTable table; // compiled from the document and `fleetSnapshot.placements`
    bool fleetChanged = false; // changed by this process since the rows were last read
    policy::DemandTold demandReporter;
    policy::DemandHeard demandAggregate;
    std::optional<policy::DemandPlanner> demandPlanner; // present while the lease is held
    VersionPointer viewedVersion; // owns the document that the last fleet view refers to
    policy::Instant nextLoanRequest{};
    std::size_t nextLenderIndex = 0; // index of the next peer to ask for a loan
    std::size_t nextHeartbeatIndex = 0; // index of the next peer to send a heartbeat to
};

} // namespace sassafrasferry::entry
