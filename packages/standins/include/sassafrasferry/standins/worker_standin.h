// A stand-in for a worker: slots, connections, start deadlines, kept answers, fault switches.
#pragma once

#include <sassafrasferry/http/types.h>
#include <sassafrasferry/model/settings.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sassafrasferry::standins {

/// One worker's size.
struct WorkerOptions
{
    std::string name;
    std::size_t slots = 8;
    std::size_t connections = 64;
    std::chrono::milliseconds runTime{100}; ///< unless the target says `run-ms=N`
};

/// Fault switches.
struct WorkerFaults
{
    bool fail = false; ///< every run fails at once
    bool half = false; ///< answers break off in the middle
    bool twice = false; ///< answers are sent twice
    bool silent = false; ///< runs, and never answers
    bool leaving = false; ///< refuses new work and says that it is leaving
    bool refuse = false; ///< refuses as if it were full
};

/// What a worker knows of one operation.
struct RunRecord
{
    std::string idempotencyKey;
    bool isDone = false;
    int status = 0;
    std::string body;
};

/// A worker. Kept alive by its sessions.
class WorkerStandin : public std::enable_shared_from_this<WorkerStandin>
{
public:
    WorkerStandin(boost::asio::io_context &context, WorkerOptions options);

    /// Binds and starts serving; port 0 takes a free one. The endpoint, or port 0 on failure.
    model::Endpoint listen(const model::Endpoint &endpoint);

    WorkerFaults faults;

    /// Runs that were started, by operation id.
    const std::map<std::string, RunRecord> &runs() const;
    std::size_t busy() const;
    /// The most slots that were ever busy at once.
    std::size_t mostBusy() const;
    std::size_t refusals() const;

private:
    struct Session;

    http::Awaitable<void> acceptLoop();
    http::Awaitable<void> serve(std::shared_ptr<Session> session);
    http::Awaitable<http::Response> handle(std::shared_ptr<Session> session,
                                           const http::Request &request);
    http::Awaitable<http::Response> run(std::shared_ptr<Session> session,
                                        const http::Request &request);
    http::Response tellRun(const std::string &operationId);
    http::Response tellAll();
    http::Response setFaults(const http::Request &request);
    http::Response refusal(const char *why, bool isLeaving);
    void addClock(http::Response &response) const;

    boost::asio::io_context &context;
    WorkerOptions options;
    http::Tcp::acceptor acceptor;
    std::int64_t startedAt; // Unix milliseconds
    std::map<std::string, RunRecord> records;
    std::size_t busySlots = 0;
    std::size_t busyHighest = 0;
    std::size_t openSessions = 0;
    std::size_t refused = 0;
};

} // namespace sassafrasferry::standins
