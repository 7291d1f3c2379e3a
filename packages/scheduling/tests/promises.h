// What callers were promised of their tasks, checked at each start.
#pragma once

#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sassafrasferry::scheduling::tests {

class Promises
{
public:
    explicit Promises(std::uint32_t mostAttempts)
        : mostAttempts(mostAttempts)
    {}

    /// `others`: the runs of the same task that go on elsewhere, each with its worker.
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
        if (this->doneNoted.count(key.task) != 0)
            this->violations.push_back("run again after a noted end: " + name);
        const auto listed = this->doneListed.find(key.task);
        if (listed != this->doneListed.end() && now - listed->second >= listedNoted)
            this->violations.push_back("run again after a listed end: " + name);
        const auto failed = this->failuresNoted.find(key.task);
        if (failed != this->failuresNoted.end() && failed->second.size() >= this->mostAttempts)
            this->violations.push_back("over its attempts: " + name);
        for (const auto before : spec.steps[key.task.step].after) {
            for (std::size_t i = 0; i < spec.steps[before].count; ++i) {
                if (this->done.count({key.task.job, 0, before, i}) == 0)
                    this->violations.push_back("before its time: " + name);
            }
        }
    }

    /// A run has ended at its worker.
    void ended(const TaskId &task, jobs::RunEnd end)
    {
        if (end == jobs::RunEnd::Done)
            this->done.insert(task);
    }

    /// An end was acknowledged to the worker, which forgets it.
    void noted(const ListedEnd &end)
    {
        if (end.end == jobs::RunEnd::Done)
            this->doneNoted.insert(end.task);
        if (end.end == jobs::RunEnd::Failed)
            this->failuresNoted[end.task].insert(end.run);
    }

    /// A worker answered with an end, whether or not the answer arrived.
    void listed(const ListedEnd &end, Instant now)
    {
        if (end.end == jobs::RunEnd::Done && now >= this->disruptedUntil)
            this->doneListed.emplace(end.task, now);
    }

    /// Near a disruption an end does not count as taken note of by being listed.
    void disrupted(Instant now, Instant until)
    {
        this->disruptedUntil = std::max(this->disruptedUntil, until);
        std::erase_if(this->doneListed,
                      [&](const auto &entry) { return now - entry.second <= listedNoted; });
    }

    std::vector<std::string> violations;
    std::size_t starts = 0;

private:
    /// An end counts as taken note of so long after it was listed.
    static constexpr Duration listedNoted = std::chrono::milliseconds(100);

    std::uint32_t mostAttempts;
    std::set<TaskId> done;
    std::map<TaskId, Instant> doneListed; // when, with no disruption near
    Instant disruptedUntil{};
    std::set<TaskId> doneNoted;
    std::map<TaskId, std::set<std::int64_t>> failuresNoted; // run numbers
};

} // namespace sassafrasferry::scheduling::tests
