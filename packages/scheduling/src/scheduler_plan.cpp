// Task placement: ranks the jobs of a service and chooses a worker for each task.
#include "job_ranking.h"
#include "scheduler_round.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::scheduling {

namespace {

// Weights in the score of a worker, in descending order: each outweighs those below it.
constexpr double failedWeight = 5000;
constexpr double dataRackWeight = 1000;
constexpr double gangRackWeight = 500;
constexpr double spreadVmWeight = 200;
constexpr double spreadRackWeight = 50;
constexpr double maintenanceWeight = 30;
constexpr double fitWeight = 10;
// Most workers reserved per round for higher-ranked tasks that found no room.
constexpr std::size_t maxReserved = 2;

std::size_t runsOfStep(const Worker &worker, const TaskId &step)
{
    std::size_t count = 0;
    const RunKey first{{step.job, step.occurrence, step.step, 0}, 0};
    for (auto at = worker.runs.lower_bound(first); at != worker.runs.end(); ++at) {
        const auto &task = at->first.task;
        if (task.job != step.job || task.occurrence != step.occurrence || task.step != step.step)
            break;
        ++count;
    }
    return count;
}

double cpuShare(const Resources &room, const Resources &capacity)
{
    return capacity.cpu > 0 ? static_cast<double>(room.cpu) / static_cast<double>(capacity.cpu) : 0;
}

} // namespace

bool Scheduler::takesWork(const Worker &worker, Instant now) const
{
    return !worker.cordoned && this->canTakeWork(worker, now);
}

bool Scheduler::canTakeWork(const Worker &worker, Instant now) const
{
    return this->isStaying(worker) && worker.hasReported && worker.fence.isSettled()
           && worker.hasAnsweredWithin(now, this->times.answerTimeout) && now >= worker.backOffUntil
           && now >= worker.fullUntil;
}

bool Scheduler::haveWorkersReported(const std::string &service, Instant now) const
{
    const auto knownUntil = this->leasesKnownUntil(now);
    const bool hasLeaseExpired = knownUntil > this->tookOverAt + this->times.inheritedLease;
    const auto isKnown = [&](const auto &entry) {
        const auto &worker = entry.second;
        return worker.listing.service != service || !worker.canHaveUnreportedRuns(knownUntil)
               || (hasLeaseExpired && !worker.canHaveUnlistedEnds
                   && knownUntil > worker.formerLeaseUntil);
    };
    return (hasLeaseExpired || this->allWorkersKnown)
           && std::all_of(this->workerTable.begin(), this->workerTable.end(), isKnown);
}

void Scheduler::noteIfReconciled(const std::string &service, Instant now)
{
    const bool wasReconciled = this->reconciledServices.count(service) != 0;
    if ((wasReconciled && this->reopenedServices.count(service) == 0)
        || !this->haveWorkersReported(service, now))
        return;
    this->reopenedServices.erase(service);
    if (!this->reconciledServices.insert(service).second)
        return;
    this->note("service-reconciled", service,
               absl::StrCat("after-ms=", (now - this->tookOverAt) / std::chrono::milliseconds(1)));
}

bool Scheduler::canHaveUnreportedRuns(const Job &job) const
{
    // A former leader that lives on may start new jobs, too, until the workers know this leader.
    if (!job.inherited && this->isSurveyOver)
        return false;
    const auto isOpen = [&](const std::string &service) {
        return this->reconciledServices.count(service) == 0
               || (job.inherited && this->reopenedServices.count(service) != 0);
    };
    return isOpen(this->serviceOf(job))
           || std::any_of(job.formerServices.begin(), job.formerServices.end(), isOpen);
}

bool Scheduler::canStartInService(Job &job)
{
    if (this->canHaveUnreportedRuns(job))
        return false;
    if (job.isServiceRecorded())
        return true;
    const auto changes = job.changes;
    job.addService();
    if (job.changes != changes) {
        this->note("service-added", job.id, absl::StrCat("service=", this->serviceOf(job)));
        this->markDirty(job);
    }
    return false;
}

bool Scheduler::canStart(const jobs::Task &task, Instant now) const
{
    return !task.done && task.runs.empty() && task.unreportedEndAt <= this->leasesKnownUntil(now);
}

Orders Scheduler::plan(Instant now, UnixMilliseconds unixNow)
{
    this->dropExpiredRuns(now);
    this->updateRackDemand(now);
    this->isSurveyOver = now >= this->tookOverAt + this->times.surveyTime;
    std::map<std::string, std::vector<Job *>> queues;
    std::set<std::string> formerServices;
    for (auto &entry : this->jobs) {
        auto &job = *entry.second;
        if (jobs::isFinal(job.state))
            continue;
        queues[this->serviceOf(job)].push_back(&job);
        formerServices.insert(job.formerServices.begin(), job.formerServices.end());
    }
    for (const auto &entry : queues)
        this->noteIfReconciled(entry.first, now);
    for (const auto &service : formerServices)
        this->noteIfReconciled(service, now);
    Round round{now, unixNow, {}, this->customerUsage(unixNow), {}, {}, {}, {}, {}};
    this->collectLateStarts(round);
    for (auto &entry : queues)
        this->planService(entry.first, entry.second, round);
    this->giveRequestedStops(now, round.orders);
    return std::move(round.orders);
}

Orders Scheduler::planStops(Instant now)
{
    this->dropExpiredRuns(now);
    Orders orders;
    this->giveRequestedStops(now, orders);
    return orders;
}

void Scheduler::giveRequestedStops(Instant now, Orders &orders)
{
    for (auto &stop : std::exchange(this->requestedStops, {})) {
        auto *job = this->findJob(stop.task.job);
        auto *task = job ? job->find(stop.task) : nullptr;
        if (task) {
            for (auto &run : task->runs) {
                if (run.worker == stop.worker && run.number == stop.run) {
                    run.state = jobs::RunState::Stopping;
                    run.stopAskedAt = now;
                }
            }
        }
        ++this->counters.stops;
        this->note(
            "stop", jobs::toString(stop.task),
            absl::StrCat("run=", stop.run, " worker=", stop.worker, " why=\"", stop.reason, "\""));
        orders.stops.push_back(std::move(stop));
    }
}

void Scheduler::planService(const std::string &service, std::vector<Job *> &queue, Round &round)
{
    round.workers.clear();
    round.reserved.clear();
    round.refused.clear();
    round.racks.clear();
    for (auto &entry : this->workerTable) {
        if (entry.second.listing.service == service && this->takesWork(entry.second, round.now))
            round.workers.push_back(&entry.second);
    }
    if (round.workers.empty())
        return;
    const auto rankedJobs =
        rankJobs(queue, round.workers, round.usage, this->mechanisms(), round.now);
    for (const auto &ranked : rankedJobs) {
        auto &job = *ranked.job;
        for (std::size_t occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
            for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
                if (job.tasksLeft(occurrence, step) == 0
                    || !job.isRunnable(occurrence, step, round.unixNow))
                    continue;
                if (job.spec.steps[step].gang)
                    this->planGang(job, occurrence, step, round);
                else
                    this->planStep(job, occurrence, step, round);
            }
        }
    }
}

void Scheduler::planStep(Job &job, std::size_t occurrence, std::size_t step, Round &round)
{
    const auto &spec = job.spec.steps[step];
    if (!this->canStartInService(job))
        return;
    // `choose` would find no worker for any of the tasks, so looking for one to start is in vain.
    if (!spec.lasting && round.wasRefused(spec.footprint()))
        return;
    const auto account = round.usage.accountOf(job.customerNumber);
    for (std::size_t i = 0; i < spec.count; ++i) {
        auto &task = job.at(occurrence, step, i);
        if (!this->canStart(task, round.now))
            continue;
        if (!account.hasRoom(spec.need))
            return;
        const TaskId id{job.id, occurrence, step, i};
        auto *worker = this->choose(job, task, id, round);
        if (const auto *only = round.onlyWorkerFor(id, spec); !worker && only) {
            this->waitForLateStart(task, id, *only, round.now);
            continue;
        }
        if (!worker) {
            // Reserve a worker; otherwise small tasks of lower-ranked jobs would take all room as
            // it becomes free.
            const bool reserves = this->mechanisms().has(Mechanism::Reservation);
            if (reserves && round.reserved.size() < maxReserved && spec.lasting) {
                const auto best = std::max_element(
                    round.workers.begin(), round.workers.end(),
                    [&](const Worker *a, const Worker *b) {
                        return std::make_pair(round.reserved.count(a) == 0, a->room().cpu)
                               < std::make_pair(round.reserved.count(b) == 0, b->room().cpu);
                    });
                round.reserved.insert(*best);
            }
            return;
        }
        if (!spec.dataRack.empty()) {
            if (worker->listing.rack != spec.dataRack && this->waitsForRack(job, task, id, round))
                continue;
            this->noteNearWaitOver(task, id, spec.dataRack, *worker, round.now);
        }
        this->start(job, id, *worker, round);
    }
}

void Scheduler::planGang(Job &job, std::size_t occurrence, std::size_t step, Round &round)
{
    const auto &spec = job.spec.steps[step];
    if (!this->canStartInService(job))
        return;
    std::int64_t number = this->runBase + 1;
    for (std::size_t i = 0; i < spec.count; ++i) {
        const auto &task = job.at(occurrence, step, i);
        if (!task.runs.empty() || task.unreportedEndAt > this->leasesKnownUntil(round.now))
            return;
        number = std::max(number, task.lastRun + 1);
    }
    if (!round.usage.accountOf(job.customerNumber).hasRoom(spec.need, spec.count))
        return;
    // All or none: members waiting for one that found no room would occupy theirs without working.
    struct Reservation
    {
        Worker *worker;
        RunKey key;
    };
    std::vector<Reservation> reservations;
    const auto need = spec.footprint();
    for (std::size_t i = 0; i < spec.count; ++i) {
        const RunKey key{{job.id, occurrence, step, i}, number};
        auto *worker = this->choose(job, job.at(occurrence, step, i), key.task, round);
        if (!worker)
            break;
        worker->runs[key] = need;
        worker->used += need;
        reservations.push_back({worker, key});
    }
    for (const auto &member : reservations) {
        member.worker->runs.erase(member.key);
        member.worker->used -= need;
    }
    if (reservations.size() < spec.count)
        return;
    for (const auto &member : reservations) {
        job.at(occurrence, step, member.key.task.index).lastRun = number - 1;
        this->start(job, member.key.task, *member.worker, round);
    }
}

Worker *Scheduler::choose(const Job &job, const jobs::Task &task, const TaskId &id, Round &round)
{
    const auto &spec = job.spec.steps[id.step];
    const auto need = spec.footprint();
    if (!spec.lasting && round.wasRefused(need))
        return nullptr;
    auto *onlyWorker = round.onlyWorkerFor(id, spec);
    // The task could wait for long at a worker that is only cordoned, so it goes there.
    const bool takesTask = onlyWorker && onlyWorker->listing.service == this->serviceOf(job)
                           && this->canTakeWork(*onlyWorker, round.now);
    const std::vector<Worker *> only(takesTask ? 1 : 0, onlyWorker);
    const TaskId firstTask{job.id, id.occurrence, id.step, 0};
    std::map<std::string, std::size_t> onRack;
    if (spec.lasting || spec.sameRack) {
        for (const auto *worker : round.workers)
            onRack[worker->listing.rack] += runsOfStep(*worker, firstTask);
    }
    const auto fit = this->mechanisms().has(Mechanism::BestFit) ? fitWeight : -fitWeight;
    const auto spread = this->mechanisms().has(Mechanism::RackSpread) ? spreadRackWeight : 0;
    Candidate best;
    for (auto *worker : onlyWorker ? only : round.workers) {
        if (round.reserved.count(worker) != 0 && !spec.lasting)
            continue;
        const auto room = worker->room();
        if (!need.fitsIn(room))
            continue;
        const auto &listing = worker->listing;
        const auto &labels = listing.labels;
        if (!spec.requiredLabel.empty()
            && std::find(labels.begin(), labels.end(), spec.requiredLabel) == labels.end())
            continue;
        const bool needsCount = spec.perVmLimit > 0 || spec.lasting;
        const auto runsHere = needsCount ? runsOfStep(*worker, firstTask) : 0;
        if (spec.perVmLimit > 0 && runsHere >= spec.perVmLimit)
            continue;
        double score = fit * (1 - cpuShare(room, listing.capacity));
        if (!spec.dataRack.empty() && listing.rack == spec.dataRack)
            score += dataRackWeight;
        if (spec.sameRack)
            score += gangRackWeight * static_cast<double>(onRack[listing.rack] > 0);
        // Spread the lasting tasks of a step, so that the loss of a rack or worker does not stop
        // all of them. Pack those of different jobs, since a VM with a lasting task can't be moved.
        if (spec.lasting)
            score = fit * (1 - cpuShare(room, listing.capacity))
                    - maintenanceWeight * static_cast<double>(worker->hasPendingMaintenance)
                    - spreadVmWeight * static_cast<double>(runsHere)
                    - spread * static_cast<double>(onRack[listing.rack]);
        // A faulty worker that fails every run would use up all attempts of a task.
        const auto &failedOn = task.failedOn;
        if (std::find(failedOn.begin(), failedOn.end(), listing.id) != failedOn.end())
            score -= failedWeight;
        if (!best.worker || score > best.score)
            best = {worker, score};
    }
    const bool isUnconstrained =
        !spec.lasting && spec.requiredLabel.empty() && spec.perVmLimit == 0 && !onlyWorker;
    if (!best.worker && isUnconstrained)
        round.refused.push_back(need);
    return best.worker;
}

void Scheduler::start(Job &job, const TaskId &id, Worker &worker, Round &round)
{
    auto &task = *job.find(id);
    const auto need = job.spec.steps[id.step].footprint();
    jobs::Run run;
    run.worker = worker.listing.id;
    run.number = std::max(task.lastRun, this->runBase) + 1;
    run.orderedAt = round.now;
    run.isResumed = !task.checkpoint.empty();
    if (task.lateStartWaitSince != Instant{})
        this->note(
            "late-start-wait-over", jobs::toString(id),
            absl::StrCat("worker=", worker.listing.id, " waited-ms=",
                         (round.now - task.lateStartWaitSince) / std::chrono::milliseconds(1)));
    task.lateStartWaitSince = {};
    task.lastRun = run.number;
    task.runs.push_back(run);
    worker.reserveUnconfirmed({id, run.number}, need);
    round.usage.accountOf(job.customerNumber).add(job.spec.steps[id.step].need);
    ++this->counters.starts;
    this->note(
        "start", jobs::toString(id),
        absl::StrCat("run=", run.number, " worker=", worker.listing.id, " room=", worker.room().cpu,
                     " left=", job.tasksLeft(id.occurrence, id.step), " born=", worker.listing.born,
                     " heard-ms=", (round.now - worker.lastAnswer) / std::chrono::milliseconds(1)));
    round.orders.starts.push_back({worker.listing.id, id, run.number, job.spec.payload,
                                   task.checkpoint, "", round.now + this->times.startExpiry});
}

} // namespace sassafrasferry::scheduling
