// A leader of a `JobSimulation`: its scheduler, and what it knows of the store.
#pragma once

#include <sassafrasferry/scheduling/scheduler.h>

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasferry::scheduling::tests {

constexpr std::uint32_t maxAttempts = 4;

inline jobs::QueueTerms termsOf(const std::string &service)
{
    jobs::QueueTerms terms;
    terms.queue = "queue-of-" + service;
    terms.service = service;
    terms.maxAttempts = maxAttempts;
    terms.stretch = 2;
    return terms;
}

/// A configuration with one queue for each service.
inline Configuration configurationOf(const std::vector<std::string> &services,
                                     std::vector<Customer> customers)
{
    Configuration configuration;
    for (const auto &service : services) {
        Queue queue;
        queue.terms = termsOf(service);
        configuration.queues.push_back(queue);
    }
    configuration.customers = std::move(customers);
    return configuration;
}

struct SimLeader
{
    explicit SimLeader(std::int64_t fence, Instant now, SchedulerTimes times)
        : fence(fence)
        , startedAt(now)
        , scheduler(times, fence * 1000, now)
        , confirmedAt(now)
    {}

    std::int64_t fence;
    Instant startedAt;
    Scheduler scheduler;
    bool alive = true;
    bool hasStore = true;
    Instant confirmedAt;
    std::size_t knownCaps = 0; // the number of caps that were in force up to its configuration
    Instant nextCapAt{};
    std::map<std::string, Instant> nextHoldAt; // by worker: when the next hold is sent
    std::deque<std::pair<Instant, DirtyJob>> writes;
};

} // namespace sassafrasferry::scheduling::tests
