// Orphans: runs and ends of jobs that this leader does not know yet. They come about because an
// earlier leader, which may send orders for a while after it has lost the lease, has read a job
// from the store before this leader does.
#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>

namespace sassafrasferry::scheduling {

namespace {

// How long the end of an unknown job stays unacknowledged. An accepted job is read from the store
// sooner, unless the store is slow.
constexpr auto orphanEndHold = std::chrono::seconds(1);

// The run was already asked to stop; its task waits for the run's end.
jobs::Run orphanRun(const Worker &worker, std::int64_t number)
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

/// Adds the runs of a job that a worker has reported to the job.
void attachOrphanRuns(Job &job, Worker &worker)
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
        task->runs.push_back(orphanRun(worker, key.number));
        task->lastRun = std::max(task->lastRun, key.number);
    }
}

} // namespace

void Scheduler::noteOrphan(const std::string &job, Instant now)
{
    if (this->finished.count(job) == 0 && now <= this->tookOverAt + this->times.inheritedLease)
        this->orphans[job];
}

void Scheduler::holdOrphanEnd(Worker &worker, const ListedEnd &end, Instant now)
{
    const auto &job = end.task.job;
    this->noteOrphan(job, now);
    const auto orphan = this->orphans.find(job);
    const bool isOrphan = orphan != this->orphans.end();
    const bool counts = end.end == jobs::RunEnd::Done || end.end == jobs::RunEnd::Failed;
    if (isOrphan && counts)
        orphan->second.push_back(end);
    worker.pendingEnds.push_back({end.number, job, 0, isOrphan ? now + orphanEndHold : Instant{}});
}

void Scheduler::attachOrphans(Job &job)
{
    const auto orphan = this->orphans.find(job.id);
    if (orphan == this->orphans.end())
        return;
    for (const auto &end : orphan->second) {
        if (job.recordEnd(end.task, end.run, end.end, "") != jobs::EndEffect::None)
            this->markDirty(job);
    }
    this->orphans.erase(orphan);
    for (auto &entry : this->workerTable) {
        for (auto &end : entry.second.pendingEnds) {
            if (end.job == job.id)
                end.change = job.changes;
        }
        if (entry.second.awaitedJob == job.id)
            this->attachedWorkers.insert(entry.first);
        attachOrphanRuns(job, entry.second);
    }
}

} // namespace sassafrasferry::scheduling
