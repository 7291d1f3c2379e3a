// Settings of one entry VM: its name, addresses and data centre, its peers, the platform's
// address, and limits. Read once at start.
#pragma once

#include <sassafrasferry/model/finding.h>
#include <sassafrasferry/model/vocabulary.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasferry::model {

/// An IP number and a TCP port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
};

/// Parses "IP:port"; nothing if it is not of that form.
std::optional<Endpoint> parseEndpoint(std::string_view text);
std::string toString(const Endpoint &endpoint);

/// Another entry VM.
struct PeerSettings
{
    std::string name;
    Endpoint endpoint;
};

/// Limits on what callers may send.
struct CallerLimits
{
    std::int64_t headerBytes = 16LL * 1024;
    std::int64_t bodyBytes = 4LL * 1024 * 1024;
    /// Of all requests that are not answered yet, beyond the first read of each.
    std::int64_t pendingBytes = 64LL * 1024 * 1024;
    std::int64_t connections = 4096;
    std::chrono::milliseconds idleTimeout{60000};
    std::chrono::milliseconds readTimeout{10000};
};

class TomlReader;

/// Reads a table of limits; keys that are absent keep their values.
void readLimits(TomlReader &reader, CallerLimits &limits);

/// How requests are admitted and routed.
struct RoutingSettings
{
    RoutingPolicy policy = RoutingPolicy::Loans;
    AdmissionPolicy admission = AdmissionPolicy::Deadline;
    std::int64_t queueBound = 1000; ///< requests a pool's queue holds at the most
    std::int64_t idleConnections = 2; ///< kept open to each worker; part of its connection limit
    double retryBudget = 0.1; ///< retries allowed for each first attempt
    bool ejection = true;
    bool hopelessJobs = true;
    /// An urgent request that has waited this long has background runs stopped; zero: none ever.
    std::chrono::milliseconds urgentPatience{2000};
};

/// Periods of the control thread, and the limits of leases.
struct ControlSettings
{
    std::chrono::milliseconds heartbeat{250};
    std::chrono::milliseconds peerTimeout{1500}; ///< silence after which a peer counts as gone
    std::chrono::milliseconds poll{1000}; ///< between reads of the document's head
    std::chrono::milliseconds stale{4000}; ///< unconfirmed revision after which health fails
    std::chrono::milliseconds listPoll{1000}; ///< between reads of the platform's list of VMs
    /// Claim transactions a second, of all entry VMs together.
    std::int64_t claimWrites = 280;
    /// How long a settled claim and its answer are kept for resends with the same key.
    std::chrono::milliseconds claimRetention = std::chrono::hours(24);
    std::chrono::milliseconds storeTimeout{1500};
    std::chrono::milliseconds balancerLag{1000}; ///< accepting goes on this long after SIGTERM
    std::chrono::milliseconds stopDeadline{60000}; ///< then what is in flight is cut, and named
};

/// All settings of `sassafrasferryd`.
struct Settings
{
    std::string name;
    std::string dataCentre;
    Endpoint callers;
    Endpoint admin;
    Endpoint peer;
    Endpoint platform;
    std::vector<PeerSettings> peers;
    std::int64_t trafficThreads = 2;
    CallerLimits limits;
    RoutingSettings routing;
    ControlSettings control;
};

/// Parses a settings file. The result is only to be used if no finding was added.
Settings parseSettings(std::string_view text, const std::string &file, Findings &findings);

} // namespace sassafrasferry::model
