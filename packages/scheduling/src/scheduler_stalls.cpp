// Workers that answer and end nothing: how they are found, and what is done about their tasks.
#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::scheduling {

namespace {

// A run as old as half of its kind ever get gains from a fresh start elsewhere.
constexpr double oldHazard = 0.69;

} // namespace

// Runs that go on from a checkpoint end earlier than whole ones, and so are left out.
void Scheduler::expectEnds(Worker &worker, Instant now)
{
    const auto since = std::exchange(worker.stallLookedAt, now);
    double expected = 0;
    for (const auto &entry : worker.runs) {
        const auto &id = entry.first.task;
        auto *job = this->findJob(id.job);
        auto *task = job ? job->find(id) : nullptr;
        if (!task || job->spec.steps[id.step].lasting)
            continue;
        const auto models = this->runTimes.find(job->terms.queue);
        if (models == this->runTimes.end())
            continue;
        const auto estimate = job->spec.steps[id.step].estimate;
        for (const auto &run : task->runs) {
            const bool isHere =
                run.worker == worker.listing.id && run.number == entry.first.number;
            if (!isHere || run.isResumed || run.state != jobs::RunState::Confirmed
                || run.settledAt == Instant::max())
                continue;
            const auto hazardAt = [&](Instant at) {
                const auto age = std::chrono::duration_cast<jobs::Milliseconds>(at - run.settledAt);
                return models->second.task.hazard(estimate, age);
            };
            expected += hazardAt(now) - hazardAt(since);
        }
    }
    worker.stall.expect(expected);
}

void Scheduler::relieveStalled(Instant now)
{
    if (!this->mechanisms().has(Mechanism::StallWatch))
        return;
    std::map<std::string, std::pair<std::size_t, std::size_t>> slowOf; // and all, of a service
    for (const auto &entry : this->workerTable) {
        const auto &worker = entry.second;
        if (!worker.listed || worker.runs.empty())
            continue;
        auto &counts = slowOf[worker.listing.service];
        counts.first += worker.stall.isSlow() ? 1 : 0;
        ++counts.second;
    }
    for (auto &entry : this->workerTable) {
        auto &worker = entry.second;
        const auto &[slow, all] = slowOf[worker.listing.service];
        if (!worker.stall.isStalled()
            || static_cast<double>(slow)
                   > std::max(1.0, this->times.mostStalled * static_cast<double>(all)))
            continue;
        this->note("worker-stalled", entry.first, absl::StrCat("runs=", worker.runs.size()));
        worker.stall.clear();
        worker.backOffUntil = now + this->times.stallBackOff;
        this->restartElsewhere(worker, now);
    }
}

void Scheduler::restartElsewhere(Worker &worker, Instant now)
{
    for (const auto &entry : worker.runs) {
        const auto &id = entry.first.task;
        auto *job = this->findJob(id.job);
        auto *task = job ? job->find(id) : nullptr;
        if (!task)
            continue;
        const auto &step = job->spec.steps[id.step];
        const auto models = this->runTimes.find(job->terms.queue);
        if (step.lasting || step.gang || models == this->runTimes.end())
            continue;
        for (auto &run : task->runs) {
            const bool isHere =
                run.worker == worker.listing.id && run.number == entry.first.number;
            if (!isHere || run.state != jobs::RunState::Confirmed
                || run.settledAt == Instant::max())
                continue;
            const auto age = std::chrono::duration_cast<jobs::Milliseconds>(now - run.settledAt);
            if (models->second.task.hazard(step.estimate, age) < oldHazard)
                continue;
            run.state = jobs::RunState::Stopping;
            run.stopAskedAt = now;
            this->requestStop(worker.listing.id, entry.first, "worker stalled");
        }
    }
}

} // namespace sassafrasferry::scheduling
