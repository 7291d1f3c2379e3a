// The configuration in force: queues of jobs, and the services whose workers run them.
#pragma once

#include <sassafrasferry/jobs/job.h>

#include <optional>

namespace sassafrasferry::scheduling {

/// A policy service that must be asked which workers may run a step.
struct AdviceTerms
{
    std::chrono::milliseconds decision{0}; ///< time of a call
    std::chrono::milliseconds perWorker{0}; ///< more for each worker named
    std::chrono::milliseconds validity{0}; ///< of a ticket
};

/// A queue: where callers hand jobs in, and how they are run.
struct Queue
{
    jobs::QueueTerms terms;
    std::string host;
    std::string prefix;
    std::optional<AdviceTerms> advice;
};

/// Workers of one kind of work.
struct Service
{
    std::string name;
    bool rejectsOverload = false; ///< its workers refuse what does not fit
    bool standby = false; ///< its workers are off, and cost nothing there
};

/// A version of the configuration.
struct Configuration
{
    std::int64_t version = 0;
    std::vector<Queue> queues;
    std::vector<Service> services;
    std::int64_t bodyBytes = 256LL * 1024;

    const Queue *findQueue(std::string_view name) const;
    /// The queue of the longest prefix of the path, at that host.
    const Queue *route(std::string_view host, std::string_view path) const;
    const Service *findService(std::string_view name) const;
};

} // namespace sassafrasferry::scheduling
