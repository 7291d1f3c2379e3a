// Gives the requests of one traffic thread access to the dispatcher, the workers and the store.
#pragma once

#include "../process/control_store.h"
#include "../process/decision_log.h"
#include "../process/in_flight_requests.h"
#include "../process/metrics.h"
#include "../process/shared_dispatcher.h"
#include "../process/shared_membership.h"
#include "../request/environment.h"
#include "upstream_pool.h"

namespace sassafrasferry::entry {

/// Components of the process that all traffic threads share.
struct ProcessParts
{
    std::string entryName;
    std::uint64_t incarnation = 0;
    std::string incarnationName; ///< entry name and incarnation, the prefix of unique IDs
    SharedDispatcher &dispatcher;
    SharedMembership &membership;
    ControlStore &store;
    DecisionLog &log;
    Metrics &metrics;
    InFlightRequests inFlight{};
    std::atomic<std::uint64_t> lastId{0}; ///< last ID given to a request or operation
    std::atomic<std::size_t> pendingFollowUps{0}; ///< claims being settled in the background
};

/// Implements `RequestEnvironment` for one traffic thread.
class TrafficEnvironment
{
public:
    TrafficEnvironment(http::asio::any_io_executor executor, ProcessParts &parts,
                       std::size_t idleConnections);

    policy::Instant now() const;
    policy::UnixMilliseconds unixNow() const;
    Awaitable<void> pause(policy::Duration duration);
    std::string entryName() const;
    std::uint64_t incarnation() const;
    std::string newOperationId();
    void reached(const CallerRequest &request, RequestStep step);

    Awaitable<SlotResult> slot(policy::Submission submission, Cancellation &cancellation);
    void finish(const policy::RunReport &report);
    bool jobFailed(policy::JobFingerprint job, policy::Index worker);
    bool takeRetry(const std::string &service);
    policy::Duration retryAfter(const std::string &service);

    Awaitable<SendResult> send(const policy::Grant &grant, const CallerRequest &request,
                               SendOptions options, Cancellation &cancellation);
    Awaitable<policy::WorkerWord> queryWorker(std::string address, std::string operationId);

    Awaitable<absl::StatusOr<store::VersionedClaim>> readClaim(std::string key);
    Awaitable<store::WriteResult> writeClaim(policy::Claim claim, std::int64_t version);
    Awaitable<absl::Status> putObject(std::string name, std::string body);
    Awaitable<absl::StatusOr<std::string>> getObject(std::string name);

    void setActive(const std::string &operationId, bool isActive);
    bool isPossiblyActive(const policy::Claim &claim);
    void scheduleFollowUp(policy::Claim claim, std::int64_t version, ClaimFollowUp followUp);

    ProcessParts &process();
    http::asio::any_io_executor executor() const;

private:
    // Returns a function that aborts an exchange from any thread and sets `isPreempted`.
    std::function<void()> preemptionHandler(std::shared_ptr<http::Abort> abort,
                                            std::shared_ptr<bool> isPreempted);

    http::asio::any_io_executor ownExecutor;
    ProcessParts &parts;
    UpstreamPool upstreams;
};

static_assert(RequestEnvironment<TrafficEnvironment>);

} // namespace sassafrasferry::entry
