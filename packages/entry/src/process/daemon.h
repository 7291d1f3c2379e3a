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
constexpr int usage = 2; ///< the command line or the settings are faulty
constexpr int cut = 3; ///< the stop deadline cut off requests in flight
constexpr int failed = 4; ///< an address could not be bound
} // namespace exit_code

/// Runs an entry VM until it is told to stop.
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
    void noteCut(const char *why);
    bool isDone() const;

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
    // After what requests refer to: those that a stop cuts off end when this does.
    std::vector<std::unique_ptr<TrafficThread>> traffic;
    std::unique_ptr<Control> control;
    std::unique_ptr<AdminApi> admin;
    std::shared_ptr<http::Server> adminServer;
    std::shared_ptr<http::Server> callerServer;
    int exitCode = exit_code::ok;
};

} // namespace sassafrasferry::entry
