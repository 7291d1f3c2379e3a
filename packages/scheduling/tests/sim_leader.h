// A leader of a `JobSimulation`: its scheduler, and what it knows of the store.
#pragma once

#include <sassafrasferry/scheduling/scheduler.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasferry::scheduling::tests {

constexpr std::uint32_t maxAttempts = 4;
/// More than a leader's confirmations.
constexpr std::int64_t tokensPerLeader = 1'000'000;

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
        , newestToken(fence * tokensPerLeader)
    {
        this->scheduler.setLeadConfirmed(now);
        this->scheduler.setFence(this->newestToken);
    }

    bool canSendOrders(Duration orderLimit, Instant now) const
    {
        return this->alive && now - this->confirmedAt < orderLimit;
    }

    /// Renews the lease every `interval`.
    void confirm(Duration interval, Instant now)
    {
        if (now - this->confirmedAt < interval)
            return;
        this->confirmedAt = now;
        this->scheduler.setLeadConfirmed(now);
        this->scheduler.setFence(++this->newestToken);
        this->recordedRestarts = this->scheduler.restartedWorkers(now);
    }

    void configure(std::size_t caps, const std::vector<std::string> &services,
                   std::vector<Customer> customers)
    {
        this->knownCaps = caps;
        this->nextCapAt = {};
        auto configuration = configurationOf(services, std::move(customers));
        configuration.version = static_cast<std::int64_t>(caps) + 1;
        this->scheduler.setConfiguration(std::move(configuration));
    }

    /// Called when the worker's connections break, which ends the hold that it has not answered.
    void breakHold(const std::string &worker, Instant next)
    {
        const auto at = this->nextHoldAt.find(worker);
        if (at == this->nextHoldAt.end())
            return;
        ++this->holdNumbers[worker];
        at->second = std::min(at->second, next);
    }

    /// The end number up to which a hold that is sent now acknowledges; 0: none that is new.
    std::int64_t acknowledge(const std::string &worker, std::int64_t token, Instant now)
    {
        const auto ends = this->scheduler.acknowledged(worker);
        const auto born = this->scheduler.findWorker(worker)->listing.born;
        if (ends <= this->receivedCursors[{worker, born}]
            || !this->scheduler.canAcknowledge(worker, now))
            return 0;
        this->sentCursors[worker] = {born, ends};
        this->scheduler.acknowledgementSent(worker, token);
        return ends;
    }

    /// Called when the last hold has been answered.
    void receiveAcknowledgement(const std::string &worker)
    {
        const auto sent = this->sentCursors.find(worker);
        if (sent == this->sentCursors.end())
            return;
        this->receivedCursors[{worker, sent->second.first}] = sent->second.second;
        this->sentCursors.erase(sent);
        this->scheduler.acknowledgementOver(worker, true);
    }

    /// Called when the last hold has had no answer.
    void loseAcknowledgement(const std::string &worker)
    {
        if (this->sentCursors.erase(worker) != 0)
            this->scheduler.acknowledgementOver(worker, false);
    }

    /// Writes the rows of changed jobs, each after `delay`.
    void writeRows(std::map<std::string, messages::JobProgress> &stored, Duration delay,
                   Instant now)
    {
        for (auto &row : this->scheduler.takeDirty(30, [](const std::string &) { return true; }))
            this->writes.push_back({now + delay, std::move(row)});
        while (!this->writes.empty() && this->writes.front().first <= now) {
            const auto row = this->writes.front().second;
            this->writes.pop_front();
            stored[row.id] = row.row;
            this->scheduler.recorded(row);
        }
    }

    std::int64_t fence;
    Instant startedAt;
    Scheduler scheduler;
    bool alive = true;
    bool hasStore = true;
    Instant confirmedAt;
    std::int64_t newestToken; // rises with each confirmation
    std::vector<RestartedWorker> recordedRestarts; // with its last confirmation
    std::size_t knownCaps = 0; // the number of caps that were in force up to its configuration
    Instant nextCapAt{};
    std::set<std::string> knownCancellations; // jobs
    std::map<std::string, std::size_t> holdNumbers; // by worker: of the last hold that was sent
    std::map<std::string, std::size_t> answeredHolds; // by worker: number of the last one answered
    std::map<std::string, Instant> nextHoldAt; // by worker: when the next hold is sent
    /// By worker: its incarnation and the cursor of the acknowledgement under way.
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> sentCursors;
    /// By worker and incarnation: the highest cursor that it has answered.
    std::map<std::pair<std::string, std::int64_t>, std::int64_t> receivedCursors;
    std::deque<std::pair<Instant, DirtyJob>> writes;
};

} // namespace sassafrasferry::scheduling::tests
