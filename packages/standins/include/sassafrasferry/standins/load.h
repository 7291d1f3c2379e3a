// An open-loop load of callers: surges that move from service to service, offered through all
// entry VMs, with a tally of what the callers saw.
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
    bool keyed = false; ///< not idempotent: each request has a key, and unknown ones are resent
};

/// What is offered.
struct LoadPlan
{
    std::vector<model::Endpoint> entries;
    std::vector<model::Endpoint> health; ///< administration addresses; empty: all count as healthy
    std::vector<LoadService> services;
    double meanRate = 100; ///< requests a second of one service, in its ordinary time
    double surge = 5; ///< times the mean, for each service in turn
    double lull = 0.05; ///< times the mean, in the phase after its surge
    std::chrono::milliseconds phase{5000};
    std::chrono::milliseconds runTime{100}; ///< mean; each request's lies within half of it
    std::chrono::milliseconds deadline{2000};
    double cancelled = 0; ///< share of requests whose caller goes away at once
    std::uint64_t seed = 1;
};

/// What callers of one class saw.
struct ClassTally
{
    std::uint64_t offered = 0;
    std::uint64_t completed = 0; ///< in time
    std::uint64_t late = 0;
    std::uint64_t refused = 0; ///< not run, and told so
    std::uint64_t unknown = 0;
    std::uint64_t broken = 0; ///< no answer at all
    std::uint64_t strangers = 0; ///< somebody else's answer
    std::vector<double> milliseconds; ///< of those completed
};

/// The tally of a load.
struct LoadTally
{
    std::array<ClassTally, model::requestClassCount> classes;
    std::map<std::string, std::uint64_t> completedByService;
    std::uint64_t resent = 0; ///< keyed requests sent again after an unknown outcome
    std::uint64_t unsettled = 0; ///< keyed requests whose outcome stayed unknown to the end
    std::vector<std::string> completedKeys;
    std::vector<std::string> notRunKeys; ///< whose last answer was "not run"
    std::uint64_t surgeCompleted = 0; ///< of the service in its surge, while it lasted
    std::uint64_t bystandersOffered = 0; ///< of services that were not in their surge
    std::uint64_t bystandersCompleted = 0; ///< of those, in time
};

/// Offers the plan; returns when every request has been answered.
class Load
{
public:
    Load(http::asio::any_io_executor executor, LoadPlan plan);

    http::Awaitable<LoadTally> run();

private:
    using Clock = std::chrono::steady_clock;

    http::Awaitable<void> offer(std::size_t service);
    http::Awaitable<void> watchHealth(std::size_t entry);
    http::Client &pickClient();
    http::Awaitable<void> one(std::size_t service, std::uint64_t number);
    double rateOf(std::size_t service, Clock::time_point at) const;
    bool surges(std::size_t service, Clock::time_point at) const;
    http::Request requestOf(const LoadService &service, const std::string &body,
                            const std::string &key);

    http::asio::any_io_executor executor;
    LoadPlan plan;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<http::Client>> clients;
    std::vector<bool> healthy; // of each entry VM, as the balancer last saw it
    bool isOver = false;
    LoadTally tally;
    Clock::time_point begin{};
    Clock::time_point end{};
    std::uint64_t numbers = 0; // of requests
    std::size_t open = 0; // requests and offers that have not ended
};

/// The value below which a share of values lies; 0 if there are none.
double quantileOf(std::vector<double> values, double share);

} // namespace sassafrasferry::standins
