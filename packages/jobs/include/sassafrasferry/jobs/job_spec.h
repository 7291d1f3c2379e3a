// Specification of a job as submitted by a caller: steps, each with a number of identical tasks.
#pragma once

#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/model/finding.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasferry::jobs {

using Milliseconds = std::chrono::milliseconds;

/// Resources that a task requires or that a worker provides.
struct Resources
{
    std::int64_t cpu = 0; ///< millicores
    std::int64_t memory = 0; ///< megabytes
    std::int64_t accelerators = 0;

    bool fitsIn(const Resources &room) const;
    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    bool operator==(const Resources &) const = default;
};

/// A step: `count` tasks that may run once all steps in `after` are done.
struct StepSpec
{
    std::size_t count = 0;
    Resources need; ///< of each task
    Milliseconds estimate{0}; ///< declared run time of a task
    std::vector<std::size_t> after; ///< indices of earlier steps
    bool gang = false; ///< the tasks run all at the same time or not at all
    bool sameRack = false; ///< the tasks are slower when spread over several racks
    std::string requiredLabel; ///< label that the worker must have; empty: none
    std::string dataRack; ///< rack outside of which the tasks are slower; empty: none
    std::size_t perVmLimit = 0; ///< maximum tasks of the step on one worker; 0: no limit
    bool speculative = false; ///< several copies of a task may run at the same time
    bool lasting = false; ///< the tasks run until the job is cancelled
    bool checkpointing = false;
    std::string image; ///< tasks with the same image are assumed to behave alike
    /// Tail latency target for requests that the task serves; 0: serves none.
    Milliseconds tailTarget{0};
    bool filler = false; ///< the tasks' CPU is not counted against the worker's capacity
    std::size_t maxUnavailable = 0; ///< maximum tasks that the system may stop at the same time

    /// Resources that a task occupies on its worker.
    Resources footprint() const;
};

/// A job as submitted by a caller.
struct JobSpec
{
    std::string payload; ///< passed to each task
    std::vector<StepSpec> steps;
    std::size_t repetitions = 0; ///< 0: runs once, immediately
    std::int64_t firstDue = 0; ///< due time of the first occurrence, in Unix milliseconds
    Milliseconds interval{0}; ///< between the due times of occurrences

    std::size_t occurrences() const;
    std::size_t tasksPerOccurrence() const;
    bool isLasting() const;
};

/// Limits on the size of one job.
constexpr std::size_t maxSteps = 200;
constexpr std::size_t maxFindings = 100; // that are kept of one job
constexpr std::size_t maxTasks = 100000;

/// Validates a job. Returns all problems found, each with the key that it concerns.
model::Findings findProblems(const JobSpec &job);

/// Time of the critical path through the steps, where step `i` takes `timeOf(i)`.
template<typename TimeOf>
Milliseconds criticalPath(const JobSpec &job, TimeOf timeOf)
{
    std::vector<Milliseconds> ends(job.steps.size());
    Milliseconds longest{0};
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        Milliseconds begin{0};
        for (const auto before : job.steps[i].after)
            begin = std::max(begin, ends[before]);
        ends[i] = begin + timeOf(i);
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

void toRecord(const JobSpec &job, messages::JobRecord &record);
JobSpec specFrom(const messages::JobRecord &record);

} // namespace sassafrasferry::jobs
