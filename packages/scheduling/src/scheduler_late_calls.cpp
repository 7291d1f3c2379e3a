// What late calls mean for acknowledgements, for the place of a task's next run, and for the tasks
// of a worker that has restarted.
#include "scheduler_round.h"

#include <absl/strings/str_cat.h>

namespace sassafrasferry::scheduling {

void Scheduler::startSent(const StartOrder &order, Instant now)
{
    if (auto *worker = this->findWorker(order.worker))
        worker->lateCalls.startSent({order.task, order.run}, now);
}

bool Scheduler::canAcknowledge(const std::string &id, Instant now)
{
    auto *worker = this->findWorker(id);
    if (!worker)
        return false;
    this->forgetLateStarts(*worker, now);
    return worker->lateCalls.canAcknowledge();
}

void Scheduler::acknowledgementSent(const std::string &id, std::int64_t token)
{
    if (auto *worker = this->findWorker(id))
        worker->lateCalls.acknowledgementSent(token);
}

void Scheduler::acknowledgementOver(const std::string &id, bool isAnswered)
{
    auto *worker = this->findWorker(id);
    if (!worker)
        return;
    worker->lateCalls.acknowledgementOver(isAnswered);
    if (isAnswered)
        return;
    this->note("acknowledgement-unanswered", id, absl::StrCat("ends=", worker->endsRecorded));
    worker->fence.raise();
}

// A start that was carried out as late as it can be runs for the longest lease, unless the worker
// has answered since, and would have listed it.
void Scheduler::forgetLateStarts(Worker &worker, Instant now) const
{
    const auto longest = this->maxLeaseDuration(this->times.maxLease);
    const auto knownUntil = std::max(worker.answeredCallAt, now - longest);
    worker.lateCalls.forgetStartsBefore(knownUntil - this->times.lateCallLimit);
}

// A start that was settled with the former incarnation may still be carried out by the next one.
// Its task waits for that one as for a start that is not settled.
void Scheduler::reopenStarts(Worker &worker, Instant now)
{
    this->forgetLateStarts(worker, now);
    for (const auto &[key, sentAt] : worker.lateCalls.openStarts()) {
        auto *job = this->findJob(key.task.job);
        auto *task = job ? job->find(key.task) : nullptr;
        if (!task || task->done || jobs::isFinal(job->state) || worker.runs.count(key) != 0)
            continue;
        const bool runsElsewhere =
            std::any_of(task->runs.begin(), task->runs.end(),
                        [&](const jobs::Run &run) { return run.worker != worker.listing.id; });
        if (runsElsewhere)
            continue;
        jobs::Run run;
        run.worker = worker.listing.id;
        run.number = key.number;
        run.state = jobs::RunState::Unanswered;
        run.orderedAt = sentAt;
        task->runs.push_back(run);
        worker.reserveUnconfirmed(key, job->spec.steps[key.task.step].footprint());
        this->note("start-reopened", jobs::toString(key.task),
                   absl::StrCat("run=", key.number, " worker=", worker.listing.id,
                                " age-ms=", (now - sentAt) / std::chrono::milliseconds(1)));
    }
}

// Elsewhere the task could run beside its late start, which a restarted worker would carry out.
void Scheduler::waitForLateStart(jobs::Task &task, const TaskId &id, const Worker &worker,
                                 Instant now)
{
    if (task.lateStartWaitSince != Instant{})
        return;
    task.lateStartWaitSince = now;
    this->note("late-start-wait", jobs::toString(id),
               absl::StrCat("worker=", worker.listing.id, " room=", worker.room().cpu,
                            " takes-work=", this->canTakeWork(worker, now) ? 1 : 0));
}

void Scheduler::collectLateStarts(Round &round)
{
    for (auto &entry : this->workerTable) {
        auto &worker = entry.second;
        this->forgetLateStarts(worker, round.now);
        for (const auto &start : worker.lateCalls.openStarts())
            round.lateStarts[start.first.task] = &worker;
    }
}

} // namespace sassafrasferry::scheduling
