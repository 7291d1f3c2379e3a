// What workers say, and what follows from their silence.
#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::scheduling {

namespace {

// A worker lists this many ends at once; a list that is full may lack the end of a run.
constexpr std::size_t mostListedEnds = 500;
// A stop without an answer is sent again after this.
constexpr auto stopRetry = std::chrono::milliseconds(700);

jobs::Run *findRun(jobs::Task &task, const std::string &worker, std::int64_t number)
{
    for (auto &run : task.runs) {
        if (run.worker == worker && run.number == number)
            return &run;
    }
    return nullptr;
}

} // namespace

// A VM is one worker at a time. An entry of an earlier life may still stand, or come late; taken
// for the present one, its VM would seem to run nothing.
bool Scheduler::isPresentLife(const WorkerListing &listing, Instant now)
{
    if (listing.vm.empty())
        return true;
    auto &present = this->lives[listing.vm];
    if (present == listing.id)
        return true;
    auto *known = this->findWorker(present);
    if (known && known->listing.born > listing.born)
        return false;
    if (known) {
        this->endWorker(present, now);
    }
    present = listing.id;
    return true;
}

void Scheduler::listWorker(const WorkerListing &listing, Instant now)
{
    if (!this->isPresentLife(listing, now))
        return;
    auto &worker = this->workerTable[listing.id];
    if (listing.born < worker.listing.born)
        return;
    if (listing.born != worker.listing.born && worker.listing.born != 0)
        this->lifeEnded(listing.id, now);
    const bool isNew = worker.listing.born == 0;
    // A life that began after the takeover runs nothing of earlier leaders; but clocks differ, so
    // only a life that is new to this leader's list counts as such.
    if (isNew && worker.inheritedUntil == Instant{})
        worker.inheritedUntil =
            this->allWorkersKnown ? now : this->tookOverAt + this->times.inheritedLease;
    const bool wasDraining = worker.listing.draining;
    worker.listing = listing;
    worker.listed = !worker.over;
    if (isNew || wasDraining != listing.draining) {
        this->note("worker", listing.id,
                   absl::StrCat("service=", listing.service, " draining=", listing.draining ? 1 : 0,
                                " cpu=", listing.capacity.cpu, " rack=", listing.rack));
    }
}

void Scheduler::unlistWorker(const std::string &id)
{
    const auto at = this->workerTable.find(id);
    if (at == this->workerTable.end())
        return;
    at->second.listed = false;
    this->note("worker-unlisted", id, absl::StrCat("runs=", at->second.runs.size()));
}

void Scheduler::expectWorker(const std::string &id, const std::string &service)
{
    if (this->workerTable.count(id) != 0)
        return;
    auto &worker = this->workerTable[id];
    worker.listing.id = id;
    worker.listing.service = service;
    worker.listed = false;
    worker.inheritedUntil = this->tookOverAt + this->times.inheritedLease;
    this->note("worker-expected", id, absl::StrCat("service=", service));
}

void Scheduler::knowsAllWorkers()
{
    this->allWorkersKnown = true;
}

void Scheduler::lifeEnded(const std::string &id, Instant now)
{
    const auto at = this->workerTable.find(id);
    if (at == this->workerTable.end())
        return;
    auto &worker = at->second;
    this->note("worker-ended", id, absl::StrCat("runs=", worker.runs.size()));
    // Starts may be on their way to the next life.
    worker.inheritedUntil = this->surelyDeadAt(worker);
    this->dropAllRuns(worker, now);
    worker.surveyed = false;
    worker.clock = 0;
    worker.lastUntil = 0;
    worker.endsSeen = 0;
    worker.endsRecorded = 0;
    worker.pendingEnds.clear();
}

void Scheduler::endWorker(const std::string &id, Instant now)
{
    auto *worker = this->findWorker(id);
    if (!worker || worker->over)
        return;
    this->lifeEnded(id, now);
    worker->listed = false;
    worker->over = true;
}

void Scheduler::forgetWorkers(Instant now)
{
    std::erase_if(this->workerTable, [&](const auto &entry) {
        const auto &worker = entry.second;
        const bool isUnheard = now - worker.lastAnswer > this->times.workerMemory
                               && now - this->tookOverAt > this->times.workerMemory;
        return !worker.listed && worker.runs.empty() && now > worker.inheritedUntil
               && (worker.over || isUnheard);
    });
}

std::size_t Scheduler::listedWorkers() const
{
    return static_cast<std::size_t>(
        std::count_if(this->workerTable.begin(), this->workerTable.end(),
                      [](const auto &entry) { return entry.second.listed; }));
}

// A start that is still on its way may reach the worker's next life: such a run stays until a
// report settles it.
void Scheduler::dropAllRuns(Worker &worker, Instant now)
{
    std::vector<RunKey> gone;
    for (const auto &entry : worker.runs) {
        auto *job = this->findJob(entry.first.task.job);
        auto *task = job ? job->find(entry.first.task) : nullptr;
        auto *run = task ? findRun(*task, worker.listing.id, entry.first.number) : nullptr;
        if (run
            && (run->state == jobs::RunState::Ordered || run->state == jobs::RunState::Unanswered))
            continue;
        gone.push_back(entry.first);
    }
    for (const auto &key : gone)
        this->dropRun(worker, key, now);
}

void Scheduler::dropRun(Worker &worker, const RunKey &key, Instant now)
{
    const auto at = worker.runs.find(key);
    if (at != worker.runs.end()) {
        worker.used -= at->second;
        worker.runs.erase(at);
    }
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
        this->finished[job->id] = job->state;
        this->jobs.erase(key.task.job);
    }
}

void Scheduler::report(const WorkerReport &report, Instant askedAt, Instant now)
{
    const auto at = this->workerTable.find(report.worker);
    if (at == this->workerTable.end())
        return;
    auto &worker = at->second;
    if (report.born != 0 && report.born != worker.listing.born) {
        if (report.born < worker.listing.born)
            return;
        this->lifeEnded(report.worker, now);
        worker.listing.born = report.born;
    }
    worker.clock = report.clock;
    worker.clockAt = now;
    worker.lastAnswer = now;
    worker.surveyed = true;
    for (const auto &end : report.ended)
        this->takeEnd(worker, end, now);
    for (const auto &listed : report.running)
        this->takeRunning(worker, listed, askedAt, now);
    if (report.ended.size() < mostListedEnds)
        this->dropMissingRuns(worker, report, askedAt, now);
    this->settleEnds(worker);
}

// A worker may fail whatever it starts and look sound otherwise. Its failures are compared with its
// own ends only: a job that can't be done fails on every worker, and fails on each of them once.
void Scheduler::noteHealth(Worker &worker, const ListedEnd &end, Instant now)
{
    constexpr double newest = 0.3;
    constexpr double most = 0.6;
    const bool failed = end.end == jobs::RunEnd::Failed;
    if (!failed && end.end != jobs::RunEnd::Done)
        return;
    worker.failing = worker.failing * (1 - newest) + (failed ? newest : 0);
    if (worker.failing < most)
        return;
    worker.backOffUntil = now + this->times.failingBackOff;
    worker.failing = most / 2;
    this->note("worker-failing", worker.listing.id, "");
}

void Scheduler::takeEnd(Worker &worker, const ListedEnd &end, Instant now)
{
    if (end.number <= worker.endsSeen)
        return;
    worker.endsSeen = end.number;
    auto *job = this->findJob(end.task.job);
    if (!job) {
        worker.pendingEnds.push_back({end.number, "", 0});
        this->dropRun(worker, {end.task, end.run}, now);
        return;
    }
    if (auto *task = job->find(end.task)) {
        task->lastRun = std::max(task->lastRun, end.run);
        if (end.end == jobs::RunEnd::Failed)
            task->failedOn.push_back(worker.listing.id);
    }
    this->noteHealth(worker, end, now);
    const auto effect = job->noteEnd(end.task, end.run, end.end, end.checkpoint);
    const auto changes = job->changes;
    switch (end.end) {
    case jobs::RunEnd::Done:
        ++this->counters.done;
        break;
    case jobs::RunEnd::Failed:
        ++this->counters.failed;
        break;
    case jobs::RunEnd::Lapsed:
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
    worker.pendingEnds.push_back({end.number, job->id, changes});
    this->dropRun(worker, {end.task, end.run}, now);
    job = this->findJob(end.task.job);
    if (!job)
        return;
    const bool isOver = effect == jobs::EndEffect::JobDone || effect == jobs::EndEffect::JobFailed;
    auto *task = job->find(end.task);
    // Copies of a task that is done, and all that is left of a job that is over.
    if (task && task->done) {
        for (const auto &run : task->runs)
            this->requestStop(run.worker, {end.task, run.number}, "task done");
    }
    if (isOver)
        this->stopRunsOf(*job, "job over");
}

void Scheduler::takeRunning(Worker &worker, const ListedRun &listed, Instant askedAt, Instant now)
{
    auto *job = this->findJob(listed.task.job);
    auto *task = job ? job->find(listed.task) : nullptr;
    const RunKey key{listed.task, listed.run};
    if (!task || task->done || jobs::isFinal(job->state)) {
        auto *run = task ? findRun(*task, worker.listing.id, listed.run) : nullptr;
        if (!run || now - run->stopAskedAt > stopRetry)
            this->requestStop(worker.listing.id, key, "not wanted");
        if (!run && worker.runs.count(key) == 0) {
            // It takes room until its end is listed.
            const auto need = task ? job->spec.steps[listed.task.step].footprint() : Resources{};
            worker.runs[key] = need;
            worker.used += need;
        }
        return;
    }
    auto *run = findRun(*task, worker.listing.id, listed.run);
    if (!run && !task->runs.empty() && !job->spec.steps[listed.task.step].speculative) {
        this->note("second-run", jobs::toString(listed.task),
                   absl::StrCat("worker=", worker.listing.id, " run=", listed.run));
        this->requestStop(worker.listing.id, key, "second run");
        return;
    }
    if (!run) {
        const auto need = job->spec.steps[listed.task.step].footprint();
        jobs::Run adopted;
        adopted.worker = worker.listing.id;
        adopted.number = listed.run;
        adopted.state = jobs::RunState::Confirmed;
        adopted.orderedAt = now;
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
    if (run->state == jobs::RunState::Stopping && now - run->stopAskedAt > stopRetry)
        this->requestStop(worker.listing.id, key, "still running");
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
        // A start without an answer may still be carried out. A stop that the worker has answered
        // rules that out, so the task waits for that.
        const bool isOpen =
            run->state == jobs::RunState::Unanswered
            || (run->state == jobs::RunState::Ordered
                && now - run->orderedAt > this->times.longestOrder)
            || (run->state == jobs::RunState::Stopping && now - run->stopAskedAt > stopRetry);
        if (isOpen && run->orderedAt < askedAt)
            this->requestStop(worker.listing.id, entry.first, "unanswered start");
    }
    for (const auto &key : gone)
        this->dropRun(worker, key, now);
}

void Scheduler::settleEnds(Worker &worker)
{
    while (!worker.pendingEnds.empty()) {
        const auto &end = worker.pendingEnds.front();
        const auto *job = this->findJob(end.job);
        if (job && job->recordedChanges < end.change)
            break;
        worker.endsRecorded = end.number;
        worker.pendingEnds.pop_front();
    }
}

std::int64_t Scheduler::acknowledged(const std::string &id) const
{
    const auto at = this->workerTable.find(id);
    return at == this->workerTable.end() ? 0 : at->second.endsRecorded;
}

std::optional<std::int64_t> Scheduler::leaseUntil(const std::string &id, Instant now)
{
    auto *worker = this->findWorker(id);
    // A worker that has fallen silent gets no longer lease: each would have to be waited out, since
    // it may have arrived.
    if (!worker || worker->clock == 0 || now - worker->lastAnswer > 3 * this->times.silence)
        return std::nullopt;
    const auto passed =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - worker->clockAt).count();
    const auto term =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->times.workerLease).count();
    const auto until = worker->clock + passed + term;
    worker->lastUntil = std::max(worker->lastUntil, until);
    return until;
}

Instant Scheduler::surelyDeadAt(const Worker &worker) const
{
    if (!worker.surveyed || worker.clock == 0)
        return worker.inheritedUntil;
    const auto lease = std::chrono::milliseconds(worker.lastUntil - worker.clock);
    const auto slowest = policy::fromSeconds(policy::seconds(lease) * (1 + this->times.clockDrift));
    return worker.clockAt + std::max(slowest, Duration::zero()) + this->times.leaseMargin;
}

// The lease that comes with a start is not known before it is sent.
bool Scheduler::isOnItsWay(const RunKey &key, Instant now)
{
    auto *job = this->findJob(key.task.job);
    auto *task = job ? job->find(key.task) : nullptr;
    return task && std::any_of(task->runs.begin(), task->runs.end(), [&](const jobs::Run &run) {
               return run.number == key.number && run.state == jobs::RunState::Ordered
                      && now - run.orderedAt <= this->times.longestOrder;
           });
}

void Scheduler::writeOffSilent(Instant now)
{
    for (auto &entry : this->workerTable) {
        auto &worker = entry.second;
        if (worker.runs.empty() || now <= this->surelyDeadAt(worker))
            continue;
        this->note("worker-lapsed", entry.first, absl::StrCat("runs=", worker.runs.size()));
        std::vector<RunKey> keys;
        for (const auto &run : worker.runs) {
            if (!this->isOnItsWay(run.first, now))
                keys.push_back(run.first);
        }
        for (const auto &key : keys)
            this->dropRun(worker, key, now);
    }
}

const std::map<std::string, Worker> &Scheduler::workers() const
{
    return this->workerTable;
}

Worker *Scheduler::workerOf(const std::string &vm)
{
    const auto at = this->lives.find(vm);
    auto *worker = at == this->lives.end() ? nullptr : this->findWorker(at->second);
    return worker && worker->listed ? worker : nullptr;
}

Worker *Scheduler::findWorker(const std::string &id)
{
    const auto at = this->workerTable.find(id);
    return at == this->workerTable.end() ? nullptr : &at->second;
}

} // namespace sassafrasferry::scheduling
