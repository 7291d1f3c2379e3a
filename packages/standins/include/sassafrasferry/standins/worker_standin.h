// A stand-in for a worker: limits slots and connections, checks start deadlines, records the
// results of runs and injects faults.
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

/// Name and limits of one worker.
struct WorkerOptions
{
    std::string name;
    std::size_t slots = 8;
    std::size_t connections = 64;
    std::chrono::milliseconds runTime{100}; ///< of requests whose target has no `run-ms=N`
};

/// Faults to inject.
struct WorkerFaults
{
    bool failRuns = false; ///< every run fails immediately with status 500
    bool truncateAnswers = false; ///< the connection closes before the last byte of each answer
    bool duplicateAnswers = false; ///< each answer is sent twice
    bool dropAnswers = false; ///< requests run, but get no answer
    bool isLeaving = false; ///< refuses requests with the header that says the worker is leaving
    bool refuseRequests = false; ///< refuses requests as if no slot were free
};

/// State and result of one operation.
struct RunRecord
{
    std::string idempotencyKey;
    bool isDone = false;
    int status = 0;
    std::string body;
};

/// One worker; its sessions keep it alive.
class WorkerStandin : public std::enable_shared_from_this<WorkerStandin>
{
public:
    WorkerStandin(boost::asio::io_context &context, WorkerOptions options);

    /// Binds and starts serving; port 0 picks a free port. Returns the bound endpoint, with port 0
    /// on failure.
    model::Endpoint listen(const model::Endpoint &endpoint);

    WorkerFaults faults;

    /// Started runs by operation id.
    const std::map<std::string, RunRecord> &runs() const;
    std::size_t busy() const;
    /// The highest number of slots that were busy at the same time.
    std::size_t maxBusy() const;
    std::size_t refusals() const;

private:
    struct Session;

    http::Awaitable<void> acceptLoop();
    http::Awaitable<void> serve(std::shared_ptr<Session> session);
    http::Awaitable<http::Response> handle(std::shared_ptr<Session> session,
                                           const http::Request &request);
    http::Awaitable<http::Response> run(std::shared_ptr<Session> session,
                                        const http::Request &request);
    http::Response runResponse(const std::string &operationId);
    http::Response allRunsResponse();
    http::Response setFaults(const http::Request &request);
    http::Response refuse(const char *why, bool isLeaving);
    void addClock(http::Response &response) const;

    boost::asio::io_context &context;
    WorkerOptions options;
    http::Tcp::acceptor acceptor;
    std::int64_t startedAt; // Unix milliseconds
    std::map<std::string, RunRecord> records;
    std::size_t busySlots = 0;
    std::size_t maxBusySlots = 0;
    std::size_t openSessions = 0;
    std::size_t refusalCount = 0;
};

} // namespace sassafrasferry::standins
