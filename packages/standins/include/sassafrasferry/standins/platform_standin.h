// A stand-in for the platform: table service, object store, delayed list of leaving VMs, VM
// maintenance and injected faults.
#pragma once

#include <sassafrasferry/fakes/memory_tables.h>
#include <sassafrasferry/fleet/vm_control.h>
#include <sassafrasferry/http/server.h>

#include <deque>
#include <map>
#include <set>

namespace sassafrasferry::standins {

using http::Awaitable;

/// Rate limits and delays of the stand-in.
struct PlatformOptions
{
    double writesPerSecond = 400; ///< transactions; calls above the rate are delayed
    double readsPerSecond = 2000;
    std::chrono::milliseconds listLag{2000}; ///< delay until a change shows in the VM list
    std::chrono::milliseconds drainTime{500}; ///< from the drain order until the VM is empty
    std::chrono::milliseconds maintenanceTime{1000};
};

/// Serves the platform's protocols; runs on one executor.
class PlatformStandin
{
public:
    PlatformStandin(http::asio::any_io_executor executor, PlatformOptions options);

    /// Handles one request of the platform's protocols, or one under `/standin/` that injects
    /// faults.
    Awaitable<http::Response> handle(http::Request request);

private:
    using Clock = std::chrono::steady_clock;

    // Delays calls above a rate.
    struct RateLimit
    {
        Clock::time_point next{};
    };
    struct ListChange
    {
        Clock::time_point visibleAt{};
        std::string vm;
        bool isLeaving = false;
    };

    // A VM whose maintenance the platform carries out.
    struct ManagedVm
    {
        fleet::VmReport report;
        std::int64_t maintenanceOrder = 0; // number of the last accepted maintain order
        Clock::time_point phaseEnd{}; // end of the current phase, if it is a timed one
        bool failsAfterMaintenance = false;
        int maintenanceCount = 0;
    };

    Awaitable<void> waitUntil(Clock::time_point at);
    Awaitable<void> throttle(RateLimit &limit, double perSecond);
    Awaitable<http::Response> transact(http::Request request);
    http::Response read(const http::Request &request);
    http::Response scan(const http::Request &request);
    http::Response handleObject(const std::string &name, const http::Request &request);
    http::Response listLeavingVms();
    http::Response setFaults(const http::Request &request);
    http::Response setVmState(const http::Request &request);
    http::Response handleVm(const std::string &path, const http::Request &request);
    void advancePhase(ManagedVm &vm) const;
    void applyOrder(ManagedVm &vm, const std::string &what, std::int64_t number);

    http::asio::any_io_executor executor;
    PlatformOptions options;
    fakes::MemoryTables tables;
    std::map<std::string, std::string> storedObjects; // contents by name
    std::deque<ListChange> listChanges; // changes that the list does not show yet, oldest first
    std::set<std::string> leavingVms; // VMs that the list shows
    std::map<std::string, ManagedVm> vms;
    std::chrono::milliseconds faultDelay{0}; // injected into every call
    RateLimit writes;
    RateLimit reads;
};

} // namespace sassafrasferry::standins
