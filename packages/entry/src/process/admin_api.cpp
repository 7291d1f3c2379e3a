// Dispatches administration requests and answers the pages about the entry VM itself.
#include "admin_api.h"

#include <sassafrasferry/http/json.h>

namespace sassafrasferry::entry {

namespace {

using http::Json;
using http::Status;

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
    const std::string path(request.target());
    const auto target = parseAdminTarget(request.method(), path);
    // These pages query the store. Each response goes through a local variable because g++ 12
    // destroys the temporaries of `co_return co_await ...` twice.
    if (target.page == AdminPage::Apply) {
        auto response = co_await this->apply(target.name, std::move(request));
        co_return response;
    }
    if (target.page == AdminPage::SetWave) {
        auto response = co_await this->setWave(target.name, std::move(request));
        co_return response;
    }
    if (target.page == AdminPage::Operation) {
        auto response = co_await this->operation(target.name);
        co_return response;
    }
    if (target.page == AdminPage::History) {
        auto response = co_await this->history(target.name);
        co_return response;
    }
    if (target.page == AdminPage::Waves) {
        auto response = co_await this->waves();
        co_return response;
    }
    co_return this->localPage(target);
}

http::Response AdminApi::localPage(const AdminTarget &target) const
{
    switch (target.page) {
    case AdminPage::Health:
        return this->healthz();
    case AdminPage::Metrics:
        return this->metrics();
    case AdminPage::Status:
        return this->status();
    case AdminPage::Upstreams:
        return this->upstreams();
    case AdminPage::Explain:
        return this->explain(target.name);
    case AdminPage::Document:
        return this->document();
    case AdminPage::Section:
        return this->section(target.name);
    case AdminPage::WrongMethod:
        return http::textResponse(Status::method_not_allowed, "not with this method\n");
    case AdminPage::BadName:
        return http::textResponse(Status::bad_request, "a name must be printable ASCII\n");
    case AdminPage::Apply:
    case AdminPage::Operation:
    case AdminPage::History:
    case AdminPage::Waves:
    case AdminPage::SetWave:
    case AdminPage::Missing:
        break;
    }
    return http::textResponse(Status::not_found, "no such page\n");
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
                             {"fleetVersion", state ? state->fleetVersion : 0},
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
                                           {"fleetVersion", this->control.fleetVersion()},
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
