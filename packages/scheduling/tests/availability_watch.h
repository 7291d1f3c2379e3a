// Watches the tasks of a lasting step: how many of them are away when an order ends one more.
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
    AvailabilityWatch(std::string job, std::size_t tasks, std::size_t mostUnavailable)
        : job(std::move(job))
        , tasks(tasks)
        , mostUnavailable(mostUnavailable)
    {}

    void started(const TaskId &task, Instant now)
    {
        this->startedAt[task] = now;
    }

    /// To be called at each moment, before orders are carried out.
    template<typename IsRunning>
    void watch(IsRunning isRunning, Instant now)
    {
        for (std::size_t i = 0; i < this->tasks; ++i) {
            const auto task = this->taskAt(i);
            if (!this->isAtWork(task, isRunning, now))
                continue;
            this->seenAtWork[task] = now;
            this->endedByOrder.erase(task);
        }
    }

    /// An order ends a task. False if too many others are away: ended by orders as well, or not at
    /// work for `notice` by any cause.
    template<typename IsRunning>
    bool mayEnd(const TaskId &task, IsRunning isRunning, Instant now)
    {
        if (!this->isAtWork(task, isRunning, now))
            return true;
        std::size_t away = 0;
        for (std::size_t i = 0; i < this->tasks; ++i) {
            const auto other = this->taskAt(i);
            if (other == task || this->isAtWork(other, isRunning, now))
                continue;
            const auto seen = this->seenAtWork.find(other);
            const bool isLongAway = seen == this->seenAtWork.end() || now - seen->second >= notice;
            away += this->endedByOrder.count(other) != 0 || isLongAway ? 1 : 0;
        }
        this->endedByOrder.insert(task);
        return away < this->mostUnavailable;
    }

private:
    static constexpr Duration startup = 200ms; ///< until a run is at work
    static constexpr Duration notice = 4500ms;

    TaskId taskAt(std::size_t index) const
    {
        return {this->job, 0, 0, index};
    }

    template<typename IsRunning>
    bool isAtWork(const TaskId &task, IsRunning isRunning, Instant now) const
    {
        const auto started = this->startedAt.find(task);
        return started != this->startedAt.end() && now - started->second >= startup
               && isRunning(task);
    }

    std::string job;
    std::size_t tasks;
    std::size_t mostUnavailable;
    std::map<TaskId, Instant> startedAt;
    std::map<TaskId, Instant> seenAtWork;
    std::set<TaskId> endedByOrder; // and not at work since
};

} // namespace sassafrasferry::scheduling::tests
