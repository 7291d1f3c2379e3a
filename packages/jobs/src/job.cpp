// State transitions of a job and its tasks, and their stored form.
#include <sassafrasferry/jobs/job.h>

#include <algorithm>
#include <utility>

namespace sassafrasferry::jobs {

Job::Job(std::string id, JobSpec jobSpec, QueueTerms terms, Instant acceptedAt)
    : id(std::move(id))
    , spec(std::move(jobSpec))
    , terms(std::move(terms))
    , acceptedService(this->terms.service)
    , acceptedAt(acceptedAt)
{
    for (const auto &step : this->spec.steps) {
        this->firstTaskOfStep.push_back(this->occurrenceSize);
        this->occurrenceSize += step.count;
        this->stepTimes.push_back({step.estimate, step.estimate});
    }
    const auto occurrences = this->spec.occurrences();
    this->tasks.resize(this->occurrenceSize * occurrences);
    for (std::size_t i = 0; i < occurrences; ++i) {
        for (const auto &step : this->spec.steps)
            this->unfinishedTasks.push_back(step.count);
    }
    this->unfinishedSteps = this->unfinishedTasks.size();
    this->longestTaskTimes.resize(this->unfinishedTasks.size());
    this->updatePathTimes();
    for (auto &task : this->tasks)
        task.idleSince = acceptedAt;
}

std::size_t Job::positionOf(std::size_t occurrence, std::size_t step, std::size_t index) const
{
    return occurrence * this->occurrenceSize + this->firstTaskOfStep[step] + index;
}

Task &Job::at(std::size_t occurrence, std::size_t step, std::size_t index)
{
    return this->tasks[this->positionOf(occurrence, step, index)];
}

Task *Job::find(const TaskId &id)
{
    if (id.occurrence >= this->spec.occurrences() || id.step >= this->spec.steps.size()
        || id.index >= this->spec.steps[id.step].count)
        return nullptr;
    return &this->at(id.occurrence, id.step, id.index);
}

bool Job::isRunnable(std::size_t occurrence, std::size_t step, UnixMilliseconds now) const
{
    if (this->spec.repetitions > 0
        && now < this->spec.firstDue
                     + static_cast<std::int64_t>(occurrence) * this->spec.interval.count())
        return false;
    const auto &after = this->spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](std::size_t before) {
        return this->tasksLeft(occurrence, before) == 0;
    });
}

std::size_t Job::tasksLeft(std::size_t occurrence, std::size_t step) const
{
    return this->unfinishedTasks[occurrence * this->spec.steps.size() + step];
}

void Job::markDone(std::size_t occurrence, std::size_t step, std::size_t index)
{
    auto &task = this->at(occurrence, step, index);
    if (task.done)
        return;
    task.done = true;
    auto &count = this->unfinishedTasks[occurrence * this->spec.steps.size() + step];
    --count;
    if (count != 0)
        return;
    --this->unfinishedSteps;
    this->updatePathTimes();
}

void Job::updatePathTimes()
{
    const auto timeOf = [this](std::size_t step) {
        return this->stepTimes[step].step;
    };
    this->fullPathTime = criticalPath(this->spec, timeOf);
    this->remainingPathTime = criticalPath(this->spec, [&](std::size_t step) {
        return this->tasksLeft(0, step) > 0 ? timeOf(step) : Milliseconds(0);
    });
}

void Job::setStepTimes(std::vector<StepTimes> times)
{
    this->stepTimes = std::move(times);
    this->updatePathTimes();
}

const StepTimes &Job::expected(std::size_t step) const
{
    return this->stepTimes[step];
}

EndEffect Job::recordEnd(const TaskId &id, std::int64_t run, RunEnd end,
                         const std::string &checkpoint)
{
    auto *task = this->find(id);
    if (!task || task->done)
        return EndEffect::None;
    const auto &step = this->spec.steps[id.step];
    if (end == RunEnd::Done && !step.lasting) {
        if (step.gang) {
            for (std::size_t i = 0; i < step.count; ++i)
                this->markDone(id.occurrence, id.step, i);
        } else {
            this->markDone(id.occurrence, id.step, id.index);
        }
        ++this->changes;
        if (this->unfinishedSteps > 0 || isFinal(this->state))
            return EndEffect::TaskDone;
        this->state = JobState::Completed;
        return EndEffect::JobDone;
    }
    auto effect = EndEffect::None;
    if (!checkpoint.empty() && checkpoint != task->checkpoint) {
        // All members of a gang resume from the same checkpoint.
        for (std::size_t i = 0; step.gang && i < step.count; ++i) {
            this->at(id.occurrence, id.step, i).checkpoint = checkpoint;
            this->endedTasks.push_back(this->positionOf(id.occurrence, id.step, i));
        }
        task->checkpoint = checkpoint;
        effect = EndEffect::Recorded;
    }
    auto &failed = task->failedRuns;
    const bool isKnown = std::find(failed.begin(), failed.end(), run) != failed.end();
    if (end == RunEnd::Failed && !step.lasting && !isKnown) {
        failed.push_back(run);
        effect = EndEffect::Recorded;
        if (failed.size() >= this->terms.maxAttempts && !isFinal(this->state)) {
            this->state = JobState::Failed;
            effect = EndEffect::JobFailed;
        }
    }
    if (effect != EndEffect::None) {
        ++this->changes;
        this->endedTasks.push_back(this->positionOf(id.occurrence, id.step, id.index));
    }
    return effect;
}

std::vector<std::size_t> Job::takeEndedTasks()
{
    return std::exchange(this->endedTasks, {});
}

Milliseconds Job::recordTaskTime(const TaskId &id, Milliseconds took)
{
    auto &longest = this->longestTaskTimes[id.occurrence * this->spec.steps.size() + id.step];
    longest = std::max(longest, took);
    return longest;
}

void Job::cancel()
{
    if (isFinal(this->state))
        return;
    this->state = JobState::Cancelled;
    ++this->changes;
}

bool Job::hasRuns() const
{
    return std::any_of(this->tasks.begin(), this->tasks.end(),
                       [](const Task &task) { return !task.runs.empty(); });
}

Milliseconds Job::remainingPath() const
{
    return this->remainingPathTime;
}

RemainingWork Job::remainingWork() const
{
    RemainingWork work;
    for (std::size_t step = 0; step < this->spec.steps.size(); ++step) {
        const auto &spec = this->spec.steps[step];
        double tasksLeft = 0;
        for (std::size_t i = 0; i < spec.count; ++i) {
            const auto &task = this->tasks[this->positionOf(0, step, i)];
            const bool isRunning = !task.done && !task.runs.empty();
            work.isStarted |= task.done || isRunning;
            tasksLeft += task.done ? 0 : isRunning ? 0.5 : 1;
        }
        work.coreSeconds += tasksLeft * static_cast<double>(spec.footprint().cpu) / 1000
                            * policy::seconds(Duration(this->expected(step).task));
    }
    return work;
}

Instant Job::objective() const
{
    return this->acceptedAt + this->terms.target
           + policy::fromSeconds(policy::seconds(this->fullPathTime) * this->terms.stretch);
}

Instant Job::lateLimit() const
{
    return this->acceptedAt + lateFactor * (this->objective() - this->acceptedAt);
}

messages::JobProgress Job::progress() const
{
    messages::JobProgress row;
    row.set_state(static_cast<std::uint32_t>(this->state));
    row.set_queue(this->terms.queue);
    row.set_customer(this->customer);
    if (isFinal(this->state))
        return row;
    for (const auto &service : this->services)
        row.add_services(service);
    std::string bits((this->tasks.size() + 7) / 8, '\0');
    for (std::size_t i = 0; i < this->tasks.size(); ++i) {
        const auto &task = this->tasks[i];
        if (task.done)
            bits[i / 8] = static_cast<char>(bits[i / 8] | (1 << (i % 8)));
        if (task.done || (task.failedRuns.empty() && task.checkpoint.empty()))
            continue;
        auto &entry = *row.add_tasks();
        entry.set_task(static_cast<std::uint32_t>(i));
        for (const auto run : task.failedRuns)
            entry.add_failed_runs(run);
        entry.set_checkpoint(task.checkpoint);
    }
    row.set_done(bits);
    return row;
}

bool Job::isServiceRecorded() const
{
    return this->terms.service == this->acceptedService
           || this->recordedServices.count(this->terms.service) != 0;
}

void Job::addService()
{
    if (this->services.insert(this->terms.service).second)
        ++this->changes;
}

void Job::servicesRecorded(const messages::JobProgress &row)
{
    this->recordedServices.insert(row.services().begin(), row.services().end());
}

void Job::restore(const messages::JobProgress &row)
{
    this->state = static_cast<JobState>(row.state());
    this->services.insert(row.services().begin(), row.services().end());
    this->formerServices.insert(row.services().begin(), row.services().end());
    this->servicesRecorded(row);
    for (const auto &entry : row.tasks()) {
        if (entry.task() >= this->tasks.size())
            continue;
        this->tasks[entry.task()].failedRuns.assign(entry.failed_runs().begin(),
                                                    entry.failed_runs().end());
        this->tasks[entry.task()].checkpoint = entry.checkpoint();
    }
    const auto &bits = row.done();
    for (std::size_t occurrence = 0; occurrence < this->spec.occurrences(); ++occurrence) {
        for (std::size_t step = 0; step < this->spec.steps.size(); ++step) {
            for (std::size_t i = 0; i < this->spec.steps[step].count; ++i) {
                const auto position = this->positionOf(occurrence, step, i);
                if (position / 8 < bits.size() && (bits[position / 8] >> (position % 8) & 1) != 0)
                    this->markDone(occurrence, step, i);
            }
        }
    }
}

} // namespace sassafrasferry::jobs
