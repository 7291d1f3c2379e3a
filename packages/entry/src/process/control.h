// The control thread of an entry VM: heartbeats, the document, the platform's list, loans.
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

/// Whether the balancer should send requests here, and if not, why.
struct Health
{
    bool isHealthy = false;
    std::string reason;
};

/// Where a version came from.
enum class VersionSource { Store, Peer };

constexpr auto enumNames(VersionSource)
{
    using model::EnumName;
    return std::array{EnumName{VersionSource::Store, "store"},
                      EnumName{VersionSource::Peer, "peer"}};
}

/// What is known of VMs that are not simply in service in the pool of the document.
struct FleetKnowledge
{
    std::set<std::string> out; ///< VMs that get no new work
    std::vector<policy::Placement> placements; ///< lent VMs, sorted
    std::int64_t version = store::absent; ///< of the fleet's head row, when they were read
};

/// Runs on the control thread only, but for what is said to be thread-safe.
class Control
{
public:
    Control(boost::asio::io_context &context, const model::Settings &settings, ProcessParts &parts,
            VersionHolder &versions);

    /// Opens the peer port and starts the loops.
    absl::Status start();
    /// Health fails from now on; traffic goes on.
    void beginStop();
    /// Tells the peers that this entry VM is gone, and gives up the control lease.
    Awaitable<void> endStop();

    Health health() const;
    /// Applies a change of one section through the store.
    Awaitable<store::ChangeResult> apply(store::SectionChange change);
    Awaitable<absl::StatusOr<std::int64_t>> operation(std::string operationId);
    Awaitable<absl::StatusOr<std::vector<store::HistoryEntry>>> history(std::int64_t after);

    Awaitable<absl::StatusOr<fleet::FleetRows>> fleetRows();
    /// An operator starts, halts or resumes a wave.
    Awaitable<store::Commit> setWave(fleet::WaveRow wave);
    /// What the wave planner sees.
    fleet::FleetView fleetView();

    /// Bytes moved between this entry VM and the platform for control.
    http::ClientTraffic platformTraffic() const;
    const peer::PeerLink &link() const;
    bool storeReachable() const;
    bool holdsLease() const;
    std::int64_t leaseEpoch() const;
    /// Of the fleet's head row, when its rows were last read; 0 if they are not known.
    std::int64_t fleetVersion() const;

private:
    using Timer = boost::asio::steady_timer;

    Awaitable<void> heartbeatLoop();
    Awaitable<void> documentLoop();
    Awaitable<void> listLoop();
    Awaitable<void> dispatchLoop();
    Awaitable<void> leaseLoop();
    Awaitable<void> demandLoop();
    Awaitable<void> keepLease();
    Awaitable<void> refreshDocument();
    Awaitable<bool> refreshFleet(std::int64_t fleetVersion);
    Awaitable<void> sweepClaims();
    void askPeersForDocument();
    void takeFleet(FleetKnowledge knowledge);
    void markDraining(std::set<std::string> names);
    void spawn(Awaitable<void> (Control::*loop)());
    messages::Envelope heartbeat() const;
    void sendHeartbeats();
    void adopt(VersionPointer version, VersionSource source);
    void adoptTable(const model::Document &document);
    bool lendsForDemand() const;
    void tellDemand();
    std::vector<std::string> busyOut() const;
    std::vector<policy::PoolLoad> poolLoads() const;
    std::vector<policy::PoolWish> demandWishes();
    void take(const std::vector<std::string> &leaving);
    void tellPeers(const policy::LeavingNews &news);
    void askForLoans();
    void receive(const messages::Envelope &envelope);
    void receiveHeartbeat(const std::string &sender, const messages::Heartbeat &heartbeat);
    void receiveSignal(const std::string &sender, const messages::WorkerSignal &signal);
    void receiveWish(const std::string &sender, const messages::LoanWish &wish);
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
    Timer documentTimer; // cancelled to read the document at once
    bool stopping = false;
    bool gone = false; // said to the peers
    bool storeIsUp = false;
    policy::Instant confirmed{};
    std::set<std::string> listed; // VMs that the platform's list says are leaving
    FleetKnowledge fleetKnown;
    policy::RoutingTable table; // in force: of the document and of `fleetKnown.placements`
    bool fleetChanged = false; // by this process, since its rows were last read
    policy::DemandTold demandTold;
    policy::DemandHeard demandHeard;
    std::optional<policy::DemandPlanner> demandPlanner; // while the lease is held
    VersionPointer viewed; // keeps alive the document of the last fleet view
    policy::Instant nextWish{};
    std::size_t wishTurn = 0; // which peers are asked next
    std::size_t heartbeatTurn = 0; // which peers hear next
};

} // namespace sassafrasferry::entry
