// Generates an open-loop load of requests: each service surges in turn, requests go through all
// entry VMs, and the answers that the callers see are tallied.
#pragma once

#include <sassafrasferry/http/client.h>
#include <sassafrasferry/model/vocabulary.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace sassafrasferry::standins {

/// One service under load.
struct LoadService
{
    std::string name;
    model::RequestClass requestClass = model::RequestClass::Normal;
    /// The service is not idempotent: each request carries an idempotency key and is sent again if
    /// its outcome is unknown.
    bool usesIdempotencyKey = false;
};

/// The requests to generate.
struct LoadPlan
{
    std::vector<model::Endpoint> entries;
    /// Administration endpoints of the entry VMs, in the order of `entries`; if empty, all entry
    /// VMs count as healthy.
    std::vector<model::Endpoint> healthEndpoints;
    std::vector<LoadService> services;
    double meanRate = 100; ///< requests per second of each service outside its surge and lull
    double surgeFactor = 5; ///< multiplies the mean rate of one service at a time, in turn
    double lullFactor =
        0.05; ///< multiplies the mean rate of a service in the phase after its surge
    std::chrono::milliseconds phaseLength{5000};
    /// Mean run time; each request's run time lies between 0.5 and 1.5 times the mean.
    std::chrono::milliseconds runTime{100};
    std::chrono::milliseconds deadline{2000};
    double cancelledShare = 0; ///< share of requests whose caller soon disconnects
    std::uint64_t seed = 1;
};

/// Results of one request class, as its callers saw them.
struct ClassTally
{
    std::uint64_t offered = 0;
    std::uint64_t completed = 0; ///< completed before the deadline, at the first attempt
    std::uint64_t late = 0; ///< completed after the deadline or after a resend
    std::uint64_t refused = 0; ///< answered with the outcome "not-run"
    /// Requests without a key that were answered without an outcome, and keyed requests whose
    /// outcome was unknown after all resends.
    std::uint64_t unknown = 0;
    std::uint64_t unanswered = 0; ///< requests without a key that got no answer
    std::uint64_t foreignAnswers = 0; ///< answers that belong to another request
    std::vector<double> milliseconds; ///< latencies of all completed requests, late ones included
};

/// Results of a whole load.
struct LoadTally
{
    std::array<ClassTally, model::requestClassCount> classes;
    std::map<std::string, std::uint64_t> completedByService;
    std::uint64_t resent = 0; ///< resends of keyed requests whose outcome was unknown
    std::uint64_t unresolved = 0; ///< keyed requests whose outcome was unknown after all resends
    std::vector<std::string> completedKeys;
    std::vector<std::string> notRunKeys; ///< keys of requests whose last outcome was "not-run"
    /// Requests sent to a service during its surge that completed before the deadline.
    std::uint64_t completedInSurge = 0;
    std::uint64_t offeredOutsideSurge = 0; ///< requests to services outside their surge
    std::uint64_t completedOutsideSurge = 0; ///< those of them that completed before the deadline
};

/// Generates the load of one plan.
class LoadGenerator
{
public:
    LoadGenerator(http::asio::any_io_executor executor, LoadPlan plan);

    /// Runs the plan; returns when every request has been answered or given up.
    http::Awaitable<LoadTally> run();

private:
    using Clock = std::chrono::steady_clock;

    http::Awaitable<void> generateRequests(std::size_t service);
    http::Awaitable<void> probeHealth(std::size_t entry);
    http::Client &pickClient();
    http::Awaitable<void> sendRequest(std::size_t service, std::uint64_t number);
    double rateOf(std::size_t service, Clock::time_point at) const;
    bool isInSurge(std::size_t service, Clock::time_point at) const;
    http::Request makeRequest(const LoadService &service, const std::string &body,
                              const std::string &key);

    http::asio::any_io_executor executor;
    LoadPlan plan;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<http::Client>> clients;
    std::vector<bool> isHealthy; // by entry VM, result of its last health check
    bool isFinished = false;
    LoadTally tally;
    Clock::time_point begin{};
    Clock::time_point end{};
    std::uint64_t requestCount = 0;
    std::size_t openTasks = 0; // coroutines that have not ended
};

/// The value below which a share of values lies; 0 if there are none.
double quantileOf(std::vector<double> values, double share);

} // namespace sassafrasferry::standins
