// Which entry VMs are live, from their heartbeats.
#pragma once

#include <sassafrasferry/policy/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasferry::policy {

/// Peers that are sent a heartbeat in one period, in turn. With 60 entry VMs and four periods a
/// second, heartbeats to all would cost each of them several kilobytes a second.
constexpr std::size_t heartbeatFanOut = 8;

/// Silence after which a peer counts as gone: the configured time, or three rounds of heartbeats if
/// a round over all peers takes longer.
Duration silenceOf(Duration configured, Duration period, std::size_t peers);

/// What a heartbeat tells.
struct PeerState
{
    std::string name;
    std::uint64_t incarnation = 0; ///< grows with each start of the process
    std::int64_t revision = 0;
    bool leaving = false;
    std::int64_t fleetVersion = 0; ///< of the fleet's head row, when it last read the rows
    bool holdsLease = false;
    std::vector<std::string> busy{}; ///< VMs out of service on which it still has requests
};

/// The view of one entry VM on the others. Single-threaded.
///
/// An entry VM that loses more than half of the others at once cannot tell their death from being
/// cut off itself. If it took their slots while they live, every worker would be overcommitted
/// for as long as the cut lasts. So it keeps the view it had. If it still hears some peers, it
/// takes the silent ones for gone after `patience` timeouts: else the loss of two data centres for
/// good would leave the survivors with the small shares they had. One that hears nobody keeps
/// waiting.
///
/// "At once" counts a peer from half its timeout on. Heartbeats arrive spread over a round, and so
/// do the ends of their silences: by the time the first peer of a cut is silent for the whole
/// timeout, the last one must already count, or the peers are dropped one by one.
class Membership
{
public:
    /// Counts every configured peer as live until `timeout` has passed, so that an entry VM that
    /// has just started does not take all slots.
    Membership(std::string self, const std::vector<std::string> &peers, Duration timeout,
               Instant now);

    /// A heartbeat arrived. An older incarnation than one already heard is ignored.
    void heard(const PeerState &state, Instant now);

    /// This entry VM is leaving: it takes no share from now on.
    void setLeaving(bool isLeaving);

    /// Names of the live entry VMs, this one included unless it leaves, sorted.
    const std::vector<std::string> &live(Instant now);

    /// True if so many peers fell silent at once that this entry VM counts as cut off.
    bool cutOff(Instant now) const;

    /// True if the named entry VM, in that incarnation, may still be running.
    bool mayRun(const std::string &name, std::uint64_t incarnation, Instant now) const;

    /// The last state heard of a peer.
    std::optional<PeerState> peer(const std::string &name) const;

private:
    struct Peer
    {
        PeerState state;
        Instant lastHeard;
    };

    static constexpr int patience = 15; // timeouts

    bool silent(const Peer &peer, Instant now) const;
    bool overdue(const Peer &peer, Instant now) const;
    bool hearsSomebody(Instant now) const;
    std::size_t overdueAtOnce(Instant now) const;

    std::string self;
    std::vector<Peer> peers;
    Duration timeout;
    bool leaving = false;
    std::optional<Instant> cutSince; // set while the view is kept
    Instant cutSeen{}; // the last time that this entry VM counted as cut off
    std::vector<std::string> view; // sorted; what `live` last returned
};

} // namespace sassafrasferry::policy
