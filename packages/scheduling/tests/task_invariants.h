// Checks the guarantees given to callers about their tasks at each start of a task.
#pragma once

#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sassafrasferry::scheduling::tests {

class TaskInvariants
{
public:
    explicit TaskInvariants(std::uint32_t maxAttempts)
        : maxAttempts(maxAttempts)
    {}

    /// `others` are the active runs of the same task, each with its worker.
    void checkStart(const std::string &worker, const RunKey &key,
                    const std::vector<std::pair<std::string, RunKey>> &others,
                    const jobs::JobSpec &spec, Instant now = {})
    {
        ++this->starts;
        const auto name =
            jobs::toString(key.task) + " run " + std::to_string(key.number) + " on " + worker;
        for (const auto &other : others)
            this->violations.push_back("two runs: " + name + " and "
                                       + std::to_string(other.second.number) + " on "
                                       + other.first);
        if (this->acknowledgedDone.count(key.task) != 0)
            this->violations.push_back("run again after a noted end: " + name);
        const auto reported = this->reportedDone.find(key.task);
        if (reported != this->reportedDone.end() && now - reported->second >= reportSettleTime)
            this->violations.push_back("run again after a listed end: " + name);
        const auto failed = this->acknowledgedFailures.find(key.task);
        if (failed != this->acknowledgedFailures.end()
            && failed->second.size() >= this->maxAttempts)
            this->violations.push_back("over its attempts: " + name);
        for (const auto dependency : spec.steps[key.task.step].after) {
            for (std::size_t i = 0; i < spec.steps[dependency].count; ++i) {
                if (this->done.count({key.task.job, 0, dependency, i}) == 0)
                    this->violations.push_back("before its time: " + name);
            }
        }
    }

    /// Called when a run ends at its worker.
    void runEnded(const TaskId &task, jobs::RunEnd end)
    {
        if (end == jobs::RunEnd::Done)
            this->done.insert(task);
    }

    /// Called when the leader has acknowledged an end and the worker drops it.
    void endAcknowledged(const ListedEnd &end)
    {
        if (end.end == jobs::RunEnd::Done)
            this->acknowledgedDone.insert(end.task);
        if (end.end == jobs::RunEnd::Failed)
            this->acknowledgedFailures[end.task].insert(end.run);
    }

    /// Called when a worker sends an end in an answer, which may not arrive.
    void endReported(const ListedEnd &end, Instant now)
    {
        if (end.end == jobs::RunEnd::Done && now >= this->disruptedUntil)
            this->reportedDone.emplace(end.task, now);
    }

    /// An end that is reported during a disruption, or at most `reportSettleTime` before it, does
    /// not count as known to the leader.
    void addDisruption(Instant now, Instant until)
    {
        this->disruptedUntil = std::max(this->disruptedUntil, until);
        std::erase_if(this->reportedDone,
                      [&](const auto &entry) { return now - entry.second <= reportSettleTime; });
    }

    /// Compares what the scheduler keeps up to date at each change with what a look at all workers
    /// gives.
    void checkCounts(const Scheduler &scheduler)
    {
        const auto &workers = scheduler.workers();
        const auto listed = std::count_if(workers.begin(), workers.end(),
                                          [](const auto &entry) { return entry.second.listed; });
        if (scheduler.listedWorkers() != static_cast<std::size_t>(listed))
            this->violations.push_back("listed workers: " + std::to_string(listed) + ", counted "
                                       + std::to_string(scheduler.listedWorkers()));
        for (const auto &entry : workers) {
            const auto &ends = entry.second.pendingEnds;
            const auto awaited = ends.empty() ? "" : ends.front().job;
            if (entry.second.awaitedJob != awaited)
                this->violations.push_back(entry.first + " waits for '" + awaited + "', not '"
                                           + entry.second.awaitedJob + "'");
        }
    }

    std::vector<std::string> violations;
    std::size_t starts = 0;

private:
    /// A reported end counts as known to the leader after this time.
    static constexpr Duration reportSettleTime = std::chrono::milliseconds(100);

    std::uint32_t maxAttempts;
    std::set<TaskId> done;
    std::map<TaskId, Instant> reportedDone; // time of the report, outside of disruptions
    Instant disruptedUntil{};
    std::set<TaskId> acknowledgedDone;
    // By task: numbers of the failed runs.
    std::map<TaskId, std::set<std::int64_t>> acknowledgedFailures;
};

} // namespace sassafrasferry::scheduling::tests
