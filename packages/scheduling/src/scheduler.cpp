// The scheduler's jobs, from acceptance until their final state is in the store.
#include <sassafrasferry/scheduling/scheduler.h>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::scheduling {

Scheduler::Scheduler(SchedulerTimes times, std::int64_t runBase, Instant tookOverAt)
    : times(times)
    , runBase(runBase)
    , tookOverAt(tookOverAt)
{}

void Scheduler::setConfiguration(Configuration configuration)
{
    if (configuration.version < this->config.version)
        return;
    this->config = std::move(configuration);
    this->customerNumbers.clear();
    for (std::size_t i = 0; i < this->config.customers.size(); ++i)
        this->customerNumbers.emplace(this->config.customers[i].name, i);
    for (auto &entry : this->jobs) {
        auto &job = *entry.second;
        job.customerNumber = this->numberOf(job.customer);
        this->updateTerms(job);
    }
}

void Scheduler::updateTerms(Job &job) const
{
    const auto *queue = this->config.findQueue(job.terms.queue);
    if (!queue)
        return;
    if (queue->terms.service != job.terms.service)
        job.formerServices.insert(job.terms.service);
    job.terms = queue->terms;
}

const Configuration &Scheduler::configuration() const
{
    return this->config;
}

void Scheduler::addJob(std::unique_ptr<Job> job)
{
    if (this->jobs.count(job->id) != 0 || this->finished.count(job->id) != 0)
        return;
    if (jobs::isFinal(job->state) && job->changes == job->recordedChanges) {
        this->finished[job->id] = {job->state, job->customer};
        return;
    }
    this->updateTerms(*job);
    job->customerNumber = this->numberOf(job->customer);
    this->note("job", job->id,
               absl::StrCat("queue=", job->terms.queue, " service=", job->terms.service, " steps=",
                            job->spec.steps.size(), " tasks=", job->spec.tasksPerOccurrence(),
                            " lasting=", job->spec.isLasting() ? 1 : 0));
    this->expectTimes(*job);
    double work = 0;
    for (std::size_t i = 0; i < job->spec.steps.size(); ++i) {
        const auto &step = job->spec.steps[i];
        if (step.lasting)
            continue;
        const auto stepWork = static_cast<double>(step.count)
                              * static_cast<double>(step.footprint().cpu) / 1000
                              * policy::seconds(Duration(job->expected(i).task));
        work += stepWork;
        if (!step.dataRack.empty())
            this->rackArrivals[step.dataRack].coreSeconds += stepWork;
    }
    // Jobs of an earlier leader arrived before; what is left of them counts as running or ready.
    if (!job->inherited) {
        auto &arrived = this->arrivals[this->serviceOf(*job)];
        arrived.coreSeconds += work;
        arrived.jobs += job->spec.isLasting() ? 0 : 1;
    }
    this->attachOrphans(*job);
    this->jobs.emplace(job->id, std::move(job));
}

void Scheduler::expectTimes(Job &job) const
{
    const auto models = this->runTimes.find(job.terms.queue);
    if (models == this->runTimes.end())
        return;
    const bool learnsSizes = this->mechanisms().has(Mechanism::LearnedSizes);
    const bool learnsTimes = this->mechanisms().has(Mechanism::LearnedTimes);
    std::vector<jobs::StepTimes> times;
    for (const auto &step : job.spec.steps)
        times.push_back({learnsSizes ? models->second.task.mean(step.estimate) : step.estimate,
                         learnsTimes ? models->second.step.median(step.estimate) : step.estimate});
    job.setStepTimes(std::move(times));
}

bool Scheduler::cancelJob(const std::string &id)
{
    auto *job = this->findJob(id);
    if (!job || jobs::isFinal(job->state))
        return job != nullptr;
    job->cancel();
    this->note("cancel", id, "");
    this->markDirty(*job);
    this->stopRunsOf(*job, "cancelled");
    return true;
}

JobState Scheduler::stateOf(const std::string &id) const
{
    if (const auto at = this->finished.find(id); at != this->finished.end())
        return at->second.state;
    const auto at = this->jobs.find(id);
    if (at == this->jobs.end())
        return JobState::Unknown;
    const auto &job = *at->second;
    // A final state that is not in the store yet could be lost to the next leader, so callers don't
    // see it. A cancellation is in the store before this leader learns of it.
    const bool isRecorded = job.recordedChanges >= job.changes || job.state == JobState::Cancelled;
    if (jobs::isFinal(job.state) && !isRecorded)
        return JobState::Running;
    return job.state;
}

std::string Scheduler::customerOf(const std::string &id) const
{
    if (const auto at = this->finished.find(id); at != this->finished.end())
        return at->second.customer;
    const auto at = this->jobs.find(id);
    return at == this->jobs.end() ? std::string() : at->second->customer;
}

std::size_t Scheduler::pendingJobCount(const std::string &queue) const
{
    std::size_t count = 0;
    for (const auto &entry : this->jobs) {
        const auto &job = *entry.second;
        if (job.terms.queue == queue && job.state == JobState::Queued && job.spec.repetitions == 0)
            ++count;
    }
    return count;
}

Job *Scheduler::findJob(const std::string &id)
{
    const auto at = this->jobs.find(id);
    return at == this->jobs.end() ? nullptr : at->second.get();
}

std::size_t Scheduler::jobCount() const
{
    return this->jobs.size();
}

void Scheduler::markDirty(Job &job)
{
    this->dirty.insert(job.id);
}

bool Scheduler::hasDirty() const
{
    return !this->dirty.empty();
}

void Scheduler::notRecorded(const DirtyJob &row)
{
    if (auto *job = this->findJob(row.id))
        this->markDirty(*job);
}

void Scheduler::recorded(const DirtyJob &row)
{
    auto *job = this->findJob(row.id);
    if (!job)
        return;
    job->recordedChanges = std::max(job->recordedChanges, row.changes);
    job->servicesRecorded(row.row);
    const bool isEndRecorded = jobs::isFinal(job->state) && job->recordedChanges >= job->changes;
    if (isEndRecorded)
        this->note("job-end", job->id,
                   absl::StrCat("state=", std::string(model::nameOf(job->state))));
    if (isEndRecorded && !job->hasRuns()) {
        this->finished[job->id] = {job->state, job->customer};
        this->jobs.erase(job->id);
    }
    // A worker that waits for another job is not affected, unless that job was just added.
    if (const auto awaiting = this->awaitingWorkers.find(row.id);
        awaiting != this->awaitingWorkers.end())
        this->advanceRecordedEnds(std::set<std::string>(awaiting->second));
    this->advanceRecordedEnds(std::exchange(this->attachedWorkers, {}));
}

void Scheduler::stopRunsOf(Job &job, const std::string &reason)
{
    for (std::size_t occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            for (std::size_t i = 0; i < job.spec.steps[step].count; ++i) {
                for (const auto &run : job.at(occurrence, step, i).runs)
                    this->requestStop(run.worker, {{job.id, occurrence, step, i}, run.number},
                                      reason);
            }
        }
    }
}

void Scheduler::requestStop(const std::string &worker, const RunKey &run, std::string reason)
{
    this->requestedStops.push_back({worker, run.task, run.number, std::move(reason)});
}

void Scheduler::note(std::string event, std::string subject, std::string detail)
{
    this->notes.push_back({std::move(event), std::move(subject), std::move(detail)});
}

std::map<std::string, Arrivals> Scheduler::takeArrivals()
{
    return std::exchange(this->arrivals, {});
}

std::vector<DecisionNote> Scheduler::takeNotes()
{
    return std::exchange(this->notes, {});
}

const MechanismSet &Scheduler::mechanisms() const
{
    return this->times.mechanisms;
}

const SchedulerCounts &Scheduler::counts() const
{
    return this->counters;
}

const std::string &Scheduler::serviceOf(const Job &job) const
{
    return job.terms.service;
}

} // namespace sassafrasferry::scheduling
