// A stand-in for the platform: table service, object store, lagging VM list, fault switches.
#pragma once

#include <sassafrasferry/fakes/memory_tables.h>
#include <sassafrasferry/fleet/vm_control.h>
#include <sassafrasferry/http/server.h>

#include <deque>
#include <map>
#include <set>

namespace sassafrasferry::standins {

using http::Awaitable;

/// Limits and lags of the stand-in.
struct PlatformOptions
{
    double writesPerSecond = 400; ///< transactions; more wait their turn
    double readsPerSecond = 2000;
    std::chrono::milliseconds listLag{2000}; ///< how late the VM list is
    std::chrono::milliseconds drain{500}; ///< until a drained VM is empty
    std::chrono::milliseconds maintenance{1000};
};

/// Serves the platform's protocols on one executor.
class PlatformStandin
{
public:
    PlatformStandin(http::asio::any_io_executor executor, PlatformOptions options);

    /// Handles one request of the platform's protocols, or of `/standin/`.
    Awaitable<http::Response> handle(http::Request request);

private:
    using Clock = std::chrono::steady_clock;

    // A rate limit: calls beyond it wait.
    struct Pace
    {
        Clock::time_point next{};
    };
    struct ListChange
    {
        Clock::time_point visibleAt{};
        std::string vm;
        bool isLeaving = false;
    };

    // A VM under the platform's care.
    struct ManagedVm
    {
        fleet::VmReport report;
        std::int64_t underWay = 0; // the maintain order being carried out
        Clock::time_point until{}; // of the present phase
        bool comesBackFailing = false;
        int maintained = 0;
    };

    Awaitable<void> waitUntil(Clock::time_point at);
    Awaitable<void> pace(Pace &pace, double perSecond);
    Awaitable<http::Response> transact(http::Request request);
    http::Response read(const http::Request &request);
    http::Response scan(const http::Request &request);
    http::Response objects(const std::string &name, const http::Request &request);
    http::Response list();
    http::Response setFaults(const http::Request &request);
    http::Response setVm(const http::Request &request);
    http::Response vm(const std::string &path, const http::Request &request);
    void passTime(ManagedVm &vm) const;
    void order(ManagedVm &vm, const std::string &what, std::int64_t number);

    http::asio::any_io_executor executor;
    PlatformOptions options;
    fakes::MemoryTables tables;
    std::map<std::string, std::string> stored; // objects by name
    std::deque<ListChange> listChanges; // not visible yet, in order
    std::set<std::string> leaving; // VMs that the list names now
    std::map<std::string, ManagedVm> managed;
    std::chrono::milliseconds delay{0}; // fault: every call takes this much longer
    Pace writes;
    Pace reads;
};

} // namespace sassafrasferry::standins
