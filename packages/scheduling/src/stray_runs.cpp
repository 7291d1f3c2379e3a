// Runs and ends of jobs that are not known yet: an earlier leader, which may order for a while
// after it has lost the lease, has read a job that this leader reads later.
#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>

namespace sassafrasferry::scheduling {

namespace {

// An accepted job is read within less, unless the store is slow.
constexpr auto strayWait = std::chrono::seconds(1);

// It has been asked to stop, so its task waits for its end.
jobs::Run strayRun(const Worker &worker, std::int64_t number)
{
    jobs::Run run;
    run.worker = worker.listing.id;
    run.number = number;
    run.state = jobs::RunState::Stopping;
    run.orderedAt = worker.lastAnswer;
    run.settledAt = worker.lastAnswer;
    run.evidence = jobs::RunEvidence::Listed;
    run.isResumed = true;
    run.stopAskedAt = worker.lastAnswer;
    return run;
}

/// Enters in the job what a worker has listed of it.
void attachStrayRuns(Job &job, Worker &worker)
{
    const RunKey first{{job.id, 0, 0, 0}, 0};
    for (auto at = worker.runs.lower_bound(first);
         at != worker.runs.end() && at->first.task.job == job.id; ++at) {
        const auto &key = at->first;
        auto *task = job.find(key.task);
        if (!task)
            continue;
        worker.used -= at->second;
        at->second = job.spec.steps[key.task.step].footprint();
        worker.used += at->second;
        task->runs.push_back(strayRun(worker, key.number));
        task->lastRun = std::max(task->lastRun, key.number);
    }
}

} // namespace

void Scheduler::noteStray(const std::string &job, Instant now)
{
    if (this->finished.count(job) == 0 && now <= this->tookOverAt + this->times.inheritedLease)
        this->strays[job];
}

void Scheduler::holdStrayEnd(Worker &worker, const ListedEnd &end, Instant now)
{
    const auto &job = end.task.job;
    this->noteStray(job, now);
    const auto stray = this->strays.find(job);
    const bool isStray = stray != this->strays.end();
    const bool counts = end.end == jobs::RunEnd::Done || end.end == jobs::RunEnd::Failed;
    if (isStray && counts)
        stray->second.push_back(end);
    worker.pendingEnds.push_back({end.number, job, 0, isStray ? now + strayWait : Instant{}});
}

void Scheduler::attachStrays(Job &job)
{
    const auto stray = this->strays.find(job.id);
    if (stray == this->strays.end())
        return;
    for (const auto &end : stray->second) {
        if (job.noteEnd(end.task, end.run, end.end, "") != jobs::EndEffect::None)
            this->markDirty(job);
    }
    this->strays.erase(stray);
    for (auto &entry : this->workerTable) {
        for (auto &end : entry.second.pendingEnds) {
            if (end.job == job.id)
                end.change = job.changes;
        }
        attachStrayRuns(job, entry.second);
    }
}

} // namespace sassafrasferry::scheduling
