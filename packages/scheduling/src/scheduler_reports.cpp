// Applies the reports of workers to jobs and runs.
#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::scheduling {

namespace {

// Maximum number of ends in one report. A full list may lack the end of a run that has ended.
constexpr std::size_t maxListedEnds = 500;

jobs::Run *findRun(jobs::Task &task, const std::string &worker, std::int64_t number)
{
    for (auto &run : task.runs) {
        if (run.worker == worker && run.number == number)
            return &run;
    }
    return nullptr;
}

} // namespace

// Only confirmed runs are known to have been in the incarnation that ended. Any other start may
// have reached the next incarnation or may still do so, so its task waits for a report from that
// one. A stop that the previous incarnation answered has no effect on the next.
void Scheduler::dropRunsOfIncarnation(Worker &worker, Instant now)
{
    std::vector<RunKey> gone;
    for (const auto &entry : worker.runs) {
        auto *job = this->findJob(entry.first.task.job);
        auto *task = job ? job->find(entry.first.task) : nullptr;
        auto *run = task ? findRun(*task, worker.listing.id, entry.first.number) : nullptr;
        if (!run || worker.unconfirmedRuns.count(entry.first) == 0) {
            gone.push_back(entry.first);
            continue;
        }
        if (run->evidence == jobs::RunEvidence::Accepted)
            continue;
        run->state = jobs::RunState::Unanswered;
        run->settledAt = Instant::max();
    }
    for (const auto &key : gone)
        this->dropUnreportedRun(worker, key, now);
}

void Scheduler::dropAllRuns(Worker &worker, Instant now)
{
    const auto runs = worker.runs;
    for (const auto &entry : runs)
        this->dropUnreportedRun(worker, entry.first, now);
}

// The worker carries out no call with a lower token any more. All its runs were ordered by such
// calls, so the report that shows this lists those that it has.
void Scheduler::settleFormerCalls(Worker &worker, Instant askedAt)
{
    for (const auto &entry : worker.runs) {
        auto *job = this->findJob(entry.first.task.job);
        auto *task = job ? job->find(entry.first.task) : nullptr;
        auto *run = task ? findRun(*task, worker.listing.id, entry.first.number) : nullptr;
        if (run)
            run->settledAt = std::min(run->settledAt, askedAt);
    }
}

// The run may have ended as done, and another leader may have acknowledged that.
void Scheduler::dropUnreportedRun(Worker &worker, const RunKey &key, Instant now)
{
    auto *job = this->findJob(key.task.job);
    if (auto *task = job ? job->find(key.task) : nullptr)
        task->unreportedEndAt = now;
    this->dropRun(worker, key, now);
}

void Scheduler::dropRun(Worker &worker, const RunKey &key, Instant now)
{
    worker.release(key);
    auto *job = this->findJob(key.task.job);
    auto *task = job ? job->find(key.task) : nullptr;
    if (!task)
        return;
    const auto removed = std::erase_if(task->runs, [&](const jobs::Run &run) {
        return run.worker == worker.listing.id && run.number == key.number;
    });
    if (removed != 0)
        task->idleSince = now;
    if (jobs::isFinal(job->state) && job->recordedChanges >= job->changes && !job->hasRuns()) {
        this->finished[job->id] = {job->state, job->customer};
        this->jobs.erase(key.task.job);
    }
}

void Scheduler::report(const WorkerReport &report, Instant askedAt, Instant now)
{
    const auto at = this->workerTable.find(report.worker);
    if (at == this->workerTable.end())
        return;
    auto &worker = at->second;
    const bool isOutdated = report.born == worker.listing.born && askedAt < worker.restartSeenAt;
    const bool isFormer = report.born != 0 && (report.born < worker.listing.born || isOutdated);
    if (worker.hasEnded || isFormer) {
        for (const auto &end : report.ended)
            this->applyFormerEnd(worker, end, now);
        return;
    }
    if (report.born != 0 && report.born != worker.listing.born) {
        this->nextIncarnationNamed(worker, EndEvidence::Report, now);
        worker.listing.born = report.born;
        worker.listedAt = askedAt;
    }
    worker.restartSeenAt = {};
    const bool isAfterRestart = worker.fence.isAfterRestart();
    if (worker.fence.answered(report.fence)) {
        this->settleFormerCalls(worker, askedAt);
        // Calls for the former incarnation may have granted a lease until now.
        if (isAfterRestart)
            worker.formerLeaseUntil = now + this->maxLeaseDuration(this->times.maxLease);
    }
    // A lease that an earlier leader granted before the worker learned of this one may last for a
    // full lease term.
    if (!worker.hasReported)
        worker.latestLeaseEnd = std::max(worker.latestLeaseEnd, report.clock + this->leaseTerm());
    worker.clock = report.clock;
    worker.clockAskedAt = askedAt;
    worker.clockReceivedAt = now;
    worker.lastAnswer = now;
    worker.answeredCallAt = std::max(worker.answeredCallAt, askedAt);
    worker.hasReported = true;
    worker.isIdentified |= report.born != 0;
    if (worker.isIdentified)
        this->endEarlierWorkers(worker, now);
    worker.canHaveUnlistedEnds = report.ended.size() >= maxListedEnds;
    if (worker.canHaveUnlistedEnds)
        worker.inheritedUntil =
            std::max(worker.inheritedUntil, now + this->maxLeaseDuration(this->times.workerLease));
    for (const auto &end : report.ended) {
        worker.lateCalls.startClosed({end.task, end.run});
        this->applyEnd(worker, end, now);
    }
    for (const auto &listed : report.running) {
        worker.lateCalls.startClosed({listed.task, listed.run});
        worker.unconfirmedRuns.erase({listed.task, listed.run});
        this->applyRunning(worker, listed, askedAt, now);
    }
    if (!worker.canHaveUnlistedEnds)
        this->dropMissingRuns(worker, report, askedAt, now);
    this->advanceRecordedEnds(worker);
}

// A worker may fail every run and still report itself healthy. Its failures are compared only with
// its own ends: a job that can't succeed fails on every worker, but only once on each.
void Scheduler::noteHealth(Worker &worker, const ListedEnd &end, Instant now)
{
    constexpr double newestWeight = 0.3;
    constexpr double maxFailureRate = 0.6;
    const bool failed = end.end == jobs::RunEnd::Failed;
    if (!failed && end.end != jobs::RunEnd::Done)
        return;
    worker.failureRate = worker.failureRate * (1 - newestWeight) + (failed ? newestWeight : 0);
    if (worker.failureRate < maxFailureRate || !this->mechanisms().has(Mechanism::FailingBackOff))
        return;
    worker.backOffUntil = now + this->times.failingBackOff;
    worker.failureRate = maxFailureRate / 2;
    this->note("worker-failing", worker.listing.id, "");
}

// Runs that resume from a checkpoint are left out: they say nothing about the time of a full run.
void Scheduler::noteRunTime(Job &job, const ListedEnd &end, const Worker &worker, Instant now)
{
    auto *task = job.find(end.task);
    const auto *run = task ? findRun(*task, worker.listing.id, end.run) : nullptr;
    const auto &step = job.spec.steps[end.task.step];
    if (!run || task->done || run->settledAt == Instant::max() || run->isResumed || step.lasting
        || end.end != jobs::RunEnd::Done)
        return;
    const auto took = std::chrono::duration_cast<jobs::Milliseconds>(now - run->settledAt);
    auto &models = this->runTimes[job.terms.queue];
    models.task.observe(step.estimate, took);
    const auto longest = job.recordTaskTime(end.task, took);
    if (job.tasksLeft(end.task.occurrence, end.task.step) == 1)
        models.step.observe(step.estimate, longest);
}

void Scheduler::applyEnd(Worker &worker, const ListedEnd &end, Instant now)
{
    if (end.number <= worker.endsSeen)
        return;
    worker.endsSeen = end.number;
    auto *job = this->findJob(end.task.job);
    if (!job) {
        this->holdOrphanEnd(worker, end, now);
        this->dropRun(worker, {end.task, end.run}, now);
        return;
    }
    if (auto *task = job->find(end.task)) {
        task->lastRun = std::max(task->lastRun, end.run);
        if (end.end == jobs::RunEnd::Failed)
            task->failedOn.push_back(worker.listing.id);
    }
    this->noteHealth(worker, end, now);
    this->noteRunTime(*job, end, worker, now);
    const auto effect = job->recordEnd(end.task, end.run, end.end, end.checkpoint);
    const auto changes = job->changes;
    switch (end.end) {
    case jobs::RunEnd::Done:
        ++this->counters.done;
        break;
    case jobs::RunEnd::Failed:
        ++this->counters.failed;
        break;
    case jobs::RunEnd::LeaseExpired:
        ++this->counters.lapsed;
        break;
    default:
        break;
    }
    this->note("end", jobs::toString(end.task),
               absl::StrCat("run=", end.run, " worker=", worker.listing.id,
                            " how=", std::string(model::nameOf(end.end))));
    if (effect != jobs::EndEffect::None)
        this->markDirty(*job);
    worker.pendingEnds.push_back({end.number, job->id, changes, Instant{}});
    this->dropRun(worker, {end.task, end.run}, now);
    job = this->findJob(end.task.job);
    if (job)
        this->stopObsoleteRuns(*job, end.task, effect);
}

// Stops other runs of a task that is done, and all runs of a job that has reached a final state.
void Scheduler::stopObsoleteRuns(Job &job, const TaskId &id, jobs::EndEffect effect)
{
    const auto *task = job.find(id);
    if (task && task->done) {
        for (const auto &run : task->runs)
            this->requestStop(run.worker, {id, run.number}, "task done");
    }
    if (effect == jobs::EndEffect::JobDone || effect == jobs::EndEffect::JobFailed)
        this->stopRunsOf(job, "job over");
}

// Applies an end from a report that was read after the worker's incarnation had ended. That a run
// was done or failed still holds, but the number of the end does not belong to the current
// incarnation's sequence.
void Scheduler::applyFormerEnd(Worker &worker, const ListedEnd &end, Instant now)
{
    auto *job = this->findJob(end.task.job);
    if (!job || (end.end != jobs::RunEnd::Done && end.end != jobs::RunEnd::Failed))
        return;
    const auto effect = job->recordEnd(end.task, end.run, end.end, "");
    if (effect == jobs::EndEffect::None)
        return;
    this->note("former-end", jobs::toString(end.task),
               absl::StrCat("run=", end.run, " worker=", worker.listing.id,
                            " how=", std::string(model::nameOf(end.end))));
    this->markDirty(*job);
    this->dropRun(worker, {end.task, end.run}, now);
    this->stopObsoleteRuns(*job, end.task, effect);
}

void Scheduler::applyRunning(Worker &worker, const ListedRun &listed, Instant askedAt, Instant now)
{
    auto *job = this->findJob(listed.task.job);
    auto *task = job ? job->find(listed.task) : nullptr;
    const RunKey key{listed.task, listed.run};
    this->noteIfExpired(key, worker.listing.id, now);
    if (!job)
        this->noteOrphan(listed.task.job, now);
    if (!task || task->done || jobs::isFinal(job->state)) {
        auto *run = task ? findRun(*task, worker.listing.id, listed.run) : nullptr;
        if (!run || now - run->stopAskedAt > minStopInterval)
            this->requestStop(worker.listing.id, key, "not wanted");
        if (!run)
            worker.reserve(key, task ? job->spec.steps[listed.task.step].footprint() : Resources{});
        return;
    }
    auto *run = findRun(*task, worker.listing.id, listed.run);
    if (!run && !task->runs.empty() && !job->spec.steps[listed.task.step].speculative) {
        this->note("second-run", jobs::toString(listed.task),
                   absl::StrCat("worker=", worker.listing.id, " run=", listed.run));
        this->requestStop(worker.listing.id, key, "second run");
        worker.reserve(key, job->spec.steps[listed.task.step].footprint());
        return;
    }
    if (!run) {
        const auto need = job->spec.steps[listed.task.step].footprint();
        jobs::Run adopted;
        adopted.worker = worker.listing.id;
        adopted.number = listed.run;
        adopted.state = jobs::RunState::Confirmed;
        adopted.orderedAt = now;
        adopted.isResumed = true;
        adopted.settledAt = askedAt;
        task->runs.push_back(adopted);
        task->lastRun = std::max(task->lastRun, listed.run);
        worker.runs[key] = need;
        worker.used += need;
        run = &task->runs.back();
        this->note("adopt", jobs::toString(listed.task),
                   absl::StrCat("worker=", worker.listing.id, " run=", listed.run));
    }
    if (run->state == jobs::RunState::Ordered || run->state == jobs::RunState::Unanswered) {
        run->state = jobs::RunState::Confirmed;
        run->settledAt = askedAt;
    }
    if (run->state == jobs::RunState::Stopping && now - run->stopAskedAt > minStopInterval)
        this->requestStop(worker.listing.id, key, "still running");
    run->evidence = jobs::RunEvidence::Listed;
    if (job->state == JobState::Queued)
        job->state = JobState::Running;
    if (listed.percent < 100)
        run->atWorkSince = Instant::max();
    else
        run->atWorkSince = std::min(run->atWorkSince, now);
    run->load = listed.load;
    if (!listed.checkpoint.empty())
        task->checkpoint = listed.checkpoint;
}

void Scheduler::dropMissingRuns(Worker &worker, const WorkerReport &report, Instant askedAt,
                                Instant now)
{
    std::set<RunKey> listed;
    for (const auto &run : report.running)
        listed.insert({run.task, run.run});
    std::vector<RunKey> gone;
    for (const auto &entry : worker.runs) {
        if (listed.count(entry.first) != 0)
            continue;
        auto *job = this->findJob(entry.first.task.job);
        auto *task = job ? job->find(entry.first.task) : nullptr;
        auto *run = task ? findRun(*task, worker.listing.id, entry.first.number) : nullptr;
        if (!run || run->settledAt <= askedAt) {
            gone.push_back(entry.first);
            continue;
        }
        // An unanswered start may still be carried out. An answered stop rules that out, so the
        // task waits for such an answer.
        const bool isOpen =
            run->state == jobs::RunState::Unanswered
            || (run->state == jobs::RunState::Ordered
                && now - run->orderedAt > this->times.orderTimeout)
            || (run->state == jobs::RunState::Stopping && now - run->stopAskedAt > minStopInterval);
        if (isOpen && run->orderedAt < askedAt)
            this->requestStop(worker.listing.id, entry.first, "unanswered start");
    }
    for (const auto &key : gone) {
        this->note("run-missing", jobs::toString(key.task),
                   absl::StrCat("run=", key.number, " worker=", worker.listing.id));
        this->dropUnreportedRun(worker, key, now);
    }
}

void Scheduler::advanceRecordedEnds(Worker &worker)
{
    while (!worker.pendingEnds.empty()) {
        const auto &end = worker.pendingEnds.front();
        const auto *job = this->findJob(end.job);
        if (job ? job->recordedChanges < end.change : worker.lastAnswer < end.heldUntil)
            break;
        worker.endsRecorded = end.number;
        worker.pendingEnds.pop_front();
    }
    this->setAwaitedJob(worker, worker.pendingEnds.empty() ? "" : worker.pendingEnds.front().job);
}

void Scheduler::advanceRecordedEnds(const std::set<std::string> &workers)
{
    for (const auto &id : workers) {
        if (auto *worker = this->findWorker(id))
            this->advanceRecordedEnds(*worker);
    }
}

void Scheduler::setAwaitedJob(Worker &worker, std::string job)
{
    if (worker.awaitedJob == job)
        return;
    if (const auto at = this->awaitingWorkers.find(worker.awaitedJob);
        at != this->awaitingWorkers.end()) {
        at->second.erase(worker.listing.id);
        if (at->second.empty())
            this->awaitingWorkers.erase(at);
    }
    worker.awaitedJob = std::move(job);
    if (!worker.awaitedJob.empty())
        this->awaitingWorkers[worker.awaitedJob].insert(worker.listing.id);
}

std::int64_t Scheduler::acknowledged(const std::string &id) const
{
    const auto at = this->workerTable.find(id);
    return at == this->workerTable.end() ? 0 : at->second.endsRecorded;
}

} // namespace sassafrasferry::scheduling
