// An accepted job with its tasks and runs, and the states of each.
#pragma once

#include <sassafrasferry/jobs/job_spec.h>
#include <sassafrasferry/jobs/task_id.h>
#include <sassafrasferry/model/names.h>
#include <sassafrasferry/policy/time.h>

#include <array>
#include <limits>
#include <optional>
#include <set>

namespace sassafrasferry::jobs {

using policy::Duration;
using policy::Instant;
using policy::UnixMilliseconds;

/// State of a job. The numeric values are stored in rows of the store.
enum class JobState {
    Queued = 0,
    Running = 1,
    Completed = 2,
    Failed = 3,
    Cancelled = 4,
    Unknown = 5, ///< no such job
};

constexpr auto enumNames(JobState)
{
    return std::array{
        model::EnumName{JobState::Queued, "queued"},
        model::EnumName{JobState::Running, "running"},
        model::EnumName{JobState::Completed, "completed"},
        model::EnumName{JobState::Failed, "failed"},
        model::EnumName{JobState::Cancelled, "cancelled"},
        model::EnumName{JobState::Unknown, "unknown"},
    };
}

constexpr bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed
           || state == JobState::Cancelled;
}

/// How a run ended, as reported by its worker.
enum class RunEnd {
    Done,
    Failed, ///< through a fault of the task or of the worker
    Stopped,
    LeaseExpired, ///< the worker's lease expired
    GangBroken, ///< another member of the gang ended
    GangIncomplete, ///< the other members of the gang did not start
};

constexpr auto enumNames(RunEnd)
{
    return std::array{
        model::EnumName{RunEnd::Done, "done"},
        model::EnumName{RunEnd::Failed, "failed"},
        model::EnumName{RunEnd::Stopped, "stopped"},
        model::EnumName{RunEnd::LeaseExpired, "lapsed"},
        model::EnumName{RunEnd::GangBroken, "broken"},
        model::EnumName{RunEnd::GangIncomplete, "alone"},
    };
}

/// State of a run as known to the leader.
enum class RunState {
    Ordered, ///< the start was sent and is not answered yet
    Unanswered, ///< the start got no answer: the run may exist or may still start
    Confirmed, ///< the worker has the run
    Stopping, ///< a stop was sent
};

/// Evidence from a worker that a run exists. The answer to a start does not identify the
/// incarnation of the worker that sent it; a report does.
enum class RunEvidence {
    None, ///< the start may still be in flight
    Accepted, ///< the start was executed, by an unknown incarnation
    Listed, ///< listed in a report of the incarnation that the leader knows
};

/// One start of a task on a worker.
struct Run
{
    std::string worker;
    std::int64_t number = 0;
    RunState state = RunState::Ordered;
    Instant orderedAt{};
    /// From this time on the worker must list the run. A report that was requested later and
    /// contains neither the run nor its end proves that the run does not exist and never will.
    Instant settledAt = Instant::max();
    RunEvidence evidence = RunEvidence::None;
    bool isResumed = false; ///< started from a checkpoint, or not started by this process
    Instant stopAskedAt{}; ///< when a stop was last requested
    /// Since when a long-running task has been reported at its full share.
    Instant atWorkSince = Instant::max();
    int pace = 100; ///< last ordered speed, in percent of the full speed
    /// As reported by the worker: tail latency in milliseconds of a serving task.
    std::int64_t load = 0;
    /// Since when the tail latency of a serving task exceeds its target.
    Instant overTargetSince = Instant::max();
};

/// A task of a job. It has at most one run, except in speculative steps, which may run copies.
struct Task
{
    bool done = false;
    /// Numbers of the failed runs, which count as attempts. Numbers rather than a counter, since an
    /// end may be reported again to another leader, and the ends of one task may come from several
    /// workers in any order.
    std::vector<std::int64_t> failedRuns;
    std::int64_t lastRun = 0; ///< highest run number assigned so far
    std::vector<std::string> failedOn; ///< workers on which a run of the task failed
    std::string checkpoint; ///< checkpoint that the next run resumes from; empty: from the start
    std::vector<Run> runs;
    Instant nearWaitSince{}; ///< since when it waits for a worker on its rack; zero: it doesn't
    Instant nearFreeAt{}; ///< when that worker was expected as the wait began
    /// Since when it waits for the worker at which an earlier start may still be carried out; zero:
    /// it doesn't.
    Instant lateStartWaitSince{};
    Instant idleSince{}; ///< since when a long-running task has had no working run
    /// When a run was dropped whose end no worker has reported to this leader.
    Instant unreportedEndAt{};
};

/// Properties that a job inherits from its queue.
struct QueueTerms
{
    std::string queue;
    std::string service;
    std::int64_t priority = 0; ///< 0 is the highest priority
    std::uint32_t maxAttempts = 1;
    double stretch = 1; ///< factor on the critical path of the job in its objective
    Milliseconds target{0}; ///< time added to the stretched critical path in its objective
};

/// Expected run times of a step.
struct StepTimes
{
    Milliseconds task{0}; ///< mean time of one of its tasks
    Milliseconds step{0}; ///< time of its longest task
};

/// Work of a job that is left.
struct RemainingWork
{
    double coreSeconds = 0;
    bool isStarted = false; ///< a task runs or is done
};

/// Effect of the end of a run on its job.
enum class EndEffect {
    None, ///< no change that a new leader needs to know of
    Recorded, ///< a failure or a checkpoint was recorded
    TaskDone,
    JobDone,
    JobFailed,
};

/// A job that ends by this multiple of its objective's time is late, but still of use to its
/// caller.
constexpr int lateFactor = 3;

/// Number of a job without a customer, or of one that the configuration doesn't list.
constexpr auto noCustomer = std::numeric_limits<std::size_t>::max();

/// An accepted job: its specification, its tasks and their runs.
class Job
{
public:
    Job(std::string id, JobSpec spec, QueueTerms terms, Instant acceptedAt);

    /// Restores the state from the stored row of progress.
    void restore(const messages::JobProgress &progress);
    messages::JobProgress progress() const;

    /// True if the store knows that tasks of the job may run in its present service. A leader
    /// starts none there before, so that its successor asks the workers of each service that may
    /// have one.
    bool isServiceRecorded() const;
    /// Adds the present service to `progress()`.
    void addService();
    /// Notes that a row made by `progress()` is in the store.
    void servicesRecorded(const messages::JobProgress &row);

    /// Returns nullptr if the job has no such task.
    Task *find(const TaskId &id);
    Task &at(std::size_t occurrence, std::size_t step, std::size_t index);
    /// True if the occurrence is due and all steps that the step depends on are done.
    bool isRunnable(std::size_t occurrence, std::size_t step, UnixMilliseconds now) const;
    /// Number of tasks of the step that are not done.
    std::size_t tasksLeft(std::size_t occurrence, std::size_t step) const;

    /// Records the end of a run. The caller removes the run from the task's runs.
    EndEffect recordEnd(const TaskId &id, std::int64_t run, RunEnd end,
                        const std::string &checkpoint);
    /// Records the run time of a task and returns the longest run time in its step so far.
    Milliseconds recordTaskTime(const TaskId &id, Milliseconds took);
    /// Positions of the tasks whose entries in `progress()` ends of runs have changed since the
    /// last call.
    std::vector<std::size_t> takeEndedTasks();
    /// Starts no more tasks. The caller stops the remaining runs.
    void cancel();
    bool hasRuns() const;

    /// Replaces the estimates of the steps by times learned for the queue.
    void setStepTimes(std::vector<StepTimes> times);
    const StepTimes &expected(std::size_t step) const;
    /// The work that is left in the first occurrence. A running task counts as half done.
    RemainingWork remainingWork() const;
    /// Latest completion time at which the job counts as on time.
    Instant objective() const;
    /// Latest completion time at which the job is still of use to its caller.
    Instant lateLimit() const;
    /// Expected time of the critical path through the steps that are not done.
    Milliseconds remainingPath() const;

    const std::string id;
    const JobSpec spec;
    QueueTerms terms;
    const std::string acceptedService; ///< as in its record
    const Instant acceptedAt;
    /// Services whose workers may have runs of its tasks, besides that of `terms`.
    std::set<std::string> formerServices;
    std::string customer; ///< whose key it came with; empty: none
    std::size_t customerNumber = noCustomer; ///< the customer's place in the configuration
    JobState state = JobState::Queued;
    /// True if its tasks may have runs that were not reported to this process yet.
    bool inherited = false;
    std::uint64_t changes = 0; ///< number of changes to the content of `progress()`
    std::uint64_t recordedChanges = 0; ///< number of these changes that are in the store

private:
    std::size_t positionOf(std::size_t occurrence, std::size_t step, std::size_t index) const;
    void markDone(std::size_t occurrence, std::size_t step, std::size_t index);

    void updatePathTimes();

    // Services besides that of the record in which its tasks may be started: all, and those that
    // the store knows.
    std::set<std::string> services;
    std::set<std::string> recordedServices;
    std::vector<StepTimes> stepTimes;
    // Position of a step's first task within its occurrence.
    std::vector<std::size_t> firstTaskOfStep;
    std::size_t occurrenceSize = 0;
    std::vector<Task> tasks; // by occurrence, step and index
    std::vector<std::size_t> endedTasks; // positions, since the last `takeEndedTasks`
    // Longest run time of the finished tasks, by occurrence and step.
    std::vector<Milliseconds> longestTaskTimes;
    // Number of tasks that are not done, by occurrence and step.
    std::vector<std::size_t> unfinishedTasks;
    std::size_t unfinishedSteps = 0; // over all occurrences: steps with a task that is not done
    Milliseconds fullPathTime{0}; // expected time of the critical path through all steps
    Milliseconds remainingPathTime{0}; // the same, through the steps with a task that is not done
};

} // namespace sassafrasferry::jobs
