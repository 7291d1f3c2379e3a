// State of one planning round.
#pragma once

#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>

namespace sassafrasferry::scheduling {

struct Scheduler::Round
{
    Instant now;
    UnixMilliseconds unixNow = 0;
    Orders orders;
    CustomerUsage usage; // includes the starts of this round
    std::vector<Worker *> workers; // workers of the current service that accept tasks
    std::set<const Worker *> reserved; // kept free for higher-ranked tasks that found no room
    /// Resource needs that found no room. Room only shrinks during a round, so no need of at least
    /// this size fits either.
    std::vector<Resources> refused;

    /// The workers at which an earlier start of a task may still be carried out. A task runs next
    /// at the same worker: a restart that lets the late start in also ends that run.
    std::map<TaskId, Worker *> lateStarts;

    /// A rack of the current service as tasks see it that name it.
    struct Rack
    {
        std::vector<Instant> ends; ///< expected ends of its runs, the soonest first
        double cores = 0;
        bool staysOpen = false; ///< a worker is not due for maintenance
        std::size_t waiting = 0; ///< tasks that wait for it in this round
    };
    std::map<std::string, Rack> racks; // those that were asked for

    /// The only worker that may run the task; null if each may.
    Worker *onlyWorkerFor(const TaskId &task, const jobs::StepSpec &step) const
    {
        const auto at = this->lateStarts.find(task);
        return at == this->lateStarts.end() || step.speculative ? nullptr : at->second;
    }

    bool wasRefused(const Resources &need) const
    {
        return std::any_of(this->refused.begin(), this->refused.end(),
                           [&](const Resources &small) { return small.fitsIn(need); });
    }
};

} // namespace sassafrasferry::scheduling
