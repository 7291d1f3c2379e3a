// The process of an entry VM: its threads, its servers, and its graceful stop.
#pragma once

#include "admin_api.h"
#include "control.h"

#include <sassafrasferry/http/server.h>

#include <memory>
#include <thread>
#include <vector>

namespace sassafrasferry::entry {

/// Exit codes of `sassafrasferryd`.
namespace exit_code {
constexpr int ok = 0;
constexpr int usage = 2; ///< invalid command line or settings
constexpr int interrupted = 3; ///< the stop deadline or a second signal cut off requests
constexpr int bindFailed = 4; ///< an address could not be bound
} // namespace exit_code

/// Runs an entry VM until a signal requests a stop.
class Daemon
{
public:
    explicit Daemon(model::Settings settings);
    ~Daemon();

    /// Returns the exit code.
    int run();

private:
    struct TrafficThread;

    absl::Status start();
    Awaitable<void> waitForSignals();
    Awaitable<void> stop();
    void recordInterruption(const char *why);
    bool isIdle() const;

    model::Settings settings;
    boost::asio::io_context controlContext;
    std::uint64_t incarnation;
    std::string incarnationName;
    SharedDispatcher dispatcher;
    SharedMembership membership;
    ControlStore store;
    DecisionLog log;
    Metrics metrics;
    ProcessParts parts;
    VersionHolder versions;
    // Declared after the members that requests refer to: requests interrupted by a stop are
    // destroyed together with their traffic thread.
    std::vector<std::unique_ptr<TrafficThread>> traffic;
    std::unique_ptr<Control> control;
    std::unique_ptr<AdminApi> admin;
    std::shared_ptr<http::Server> adminServer;
    std::shared_ptr<http::Server> callerServer;
    int exitCode = exit_code::ok;
};

} // namespace sassafrasferry::entry
