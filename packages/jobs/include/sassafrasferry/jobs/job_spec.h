// What a caller asks for: a job of steps, each of a number of like tasks.
#pragma once

#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/model/finding.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasferry::jobs {

using Milliseconds = std::chrono::milliseconds;

/// What a task needs of its worker, or what a worker has.
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
    Milliseconds estimate{0}; ///< rough time of a task
    std::vector<std::size_t> after; ///< indices of earlier steps
    bool gang = false; ///< the tasks run only together
    bool sameRack = false; ///< slower over more than one rack
    std::string requiredLabel; ///< of the worker; empty: none
    std::string dataRack; ///< slower on any other; empty: none
    std::size_t perVmLimit = 0; ///< tasks of the step on a worker; 0: no limit
    bool speculative = false; ///< copies of a task may run side by side
    bool lasting = false; ///< runs until the job is cancelled
    bool checkpointing = false;
    std::string image; ///< tasks of the same image behave alike
    Milliseconds tailTarget{0}; ///< of its own users' response times; 0: it serves none
    bool filler = false; ///< its processors are not counted against the worker's
    std::size_t maxUnavailable = 0; ///< tasks that the system may take away at once

    /// What a task takes of its worker's room.
    Resources footprint() const;
};

/// A job as a caller hands it in.
struct JobSpec
{
    std::string payload; ///< given to each task
    std::vector<StepSpec> steps;
    std::size_t repetitions = 0; ///< 0: runs once, at once
    std::int64_t firstDue = 0; ///< Unix milliseconds
    Milliseconds interval{0}; ///< between the due times of occurrences

    std::size_t occurrences() const;
    std::size_t tasksPerOccurrence() const;
    bool isLasting() const;
};

/// Bounds of what one job may ask.
constexpr std::size_t mostSteps = 200;
constexpr std::size_t mostTasks = 100000;

/// Everything that is wrong with a job, with the key of each finding.
model::Findings findProblems(const JobSpec &job);

/// The longest chain of steps, each of which takes `timeOf` its index.
template<typename TimeOf>
Milliseconds longestChain(const JobSpec &job, TimeOf timeOf)
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
