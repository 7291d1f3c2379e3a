// Commands on the fleet.
#include "fleet_commands.h"

#include "exit_code.h"

#include <iomanip>
#include <iostream>

namespace sassafrasferry::cli {

namespace {

constexpr unsigned okStatus = 200;
constexpr int nameWidth = 20;

int printError(const absl::Status &status)
{
    std::cerr << status.message() << "\n";
    return exit_code::unavailable;
}

} // namespace

int status(AdminClient &client)
{
    const auto answer = client.get("/v1/status");
    if (!answer.ok())
        return printError(answer.status());
    const auto &body = answer->body;
    std::cout << "entry " << body.value("entry", "") << " in " << body.value("dataCentre", "")
              << ", revision " << body.value("revision", 0) << ", fleet rows "
              << body.value("fleetVersion", std::int64_t{0}) << ", "
              << (body.value("healthy", false) ? "healthy" : "not healthy") << " ("
              << body.value("health", "") << "), store "
              << (body.value("storeReachable", false) ? "reachable" : "not reachable")
              << (body.value("holdsLease", false) ? ", holds the control lease" : "")
              << (body.value("cutOff", false) ? ", cut off from its peers" : "") << "\n";
    for (const auto &peer : body["peers"]) {
        const std::vector<std::string> live = body["live"];
        const auto name = peer.value("name", "");
        const bool isLive = std::find(live.begin(), live.end(), name) != live.end();
        std::cout << "peer " << std::left << std::setw(nameWidth) << name << " revision "
                  << peer.value("revision", 0) << ", fleet rows "
                  << peer.value("fleetVersion", std::int64_t{0}) << (isLive ? "" : ", not live")
                  << "\n";
    }
    for (const auto &pool : body["pools"])
        std::cout << "pool " << std::left << std::setw(nameWidth) << pool.value("name", "")
                  << " waiting " << pool.value("waiting", 0) << ", slots in use "
                  << pool.value("inUse", 0) << " of " << pool.value("allowed", 0) << " here and "
                  << pool.value("slots", 0) << " in all\n";
    for (const auto &team : body["teams"])
        std::cout << "team " << std::left << std::setw(nameWidth) << team.value("name", "")
                  << " waiting " << team.value("waiting", 0) << ", processors in use "
                  << team.value("inUse", 0) << " of " << team.value("allowed", 0) << " here and "
                  << team.value("quota", 0) << " in all\n";
    return exit_code::ok;
}

int upstreams(AdminClient &client)
{
    const auto answer = client.get("/v1/upstreams");
    if (!answer.ok())
        return printError(answer.status());
    for (const auto &worker : answer->body["workers"])
        std::cout << std::left << std::setw(nameWidth) << worker.value("name", "") << " pool "
                  << std::setw(nameWidth) << worker.value("pool", "") << " in use "
                  << worker.value("inUse", 0) << " of " << worker.value("allowed", 0) << ", "
                  << worker.value("health", "") << ", leaving: " << worker.value("leaving", "")
                  << "\n";
    return exit_code::ok;
}

int explain(AdminClient &client, const std::string &requestId)
{
    const auto answer = client.getFirstFound("/v1/requests/" + requestId);
    if (!answer.ok())
        return printError(answer.status());
    if (answer->status != okStatus) {
        std::cerr << "no entry VM has decisions recorded for request " << requestId << "\n";
        return exit_code::refused;
    }
    std::cout << "entry " << answer->body.value("entry", "") << "\n";
    for (const auto &line : answer->body["lines"])
        std::cout << "  " << line.get<std::string>() << "\n";
    return exit_code::ok;
}

int waves(AdminClient &client)
{
    const auto answer = client.get("/v1/waves");
    if (!answer.ok())
        return printError(answer.status());
    if (answer->status != okStatus)
        return printError(absl::UnavailableError("the store cannot be read"));
    for (const auto &wave : answer->body["waves"]) {
        std::cout << "wave " << wave.value("name", "") << ": " << wave.value("state", "");
        if (const auto reason = wave.value("reason", ""); !reason.empty())
            std::cout << " (" << reason << ")";
        std::cout << "\n";
        for (const auto &pool : wave["pools"]) {
            std::cout << "  pool " << pool.value("name", "") << ":";
            for (const auto &[state, count] : pool["vms"].items()) {
                if (count.get<int>() > 0)
                    std::cout << " " << count << " " << state;
            }
            std::cout << "; " << pool.value("mayBeOut", 0) << " may be out, "
                      << pool.value("borrowed", 0) << " borrowed; next: " << pool.value("next", "")
                      << "; about " << pool.value("forecastMs", std::int64_t{0}) / 1000
                      << " s left\n";
        }
    }
    for (const auto &vm : answer->body["vms"])
        std::cout << "vm " << vm.value("name", "") << " of pool " << vm.value("pool", "") << ": "
                  << vm.value("state", "")
                  << (vm.value("target", "").empty() ? "" : " to pool " + vm.value("target", ""))
                  << (vm.value("home", "").empty() ? ""
                                                   : " (lent by " + vm.value("home", "") + " for "
                                                         + vm.value("purpose", "") + ")")
                  << "\n";
    return exit_code::ok;
}

int setWave(AdminClient &client, const std::string &wave, const std::string &action,
            const std::string &token)
{
    const auto answer = client.post("/v1/waves/" + wave, {{"action", action}, {"token", token}});
    if (!answer.ok()) {
        std::cerr << answer.status().message() << "\n";
        return absl::IsUnknown(answer.status()) ? exit_code::unknown : exit_code::unavailable;
    }
    if (answer->status == okStatus) {
        std::cout << "accepted\n";
        return exit_code::ok;
    }
    std::cerr << (answer->body.is_object() ? answer->body.value("state", "refused")
                                           : answer->body.get<std::string>())
              << "\n";
    return exit_code::refused;
}

} // namespace sassafrasferry::cli
