// A job under way: its tasks, their runs, and the states that all of them may take.
#pragma once

#include <sassafrasferry/jobs/job_spec.h>
#include <sassafrasferry/jobs/task_id.h>
#include <sassafrasferry/model/names.h>
#include <sassafrasferry/policy/time.h>

#include <array>
#include <optional>

namespace sassafrasferry::jobs {

using policy::Duration;
using policy::Instant;
using policy::UnixMilliseconds;

/// Where a job stands. The numbers are kept in rows of the store.
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

/// How a worker says that a run ended.
enum class RunEnd {
    Done,
    Failed, ///< by its own fault or the worker's
    Stopped,
    Lapsed, ///< the worker's lease ended
    Broken, ///< another member of its gang ended
    Alone, ///< the other members of its gang did not come
};

constexpr auto enumNames(RunEnd)
{
    return std::array{
        model::EnumName{RunEnd::Done, "done"},       model::EnumName{RunEnd::Failed, "failed"},
        model::EnumName{RunEnd::Stopped, "stopped"}, model::EnumName{RunEnd::Lapsed, "lapsed"},
        model::EnumName{RunEnd::Broken, "broken"},   model::EnumName{RunEnd::Alone, "alone"},
    };
}

/// What is known of a run.
enum class RunState {
    Ordered, ///< the start was sent, its answer is awaited
    Unanswered, ///< the start got no answer: it may run, or may start later
    Confirmed, ///< the worker has it
    Stopping, ///< a stop was sent
};

/// What a worker has said of a run. An answer to a start does not tell which incarnation of the
/// worker gave it; a report does.
enum class RunEvidence {
    None, ///< its start may still be on its way
    Accepted, ///< its start was carried out, by some incarnation
    Listed, ///< it was in a report of the incarnation that the leader knows
};

/// One start of a task on a worker.
struct Run
{
    std::string worker;
    std::int64_t number = 0;
    RunState state = RunState::Ordered;
    Instant orderedAt{};
    /// Since when the worker must list it: a report asked for later that lacks it, and its end,
    /// proves that it is not there and never will be.
    Instant settledAt = Instant::max();
    RunEvidence evidence = RunEvidence::None;
    bool isResumed = false; ///< began at a checkpoint, or was not begun by this process
    Instant stopAskedAt{}; ///< when a stop was last ordered
    Instant atWorkSince = Instant::max(); ///< of a lasting task: reported at its full share
    int pace = 100; ///< percent of its full speed that was last ordered
    std::int64_t load = 0; ///< as the worker says: tail in milliseconds if it serves
    Instant overTargetSince = Instant::max(); ///< of a serving task whose tail is too long
};

/// A task of a job. At most one run, but for copies of a speculative step.
struct Task
{
    bool done = false;
    /// Runs that count among its attempts. By number, since an end may be listed again to another
    /// leader, and the ends of one task may come from several workers in any order.
    std::vector<std::int64_t> failedRuns;
    std::int64_t lastRun = 0; ///< highest run number given out
    std::vector<std::string> failedOn; ///< workers on which a run of it failed
    std::string checkpoint; ///< where the next run goes on; empty: from the start
    std::vector<Run> runs;
    Instant idleSince{}; ///< when it last had no run at work; for lasting tasks
};

/// Where a job's tasks may run and how it counts.
struct QueueTerms
{
    std::string queue;
    std::string service;
    std::int64_t priority = 0; ///< 0 comes first
    std::uint32_t maxAttempts = 1;
    double stretch = 1; ///< the aim is this many times the longest chain, and
    Milliseconds target{0}; ///< this much more
};

/// What a step is expected to take.
struct StepTimes
{
    Milliseconds task{0}; ///< one of its tasks, on average
    Milliseconds step{0}; ///< its longest task
};

/// What an end did to its job.
enum class EndEffect {
    None, ///< nothing that a new leader would need to know
    Recorded, ///< a failure or a checkpoint
    TaskDone,
    JobDone,
    JobFailed,
};

/// A job under way.
class Job
{
public:
    Job(std::string id, JobSpec spec, QueueTerms terms, Instant acceptedAt);

    /// Takes over what its row of progress holds.
    void restore(const messages::JobProgress &progress);
    messages::JobProgress progress() const;

    /// The task, or nullptr if the job has none such.
    Task *find(const TaskId &id);
    Task &at(std::size_t occurrence, std::size_t step, std::size_t index);
    /// True once all steps before it are done, in an occurrence that is due.
    bool isOpen(std::size_t occurrence, std::size_t step, UnixMilliseconds now) const;
    /// Tasks of a step that are not done.
    std::size_t tasksLeft(std::size_t occurrence, std::size_t step) const;

    /// Notes the end of a run that is no longer among the task's runs.
    EndEffect noteEnd(const TaskId &id, std::int64_t run, RunEnd end,
                      const std::string &checkpoint);
    /// A task took so long; returns the longest of its step.
    Milliseconds noteTook(const TaskId &id, Milliseconds took);
    /// No task is started any more; the runs are left to be stopped.
    void cancel();
    bool hasRuns() const;

    /// Replaces the estimates of its steps by what is known of their queue.
    void expect(std::vector<StepTimes> times);
    const StepTimes &expected(std::size_t step) const;
    /// When it is on time at the latest.
    Instant objective() const;
    /// The longest chain of work that is left.
    Milliseconds chainLeft() const;

    const std::string id;
    const JobSpec spec;
    QueueTerms terms;
    const Instant acceptedAt;
    JobState state = JobState::Queued;
    /// True if its tasks may have runs that this process has not been told of.
    bool inherited = false;
    std::uint64_t changes = 0; ///< changes of what `progress()` holds
    std::uint64_t recordedChanges = 0; ///< those that are in the store

private:
    std::size_t placeOf(std::size_t occurrence, std::size_t step, std::size_t index) const;
    void markDone(std::size_t occurrence, std::size_t step, std::size_t index);

    void measureChains();

    std::vector<StepTimes> stepTimes;
    std::vector<std::size_t> firstOfStep; // place of a step's first task in its occurrence
    std::size_t perOccurrence = 0;
    std::vector<Task> tasks; // by occurrence, step and index
    std::vector<Milliseconds> longestTook; // of the tasks that are done, by occurrence and step
    std::vector<std::size_t> left; // not done, by occurrence and step
    std::size_t stepsLeft = 0; // with a task that is not done
    Milliseconds wholeChain{0}; // of all steps
    Milliseconds openChain{0}; // of the steps with a task that is not done
};

} // namespace sassafrasferry::jobs
