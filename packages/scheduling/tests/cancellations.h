// Cancellations of jobs in a `JobSimulation`, and how long runs of cancelled jobs go on at workers
// that can be reached.
#pragma once

#include "sim_leader.h"
#include "sim_random.h"
#include "sim_worker.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sassafrasferry::scheduling::tests {

class Cancellations
{
public:
    /// The time within which a task of a cancelled job must be gone.
    static constexpr Duration maxTime = std::chrono::milliseconds(4900);

    /// Stores the cancellation of one of the jobs. Leaders can read it after a random delay.
    void add(const std::vector<std::string> &jobs, SimRandom &random, Instant now)
    {
        if (jobs.empty())
            return;
        const auto last = static_cast<std::int64_t>(jobs.size()) - 1;
        const auto index = static_cast<std::size_t>(random.between(std::int64_t{0}, last));
        this->readableAt.emplace(jobs[index], now + random.between(Duration(0), maxReadDelay));
    }

    /// Passes the stored cancellations to a leader that can read the store.
    void read(SimLeader &leader, Instant now)
    {
        for (const auto &entry : this->readableAt) {
            if (entry.second > now || !leader.knownCancellations.insert(entry.first).second)
                continue;
            leader.scheduler.cancelJob(entry.first);
            this->readAt.emplace(entry.first, now);
        }
    }

    /// The time that a run may go on counts from the last disturbance of its worker on.
    void noteDisturbance(const std::string &worker, Instant now)
    {
        this->disturbedAt[worker] = now;
    }

    /// Called before a worker starts a task. A start that arrives late disturbs it.
    void noteStart(const std::string &worker, const TaskId &task, Instant now)
    {
        if (this->readAt.count(task.job) != 0)
            this->noteDisturbance(worker, now);
    }

    /// Adds a text for each run that has gone on for too long since the last call.
    void check(const std::vector<SimWorker> &workers, Instant now,
               std::vector<std::string> &violations)
    {
        for (const auto &worker : workers) {
            if (!worker.isReachable(now))
                this->noteDisturbance(worker.id, now);
            for (const auto &run : worker.runs) {
                const auto at = this->readAt.find(run.first.task.job);
                if (at == this->readAt.end())
                    continue;
                const auto time = now - std::max(at->second, this->disturbedAt[worker.id]);
                this->longestTime = std::max(this->longestTime, time);
                if (time > maxTime && this->reported.insert(run.first).second)
                    violations.push_back("goes on after its cancellation: "
                                         + jobs::toString(run.first.task) + " run "
                                         + std::to_string(run.first.number) + " on " + worker.id);
            }
        }
    }

    std::size_t count() const
    {
        return this->readAt.size();
    }

    /// The longest that a run went on.
    Duration longest() const
    {
        return this->longestTime;
    }

private:
    static constexpr Duration maxReadDelay = std::chrono::milliseconds(120);

    std::map<std::string, Instant> readableAt; // by job
    std::map<std::string, Instant> readAt; // by job: when the first leader read its cancellation
    std::map<std::string, Instant> disturbedAt; // by worker
    std::set<RunKey> reported;
    Duration longestTime{};
};

} // namespace sassafrasferry::scheduling::tests
