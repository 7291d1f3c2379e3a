// A scheduler with workers and a clock, for tests that feed it single events.
#pragma once

#include <sassafrasferry/scheduling/scheduler.h>

namespace sassafrasferry::scheduling {

using namespace std::chrono_literals;

inline const Instant start(1h);

inline jobs::StepSpec stepOf(std::size_t count, std::int64_t cpu = 1000)
{
    jobs::StepSpec step;
    step.count = count;
    step.need = {cpu, 100, 0};
    step.estimate = 1s;
    return step;
}

inline jobs::StepSpec lastingStep(std::size_t count, std::size_t maxUnavailable)
{
    auto step = stepOf(count);
    step.lasting = true;
    step.maxUnavailable = maxUnavailable;
    return step;
}

/// A scheduler with workers `w0`, `w1`, ..., two to a rack, and a simulated clock.
struct Bench
{
    explicit Bench(std::size_t workerCount, std::int64_t cpu = 4000, bool hasPredecessor = false,
                   const SchedulerTimes &times = {}, Instant tookOverAt = start)
        : now(tookOverAt)
        , scheduler(times, hasPredecessor ? 1000 : 0, tookOverAt)
    {
        Configuration configuration;
        configuration.version = 1;
        Queue queue;
        queue.terms = {"q", "s", 0, 3, 2, 600ms};
        configuration.queues.push_back(queue);
        this->scheduler.setConfiguration(configuration);
        for (std::size_t i = 0; i < workerCount; ++i)
            this->list("w" + std::to_string(i), 1, cpu, "r" + std::to_string(i / 2));
        if (!hasPredecessor)
            this->scheduler.setAllWorkersKnown();
    }

    void list(const std::string &id, std::int64_t born, std::int64_t cpu, const std::string &rack,
              Instant startedAt = {})
    {
        WorkerListing listing;
        listing.id = id;
        listing.vm = "vm-" + id;
        listing.born = born;
        listing.service = "s";
        listing.rack = rack;
        listing.labels = {"a", rack};
        listing.capacity = {cpu, 100000, 0};
        this->scheduler.listWorker(listing, this->now, startedAt);
    }

    void add(const std::string &id, std::vector<jobs::StepSpec> steps, bool inherited = false)
    {
        auto job =
            std::make_unique<Job>(id, jobs::JobSpec{"text", std::move(steps), 0, 0, 0ms},
                                  this->scheduler.configuration().queues[0].terms, this->now);
        job->inherited = inherited;
        this->scheduler.addJob(std::move(job));
    }

    /// Reports the worker's answer to a hold that was sent at `now`.
    void report(const std::string &id, std::vector<ListedRun> running = {},
                std::vector<ListedEnd> ended = {}, std::int64_t born = 1)
    {
        this->scheduler.leaseUntil(id, this->now);
        const auto clock = 1000 + (this->now - start) / 1ms;
        this->scheduler.report({id, born, clock, std::move(running), std::move(ended)}, this->now,
                               this->now);
    }

    void reportAll(std::size_t workerCount)
    {
        for (std::size_t i = 0; i < workerCount; ++i)
            this->report("w" + std::to_string(i));
    }

    Orders plan()
    {
        return this->scheduler.plan(this->now, 0);
    }

    void acceptAll(const Orders &orders)
    {
        for (const auto &order : orders.starts)
            this->scheduler.startAnswered(order, OrderAnswer::Accepted, this->now);
    }

    void record()
    {
        for (const auto &row :
             this->scheduler.takeDirty(100, [](const std::string &) { return true; }))
            this->scheduler.recorded(row);
    }

    Instant now;
    Scheduler scheduler;
};

inline ListedEnd endOf(const StartOrder &order, std::int64_t number, jobs::RunEnd end)
{
    return {number, order.task, order.run, end, ""};
}

} // namespace sassafrasferry::scheduling
