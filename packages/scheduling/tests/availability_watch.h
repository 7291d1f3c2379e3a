// Checks how many tasks of a lasting step are unavailable when an order ends another one.
#pragma once

#include <sassafrasferry/scheduling/scheduler.h>

#include <map>
#include <set>
#include <string>

namespace sassafrasferry::scheduling::tests {

using namespace std::chrono_literals;

class AvailabilityWatch
{
public:
    AvailabilityWatch(std::string job, std::size_t tasks, std::size_t maxUnavailable)
        : job(std::move(job))
        , tasks(tasks)
        , maxUnavailable(maxUnavailable)
    {}

    void started(const TaskId &task, Instant now)
    {
        this->startedAt[task] = now;
    }

    /// Must be called at each tick, before orders are executed.
    template<typename IsRunning>
    void update(IsRunning isRunning, Instant now)
    {
        for (std::size_t i = 0; i < this->tasks; ++i) {
            const auto task = this->taskAt(i);
            if (!this->isServing(task, isRunning, now))
                continue;
            this->lastServing[task] = now;
            this->endedByOrder.erase(task);
        }
    }

    /// Must be called before an order ends a task. False if too many other tasks are unavailable:
    /// ended by orders as well, or not serving for `longAbsence` for any reason.
    template<typename IsRunning>
    bool recordOrderedEnd(const TaskId &task, IsRunning isRunning, Instant now)
    {
        if (!this->isServing(task, isRunning, now))
            return true;
        std::size_t unavailable = 0;
        for (std::size_t i = 0; i < this->tasks; ++i) {
            const auto other = this->taskAt(i);
            if (other == task || this->isServing(other, isRunning, now))
                continue;
            const auto seen = this->lastServing.find(other);
            const bool isLongAbsent =
                seen == this->lastServing.end() || now - seen->second >= longAbsence;
            unavailable += this->endedByOrder.count(other) != 0 || isLongAbsent ? 1 : 0;
        }
        this->endedByOrder.insert(task);
        return unavailable < this->maxUnavailable;
    }

private:
    static constexpr Duration startupTime = 200ms; ///< until a started run is serving
    static constexpr Duration longAbsence = 4500ms;

    TaskId taskAt(std::size_t index) const
    {
        return {this->job, 0, 0, index};
    }

    template<typename IsRunning>
    bool isServing(const TaskId &task, IsRunning isRunning, Instant now) const
    {
        const auto started = this->startedAt.find(task);
        return started != this->startedAt.end() && now - started->second >= startupTime
               && isRunning(task);
    }

    std::string job;
    std::size_t tasks;
    std::size_t maxUnavailable;
    std::map<TaskId, Instant> startedAt;
    std::map<TaskId, Instant> lastServing;
    std::set<TaskId> endedByOrder; // and not serving since then
};

} // namespace sassafrasferry::scheduling::tests
