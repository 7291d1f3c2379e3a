// Administration pages for maintenance waves.
#include "admin_api.h"

#include <sassafrasferry/http/clock.h>
#include <sassafrasferry/http/json.h>

#include <algorithm>

namespace sassafrasferry::entry {

namespace {

using http::Json;
using http::Status;

// Describes a wave: its progress in each pool and the next step that the planner would take.
Json waveJson(const model::Wave &wave, const fleet::WaveRow &row, const fleet::FleetRows &rows,
              const fleet::FleetView &view)
{
    auto pools = Json::array();
    for (const auto &name : wave.pools) {
        const auto *pool = view.document.pool(name);
        if (!pool)
            continue;
        const auto state = fleet::poolView(*pool, wave, row, rows, view);
        const auto budget = policy::budgetOf(state.vms.size(), state.availability, state.borrowed);
        Json counts;
        for (const auto &name : enumNames(policy::WaveVmState{}))
            counts[std::string(name.name)] = 0;
        for (const auto &vm : state.vms)
            counts[std::string(model::nameOf(vm.state))] =
                counts[std::string(model::nameOf(vm.state))].get<int>() + 1;
        const auto step = policy::planWave(state);
        const auto pending = counts["pending"].get<std::size_t>();
        const auto atOnce = std::max<std::size_t>(1, budget.mayBeOut());
        const auto rounds = (pending + atOnce - 1) / atOnce;
        pools.push_back(
            {{"name", name},
             {"vms", counts},
             {"mayBeOut", budget.mayBeOut()},
             {"borrowed", state.borrowed},
             {"next", step.reason},
             {"forecastMs", rounds * static_cast<std::size_t>(wave.maintenance.count())}});
    }
    return {{"name", wave.name},
            {"state", std::string(model::nameOf(row.state))},
            {"reason", row.reason},
            {"startedAt", row.startedAt},
            {"pools", pools}};
}

} // namespace

Awaitable<http::Response> AdminApi::waves()
{
    const auto rows = co_await this->control.fleetRows();
    if (!rows.ok())
        co_return http::textResponse(Status::service_unavailable,
                                     std::string(rows.status().message()) + "\n");
    const auto view = this->control.fleetView();
    auto list = Json::array();
    for (const auto &wave : view.document.waves) {
        fleet::WaveRow row{wave.name, fleet::WaveState::Halted, "not started", {}, 0, 0};
        for (const auto &item : rows->waves) {
            if (item.name == wave.name)
                row = item;
        }
        list.push_back(waveJson(wave, row, *rows, view));
    }
    auto vms = Json::array();
    for (const auto &vm : rows->vms)
        vms.push_back({{"name", vm.name},
                       {"pool", vm.pool},
                       {"target", vm.target},
                       {"home", vm.home},
                       {"purpose", vm.wave.empty() ? "demand" : "wave " + vm.wave},
                       {"state", std::string(model::nameOf(vm.state))}});
    co_return http::jsonResponse(Status::ok, {{"waves", list}, {"vms", vms}});
}

Awaitable<http::Response> AdminApi::setWave(std::string name, http::Request request)
{
    const auto order = parseWaveOrder(request.body());
    if (!order.ok())
        co_return http::textResponse(Status::bad_request,
                                     std::string(order.status().message()) + "\n");
    const auto &document = this->versions.current()->document;
    const auto wave = std::find_if(document.waves.begin(), document.waves.end(),
                                   [&](const model::Wave &item) { return item.name == name; });
    if (wave == document.waves.end())
        co_return http::textResponse(Status::not_found, "no such wave\n");
    if (!store::isOwner(document, wave->section, order->token))
        co_return http::textResponse(Status::forbidden, "not this team's wave\n");
    const auto rows = co_await this->control.fleetRows();
    if (!rows.ok())
        co_return http::textResponse(Status::service_unavailable, "the store is down\n");
    fleet::WaveRow row{name, fleet::WaveState::Running, "", {}, 0, store::absent};
    for (const auto &item : rows->waves) {
        if (item.name == name)
            row = item;
    }
    if (order->action == WaveAction::Start) {
        row.done.clear();
        row.startedAt = http::unixNow();
    }
    const bool isHalt = order->action == WaveAction::Halt;
    row.state = isHalt ? fleet::WaveState::Halted : fleet::WaveState::Running;
    row.reason = isHalt ? "halted by an operator" : "";
    const auto commit = co_await this->control.setWave(row);
    this->parts.log.write(
        {"wave-" + std::string(model::nameOf(order->action)), "", {{"wave", name}}});
    switch (commit.state) {
    case store::CommitState::Committed:
        co_return http::jsonResponse(Status::ok, {{"state", "accepted"}});
    case store::CommitState::Conflict:
        co_return http::jsonResponse(Status::conflict, {{"state", "conflict"}});
    case store::CommitState::NotApplied:
    case store::CommitState::Rejected:
        co_return http::jsonResponse(Status::service_unavailable, {{"state", "unavailable"}});
    case store::CommitState::Unknown:
        break;
    }
    co_return http::jsonResponse(Status::bad_gateway, {{"state", "unknown"}});
}

} // namespace sassafrasferry::entry
