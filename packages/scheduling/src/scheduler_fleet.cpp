// The scheduler's interface to fleet planning: evacuation of workers, starts that are withdrawn
// from them, and the load of services.
#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>

namespace sassafrasferry::scheduling {

namespace {

/// Prospect of the job with a worker for each of its tasks.
Prospect prospectOf(const Job &job, Instant now)
{
    const auto earliestEnd = now + job.remainingPath();
    if (earliestEnd <= job.objective())
        return Prospect::OnTime;
    return earliestEnd <= job.lateLimit() ? Prospect::Late : Prospect::Expired;
}

} // namespace

// A task counts as unavailable while it is stopping or starting, while its worker does not report
// it at its full share, and shortly after it first does, since the reported percentage is rounded
// up. A recent report is required, because otherwise the tasks of a silent worker would count as
// available until its lease expired. Counting more tasks as unavailable than the platform does is
// the safe side.
bool Scheduler::isAvailable(const jobs::Run &run, Instant now) const
{
    const auto worker = this->workerTable.find(run.worker);
    const bool hasRecentReport = worker != this->workerTable.end()
                                 && worker->second.hasAnsweredWithin(now, this->times.maxReportAge);
    return hasRecentReport && run.state == jobs::RunState::Confirmed && run.atWorkSince < now
           && now - run.atWorkSince > this->times.minReadyTime;
}

bool Scheduler::canEvict(Job &job, const TaskId &id, Instant now) const
{
    const auto &step = job.spec.steps[id.step];
    if (step.maxUnavailable == 0)
        return true;
    std::size_t unavailable = 0;
    for (std::size_t i = 0; i < step.count; ++i) {
        if (i == id.index)
            continue;
        const auto &runs = job.at(id.occurrence, id.step, i).runs;
        const bool hasAvailableRun =
            std::any_of(runs.begin(), runs.end(),
                        [&](const jobs::Run &run) { return this->isAvailable(run, now); });
        unavailable += hasAvailableRun ? 0 : 1;
    }
    return unavailable < step.maxUnavailable;
}

bool Scheduler::evacuate(const std::string &id, bool force, Instant now)
{
    auto *worker = this->findWorker(id);
    if (!worker)
        return true;
    worker->evacuating = true;
    for (const auto &entry : worker->runs) {
        const auto &key = entry.first;
        auto *job = this->findJob(key.task.job);
        auto *task = job ? job->find(key.task) : nullptr;
        if (!task)
            continue;
        for (auto &run : task->runs) {
            const bool isHere = run.worker == id && run.number == key.number;
            if (!isHere || run.state != jobs::RunState::Confirmed)
                continue;
            const auto &step = job->spec.steps[key.task.step];
            const bool canStop =
                step.lasting ? this->canEvict(*job, key.task, now) : (step.checkpointing || force);
            if (!canStop)
                continue;
            run.state = jobs::RunState::Stopping;
            run.stopAskedAt = now;
            this->requestStop(id, key, "evacuation");
        }
    }
    return worker->isEmpty(this->leasesKnownUntil(now));
}

void Scheduler::cancelEvacuation(const std::string &id)
{
    if (auto *worker = this->findWorker(id))
        worker->evacuating = false;
}

void Scheduler::holdVm(const std::string &vm)
{
    this->heldVms.insert(vm);
}

void Scheduler::releaseVm(const std::string &vm)
{
    this->heldVms.erase(vm);
}

bool Scheduler::isStaying(const Worker &worker) const
{
    return worker.listed && !worker.listing.draining && !worker.evacuating
           && this->heldVms.count(worker.listing.vm) == 0;
}

bool Scheduler::isStartWanted(const StartOrder &order) const
{
    const auto job = this->jobs.find(order.task.job);
    const auto worker = this->workerTable.find(order.worker);
    if (job == this->jobs.end() || worker == this->workerTable.end()
        || jobs::isFinal(job->second->state))
        return false;
    const auto *task = job->second->find(order.task);
    const bool isExpected =
        task && !task->done
        && std::any_of(task->runs.begin(), task->runs.end(), [&](const jobs::Run &run) {
               return run.worker == order.worker && run.number == order.run
                      && run.state == jobs::RunState::Ordered;
           });
    if (!isExpected)
        return false;
    const auto &called = worker->second;
    if (!called.fence.isSettled() || !called.lateCalls.canStart(order.fence))
        return false;
    const auto &listing = called.listing;
    return job->second->spec.steps[order.task.step].gang
           || (this->isStaying(called) && listing.service == this->serviceOf(*job->second));
}

bool Scheduler::isLasting(const TaskId &task)
{
    const auto *job = this->findJob(task.job);
    return job && task.step < job->spec.steps.size() && job->spec.steps[task.step].lasting;
}

bool Scheduler::hasLastingRuns(const Worker &worker)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(),
                       [&](const auto &entry) { return this->isLasting(entry.first.task); });
}

Instant Scheduler::expectedEmptyAt(const Worker &worker)
{
    Instant emptyAt{};
    for (const auto &entry : worker.runs) {
        const auto &id = entry.first.task;
        auto *job = this->findJob(id.job);
        const auto *task = job ? job->find(id) : nullptr;
        if (!task)
            continue;
        for (const auto &run : task->runs) {
            if (run.number == entry.first.number)
                emptyAt = std::max(emptyAt, run.orderedAt + job->expected(id.step).task);
        }
    }
    return emptyAt;
}

std::vector<Place> Scheduler::places(const std::string &service, Instant now)
{
    std::vector<Place> places;
    for (const auto &entry : this->workerTable) {
        const auto &worker = entry.second;
        if (worker.listing.service != service || !worker.listed || worker.listing.draining)
            continue;
        const bool isCurrent =
            worker.listing.vm.empty() || this->workerOf(worker.listing.vm) == &worker;
        if (!isCurrent)
            continue;
        Place place;
        place.vm = worker.listing.vm;
        place.capacity = worker.listing.capacity;
        place.room = worker.room();
        place.roomAfterEnds = worker.listing.capacity;
        place.labels = worker.listing.labels;
        place.takesWork = this->canTakeWork(worker, now);
        // A VM with an open order, or evacuated for a wave, is planned for already.
        place.canLeave = this->isStaying(worker);
        place.cordoned = worker.cordoned;
        for (const auto &run : worker.runs) {
            if (!this->isLasting(run.first.task))
                continue;
            place.roomAfterEnds -= run.second;
            place.canLeave = false;
        }
        places.push_back(std::move(place));
    }
    return places;
}

std::map<std::string, ServiceLoad> Scheduler::loads(Instant now, UnixMilliseconds unixNow)
{
    std::map<std::string, ServiceLoad> loads;
    auto usage = this->customerUsage(unixNow);
    for (const auto &entry : this->workerTable) {
        const auto &worker = entry.second;
        if (!this->takesWork(worker, now))
            continue;
        auto &load = loads[worker.listing.service];
        ++load.workers;
        load.room += worker.room();
        load.capacity += worker.listing.capacity;
    }
    for (auto &entry : this->jobs) {
        auto &job = *entry.second;
        if (jobs::isFinal(job.state))
            continue;
        auto &load = loads[this->serviceOf(job)];
        ++load.jobs;
        const auto prospect = prospectOf(job, now);
        if (prospect != Prospect::Expired && !job.spec.isLasting() && job.spec.repetitions == 0)
            load.servableSeconds += job.remainingWork().coreSeconds;
        const auto account = usage.accountOf(job.customerNumber);
        std::vector<PlaceNeed> waiting;
        const auto usedBefore = load.running;
        for (std::size_t occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
            for (std::size_t step = 0; step < job.spec.steps.size(); ++step)
                this->addLoad(load, waiting, job, occurrence, step, prospect, now, unixNow,
                              account);
        }
        for (auto &need : waiting) {
            need.isJobIdle = load.running == usedBefore;
            load.waiting.push_back(std::move(need));
        }
    }
    for (auto &entry : loads)
        sortNeeds(entry.second.waiting);
    return loads;
}

void Scheduler::addLoad(ServiceLoad &load, std::vector<PlaceNeed> &waiting, Job &job,
                        std::size_t occurrence, std::size_t step, Prospect prospect, Instant now,
                        UnixMilliseconds unixNow, CustomerUsage::Account account)
{
    const auto &spec = job.spec.steps[step];
    if (job.tasksLeft(occurrence, step) == 0)
        return;
    const bool isOpen = job.isRunnable(occurrence, step, unixNow);
    if (spec.lasting && spec.perVmLimit > 0)
        load.minWorkers =
            std::max(load.minWorkers, (spec.count + spec.perVmLimit - 1) / spec.perVmLimit);
    const auto need = spec.footprint();
    const auto coreSeconds =
        static_cast<double>(need.cpu) / 1000 * policy::seconds(Duration(job.expected(step).task));
    const bool canHaveUnreportedRuns = this->canHaveUnreportedRuns(job) && isOpen;
    std::size_t ready = 0;
    for (std::size_t i = 0; i < spec.count; ++i) {
        const auto &task = job.at(occurrence, step, i);
        if (task.done)
            continue;
        if (!task.runs.empty() || canHaveUnreportedRuns) {
            (spec.lasting ? load.lasting : load.running) += need;
            if (!spec.lasting && prospect != Prospect::OnTime)
                load.lateRunning += need;
        } else if (!isOpen) {
            load.laterSeconds += coreSeconds;
        } else if (!account.take(spec.need)) {
            load.capped += need;
        } else {
            load.ready += need;
            ++ready;
            load.hasStarvedTask |=
                spec.lasting && now - task.idleSince > this->times.starvationTime;
            load.readySeconds += coreSeconds;
            auto &seconds = prospect == Prospect::OnTime ? load.onTimeSeconds
                            : prospect == Prospect::Late ? load.lateSeconds
                                                         : load.expiredSeconds;
            seconds += coreSeconds;
        }
    }
    if (ready > 0 && !spec.lasting)
        waiting.push_back(
            {need, spec.gang ? spec.count : 1, spec.requiredLabel, spec.perVmLimit, false});
}

} // namespace sassafrasferry::scheduling
