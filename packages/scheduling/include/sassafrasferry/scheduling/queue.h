// The current configuration: job queues, and the services whose workers run their jobs.
#pragma once

#include <sassafrasferry/jobs/job.h>

#include <optional>

namespace sassafrasferry::scheduling {

/// Timing of a policy service that decides which workers may run a step.
struct AdviceTerms
{
    std::chrono::milliseconds decision{0}; ///< base duration of a call
    std::chrono::milliseconds perWorker{0}; ///< added to a call for each worker in it
    std::chrono::milliseconds validity{0}; ///< of a ticket
};

/// A queue: the host and path prefix where callers submit jobs, and how these are run.
struct Queue
{
    jobs::QueueTerms terms;
    std::string host;
    std::string prefix;
    std::optional<AdviceTerms> advice;
    bool isAnonymous = false; ///< callers need no key
};

/// A customer: it submits jobs with its keys, and its tasks share the workers with those of others.
struct Customer
{
    std::string name;
    std::vector<std::string> keyDigests; ///< SHA-256 of each API key, in hexadecimal
    double weight = 0; ///< its share when workers are short, in jobs per second
    /// What its tasks may use at a time, over all services. In each resource 0 is no limit.
    jobs::Resources cap;
};

/// A pool of workers that run the same kind of job.
struct Service
{
    std::string name;
    bool rejectsOverload = false; ///< its workers refuse tasks that do not fit
    bool standby = false; ///< its VMs are powered off and cost nothing
};

/// A version of the configuration.
struct Configuration
{
    std::int64_t version = 0;
    std::vector<Queue> queues;
    std::vector<Service> services;
    std::vector<Customer> customers;
    std::int64_t bodyBytes = 256LL * 1024; ///< largest request body

    const Queue *findQueue(std::string_view name) const;
    /// The queue of the host with the longest prefix that matches the path.
    const Queue *route(std::string_view host, std::string_view path) const;
    const Service *findService(std::string_view name) const;
    const Customer *findCustomer(std::string_view name) const;
    /// True if a customer has a cap.
    bool hasCaps() const;
};

} // namespace sassafrasferry::scheduling
