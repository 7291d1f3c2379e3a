// Parse functions for the settings of an entry VM.
#include <sassafrasferry/model/settings.h>

#include <sassafrasferry/model/toml_reader.h>

#include <algorithm>
#include <set>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <arpa/inet.h>

namespace sassafrasferry::model {

namespace {

constexpr IntegerRange periodRange{1, 3600000};
constexpr IntegerRange retentionRange{1000, 366LL * 24 * 3600 * 1000};
constexpr IntegerRange writesRange{1, 1000000};
constexpr std::int64_t mostThreads = 64;
constexpr std::int64_t mostBody = 1LL << 30;

bool isIpNumber(std::string_view host)
{
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    const std::string number(isBracketed ? host.substr(1, host.size() - 2) : host);
    in6_addr address{};
    return ::inet_pton(AF_INET, number.c_str(), &address) == 1
           || ::inet_pton(AF_INET6, number.c_str(), &address) == 1;
}

void readEndpoint(TomlReader &reader, std::string_view key, Endpoint &endpoint)
{
    reader.require(key);
    std::string text;
    if (!reader.read(key, text) || text.empty())
        return;
    if (const auto parsed = parseEndpoint(text))
        endpoint = *parsed;
    else
        reader.find(key, "must be an IP number and a port, as in 127.0.0.1:8080");
}

void readRouting(TomlReader &reader, RoutingSettings &routing)
{
    reader.readName("policy", routing.policy);
    reader.readName("admission", routing.admission);
    reader.read("queueBound", routing.queueBound, {0, 1000000});
    reader.read("idleConnections", routing.idleConnections, {1, mostThreads});
    reader.read("retryBudget", routing.retryBudget, {0, 10});
    reader.read("ejection", routing.ejection);
    reader.read("hopelessJobs", routing.hopelessJobs);
    reader.read("urgentPatienceMs", routing.urgentPatience, {0, 3600000});
}

void readControl(TomlReader &reader, ControlSettings &control)
{
    reader.read("heartbeatMs", control.heartbeat, periodRange);
    reader.read("peerTimeoutMs", control.peerTimeout, periodRange);
    reader.read("pollMs", control.poll, periodRange);
    reader.read("staleMs", control.stale, periodRange);
    reader.read("listPollMs", control.listPoll, periodRange);
    reader.read("claimWrites", control.claimWrites, writesRange);
    reader.read("claimRetentionMs", control.claimRetention, retentionRange);
    reader.read("storeTimeoutMs", control.storeTimeout, periodRange);
    reader.read("balancerLagMs", control.balancerLag, {0, 3600000});
    reader.read("stopDeadlineMs", control.stopDeadline, periodRange);
    if (control.peerTimeout < 2 * control.heartbeat)
        reader.find("peerTimeoutMs", "must be at least twice heartbeatMs");
    if (control.stale < control.poll)
        reader.find("staleMs", "must be at least pollMs");
}

void readPeers(TomlReader &reader, Settings &settings)
{
    std::set<std::string> names{settings.name};
    reader.eachElement("peers", [&](TomlReader &element) {
        PeerSettings peer;
        element.require("name");
        element.read("name", peer.name);
        readEndpoint(element, "address", peer.endpoint);
        if (!names.insert(peer.name).second)
            element.find("name", "names an entry VM twice");
        settings.peers.push_back(std::move(peer));
    });
}

} // namespace

void readLimits(TomlReader &reader, CallerLimits &limits)
{
    reader.read("headerBytes", limits.headerBytes, {256, mostBody});
    reader.read("bodyBytes", limits.bodyBytes, {0, mostBody});
    reader.read("pendingBytes", limits.pendingBytes, {0, 64 * mostBody});
    reader.read("connections", limits.connections, {1, 1000000});
    reader.read("idleTimeoutMs", limits.idleTimeout, periodRange);
    reader.read("readTimeoutMs", limits.readTimeout, periodRange);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isIpNumber(text.substr(0, colon)))
        return std::nullopt;
    unsigned port = 0;
    const auto digits = text.substr(colon + 1);
    if (!absl::SimpleAtoi({digits.data(), digits.size()}, &port) || port == 0 || port > UINT16_MAX)
        return std::nullopt;
    return Endpoint{std::string(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

std::string toString(const Endpoint &endpoint)
{
    return absl::StrCat(endpoint.host, ":", endpoint.port);
}

Settings parseSettings(std::string_view text, const std::string &file, Findings &findings)
{
    Settings settings;
    const auto table = parseToml(text, file, findings);
    if (!table)
        return settings;
    TomlReader reader(*table, file, "", findings);
    reader.require("name");
    reader.read("name", settings.name);
    reader.require("dataCentre");
    reader.read("dataCentre", settings.dataCentre);
    readEndpoint(reader, "callers", settings.callers);
    readEndpoint(reader, "admin", settings.admin);
    readEndpoint(reader, "peer", settings.peer);
    readEndpoint(reader, "platform", settings.platform);
    reader.read("trafficThreads", settings.trafficThreads, {1, mostThreads});
    readPeers(reader, settings);
    reader.table("limits", [&](TomlReader &inner) { readLimits(inner, settings.limits); });
    reader.table("routing", [&](TomlReader &inner) { readRouting(inner, settings.routing); });
    reader.table("control", [&](TomlReader &inner) { readControl(inner, settings.control); });
    if (settings.routing.idleConnections < settings.trafficThreads)
        reader.find("trafficThreads", "must not be larger than routing.idleConnections");
    reader.finish();
    return settings;
}

} // namespace sassafrasferry::model
