// Routes and bodies of the administration API.
#include "admin_api.h"

#include <sassafrasferry/http/json.h>

#include <fstream>

#include <absl/strings/numbers.h>

#include <unistd.h>

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

Status statusOf(platform::ChangeState state)
{
    switch (state) {
    case platform::ChangeState::Accepted:
        return Status::ok;
    case platform::ChangeState::Refused:
        return Status::unprocessable_entity;
    case platform::ChangeState::Conflict:
        return Status::conflict;
    case platform::ChangeState::Forbidden:
        return Status::forbidden;
    case platform::ChangeState::Unavailable:
        return Status::service_unavailable;
    case platform::ChangeState::Unknown:
        return Status::bad_gateway;
    }
    return Status::internal_server_error;
}

Json toJson(const model::Findings &findings)
{
    auto list = Json::array();
    for (const auto &finding : findings)
        list.push_back({{"file", finding.place.file},
                        {"line", finding.place.line},
                        {"column", finding.place.column},
                        {"keyPath", finding.keyPath},
                        {"message", finding.message}});
    return list;
}

std::string_view healthName(policy::WorkerHealth::State state)
{
    switch (state) {
    case policy::WorkerHealth::State::Fit:
        return "fit";
    case policy::WorkerHealth::State::Ejected:
        return "ejected";
    case policy::WorkerHealth::State::Probing:
        return "probing";
    }
    return "?";
}

double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double processorSeconds(clockid_t clock)
{
    timespec spent{};
    clock_gettime(clock, &spent);
    constexpr double nanoseconds = 1e-9;
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * nanoseconds;
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

http::Response AdminApi::metrics() const
{
    const auto &link = this->control.link();
    const auto gauge = [](const char *name, const char *help, double value) {
        return Reading{name, help, "", "", value, false};
    };
    const auto counter = [](const char *name, const char *help, double value) {
        return Reading{name, help, "", "", value, true};
    };
    std::vector<Reading> readings{
        gauge("sassafrasferry_revision", "Document revision in force.",
              static_cast<double>(this->versions.current()->texts.revision)),
        gauge("sassafrasferry_resident_bytes", "Resident memory of the process.", residentBytes()),
        counter("sassafrasferry_control_cpu_seconds_total", "Processor time of the control thread.",
                processorSeconds(CLOCK_THREAD_CPUTIME_ID)),
        counter("sassafrasferry_cpu_seconds_total", "Processor time of the process.",
                processorSeconds(CLOCK_PROCESS_CPUTIME_ID)),
        counter("sassafrasferry_peer_sent_bytes_total", "Bytes of messages sent to peers.",
                static_cast<double>(link.sent().bytes)),
        counter("sassafrasferry_peer_sent_messages_total", "Messages sent to peers.",
                static_cast<double>(link.sent().messages)),
        counter("sassafrasferry_peer_received_bytes_total",
                "Bytes of messages received from peers.",
                static_cast<double>(link.received().bytes)),
        counter("sassafrasferry_platform_sent_bytes_total",
                "Bytes sent to the platform's table service and VM list.",
                static_cast<double>(this->control.platformTraffic().sent)),
        counter("sassafrasferry_platform_received_bytes_total",
                "Bytes received from the platform's table service and VM list.",
                static_cast<double>(this->control.platformTraffic().received)),
        counter("sassafrasferry_claim_transactions_total",
                "Store transactions that carried claims.",
                static_cast<double>(this->parts.store.transactions())),
        gauge("sassafrasferry_claims_left_over",
              "Claims being finished after their request was answered.",
              static_cast<double>(this->parts.leftOvers))};
    const auto pools = this->parts.dispatcher.locked([](policy::Dispatcher &dispatcher) {
        return dispatcher.poolStatus(std::chrono::steady_clock::now());
    });
    for (const auto &pool : pools)
        readings.push_back({"sassafrasferry_pool_waiting", "Requests that wait, by pool.", "pool",
                            pool.name, static_cast<double>(pool.waiting), false});
    for (const auto &pool : pools)
        readings.push_back({"sassafrasferry_pool_in_use", "Slots in use by this entry VM.", "pool",
                            pool.name, static_cast<double>(pool.inUse), false});
    return http::textResponse(Status::ok, this->parts.metrics.exposition(readings));
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
                                           {"pools", pools}});
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
                        {"health", std::string(healthName(worker.health))},
                        {"leaving", std::string(model::nameOf(worker.leaving))}});
    return http::jsonResponse(Status::ok, {{"workers", list}});
}

http::Response AdminApi::explain(const std::string &requestId) const
{
    const auto lines = this->parts.log.linesOf(requestId);
    const auto status = lines.empty() ? Status::not_found : Status::ok;
    return http::jsonResponse(status, {{"entry", this->settings.name}, {"lines", lines}});
}

http::Response AdminApi::document() const
{
    const auto version = this->versions.current();
    auto sections = Json::array();
    for (const auto &section : version->texts.sections)
        sections.push_back({{"name", section.name},
                            {"revision", section.revision},
                            {"team", version->document.section(section.name)->team},
                            {"text", section.text}});
    return http::jsonResponse(Status::ok,
                              {{"revision", version->texts.revision}, {"sections", sections}});
}

http::Response AdminApi::section(const std::string &name) const
{
    const auto version = this->versions.current();
    const auto *section = version->texts.section(name);
    if (!section)
        return http::jsonResponse(Status::not_found, {{"name", name}, {"revision", 0}});
    return http::jsonResponse(
        Status::ok, {{"name", name}, {"revision", section->revision}, {"text", section->text}});
}

Awaitable<http::Response> AdminApi::apply(std::string section, http::Request request)
{
    platform::SectionChange change;
    change.section = section;
    try {
        const auto body = http::parseJson(request.body());
        body.at("text").get_to(change.text);
        body.at("baseRevision").get_to(change.baseRevision);
        body.at("operationId").get_to(change.operationId);
        body.at("token").get_to(change.token);
    } catch (const Json::exception &error) {
        co_return http::textResponse(Status::bad_request, std::string(error.what()) + "\n");
    }
    const auto operationId = change.operationId;
    const auto result = co_await this->control.apply(std::move(change));
    this->parts.log.write({"apply",
                           operationId,
                           {{"section", section},
                            {"state", std::string(model::nameOf(result.state))},
                            {"revision", std::to_string(result.revision)},
                            {"findings", std::to_string(result.findings.size())}}});
    co_return http::jsonResponse(statusOf(result.state),
                                 {{"state", std::string(model::nameOf(result.state))},
                                  {"revision", result.revision},
                                  {"operationId", operationId},
                                  {"findings", toJson(result.findings)},
                                  {"currentText", result.currentText}});
}

Awaitable<http::Response> AdminApi::operation(std::string operationId)
{
    const auto revision = co_await this->control.operation(operationId);
    if (!revision.ok())
        co_return http::textResponse(Status::service_unavailable,
                                     std::string(revision.status().message()) + "\n");
    co_return http::jsonResponse(Status::ok,
                                 {{"operationId", operationId}, {"revision", *revision}});
}

Awaitable<http::Response> AdminApi::history(std::string afterText)
{
    std::int64_t revision = 0;
    if (!absl::SimpleAtoi(afterText, &revision))
        co_return http::textResponse(Status::bad_request, "not a revision\n");
    const auto entries = co_await this->control.history(revision);
    if (!entries.ok())
        co_return http::textResponse(Status::service_unavailable,
                                     std::string(entries.status().message()) + "\n");
    auto list = Json::array();
    for (const auto &entry : *entries)
        list.push_back({{"revision", entry.revision},
                        {"section", entry.section},
                        {"team", entry.team},
                        {"operationId", entry.operationId}});
    co_return http::jsonResponse(Status::ok, {{"history", list}});
}

} // namespace sassafrasferry::entry
