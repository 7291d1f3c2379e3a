// Routes of the administration API, and its pages on the entry VM itself.
#include "admin_api.h"

#include <sassafrasferry/http/json.h>

namespace sassafrasferry::entry {

namespace {

using http::Json;
using http::Status;
using http::Verb;

constexpr std::string_view requestsPath = "/v1/requests/";
constexpr std::string_view sectionsPath = "/v1/sections/";
constexpr std::string_view operationsPath = "/v1/operations/";
constexpr std::string_view historyPath = "/v1/history/";
constexpr std::string_view wavesPath = "/v1/waves/";

// What follows a prefix, or nothing.
std::optional<std::string> after(const std::string &target, std::string_view prefix)
{
    if (target.rfind(prefix, 0) != 0)
        return std::nullopt;
    return target.substr(prefix.size());
}

} // namespace

AdminApi::AdminApi(const model::Settings &settings, ProcessParts &parts, VersionHolder &versions,
                   Control &control)
    : settings(settings)
    , parts(parts)
    , versions(versions)
    , control(control)
{}

Awaitable<http::Response> AdminApi::handle(http::Request request)
{
    const std::string target(request.target());
    if (const auto name = after(target, sectionsPath); name && request.method() == Verb::post) {
        auto response = co_await this->apply(*name, std::move(request));
        co_return response;
    }
    if (const auto name = after(target, wavesPath); name && request.method() == Verb::post) {
        auto response = co_await this->setWave(*name, std::move(request));
        co_return response;
    }
    if (request.method() != Verb::get)
        co_return http::textResponse(Status::method_not_allowed, "only GET\n");
    if (const auto id = after(target, operationsPath)) {
        auto response = co_await this->operation(*id);
        co_return response;
    }
    if (const auto revision = after(target, historyPath)) {
        auto response = co_await this->history(*revision);
        co_return response;
    }
    if (target == "/v1/waves") {
        auto response = co_await this->waves();
        co_return response;
    }
    if (const auto id = after(target, requestsPath))
        co_return this->explain(*id);
    if (const auto name = after(target, sectionsPath))
        co_return this->section(*name);
    if (target == "/healthz")
        co_return this->healthz();
    if (target == "/metrics")
        co_return this->metrics();
    if (target == "/v1/status")
        co_return this->status();
    if (target == "/v1/upstreams")
        co_return this->upstreams();
    if (target == "/v1/document")
        co_return this->document();
    co_return http::textResponse(Status::not_found, "no such page\n");
}

http::Response AdminApi::healthz() const
{
    const auto health = this->control.health();
    const auto status = health.isHealthy ? Status::ok : Status::service_unavailable;
    return http::textResponse(status, health.reason + "\n");
}

http::Response AdminApi::status() const
{
    const auto now = std::chrono::steady_clock::now();
    auto peers = Json::array();
    Json live;
    bool isCutOff = false;
    this->parts.membership.locked([&](policy::Membership &membership) {
        for (const auto &peer : this->settings.peers) {
            const auto state = membership.peer(peer.name);
            peers.push_back({{"name", peer.name},
                             {"revision", state ? state->revision : 0},
                             {"incarnation", state ? state->incarnation : 0}});
        }
        live = membership.live(now);
        isCutOff = membership.cutOff(now);
    });
    auto pools = Json::array();
    const auto poolStatus = this->parts.dispatcher.locked(
        [&](policy::Dispatcher &dispatcher) { return dispatcher.poolStatus(now); });
    for (const auto &pool : poolStatus)
        pools.push_back({{"name", pool.name},
                         {"waiting", pool.waiting},
                         {"inUse", pool.inUse},
                         {"allowed", pool.allowed},
                         {"slots", pool.slots}});
    auto teams = Json::array();
    const auto teamStatus = this->parts.dispatcher.locked(
        [&](policy::Dispatcher &dispatcher) { return dispatcher.teamStatus(now); });
    for (const auto &team : teamStatus)
        teams.push_back({{"name", team.name},
                         {"waiting", team.waiting},
                         {"inUse", team.inUse},
                         {"allowed", team.allowed},
                         {"quota", team.quota}});
    const auto health = this->control.health();
    return http::jsonResponse(Status::ok, {{"entry", this->settings.name},
                                           {"incarnation", this->parts.incarnation},
                                           {"version", SASSAFRASFERRY_VERSION},
                                           {"dataCentre", this->settings.dataCentre},
                                           {"revision", this->versions.current()->texts.revision},
                                           {"healthy", health.isHealthy},
                                           {"health", health.reason},
                                           {"storeReachable", this->control.storeReachable()},
                                           {"holdsLease", this->control.holdsLease()},
                                           {"leaseEpoch", this->control.leaseEpoch()},
                                           {"live", live},
                                           {"cutOff", isCutOff},
                                           {"peers", peers},
                                           {"pools", pools},
                                           {"teams", teams}});
}

http::Response AdminApi::upstreams() const
{
    const auto workers = this->parts.dispatcher.locked([](policy::Dispatcher &dispatcher) {
        return dispatcher.workerStatus(std::chrono::steady_clock::now());
    });
    auto list = Json::array();
    for (const auto &worker : workers)
        list.push_back({{"name", worker.name},
                        {"pool", worker.pool},
                        {"inUse", worker.inUse},
                        {"allowed", worker.allowed},
                        {"health", std::string(model::nameOf(worker.health))},
                        {"leaving", std::string(model::nameOf(worker.leaving))}});
    return http::jsonResponse(Status::ok, {{"workers", list}});
}

http::Response AdminApi::explain(const std::string &requestId) const
{
    const auto lines = this->parts.log.linesOf(requestId);
    const auto status = lines.empty() ? Status::not_found : Status::ok;
    return http::jsonResponse(status, {{"entry", this->settings.name}, {"lines", lines}});
}

} // namespace sassafrasferry::entry
