// Reports lasting tasks that wait to be started, and why.
#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::scheduling {

namespace {

// Bounds the length of the log when many tasks wait at once.
constexpr std::size_t maxWaitingNotes = 8;
constexpr std::size_t maxNamedWorkers = 4;

std::int64_t millisecondsBetween(Instant from, Instant to)
{
    return (to - from) / std::chrono::milliseconds(1);
}

} // namespace

/// Workers of a service, counted by the first reason for which they take no work.
struct Scheduler::WorkerCensus
{
    std::size_t open = 0; // take work
    std::size_t unlisted = 0;
    std::size_t draining = 0;
    std::size_t evacuating = 0;
    std::size_t held = 0; // an order about their VM may be carried out
    std::size_t cordoned = 0;
    std::size_t silent = 0; // have not reported, or not answered recently
    std::size_t backingOff = 0;
    std::size_t unreported = 0; // may have runs that this leader does not know of
    std::string unreportedNames;

    std::string toString() const
    {
        return absl::StrCat("open=", this->open, " unlisted=", this->unlisted,
                            " draining=", this->draining, " evacuating=", this->evacuating,
                            " held=", this->held, " cordoned=", this->cordoned,
                            " silent=", this->silent, " backing-off=", this->backingOff,
                            " unreported=", this->unreported, " names=", this->unreportedNames);
    }
};

Scheduler::WorkerCensus Scheduler::censusOf(const std::string &service, Instant now) const
{
    WorkerCensus census;
    for (const auto &entry : this->workerTable) {
        const auto &worker = entry.second;
        if (worker.listing.service != service)
            continue;
        if (worker.canHaveUnreportedRuns(this->leasesKnownUntil(now))
            && ++census.unreported <= maxNamedWorkers)
            absl::StrAppend(&census.unreportedNames, census.unreported > 1 ? "," : "", entry.first);
        if (this->takesWork(worker, now))
            ++census.open;
        else if (!worker.listed)
            ++census.unlisted;
        else if (worker.listing.draining)
            ++census.draining;
        else if (worker.evacuating)
            ++census.evacuating;
        else if (this->heldVms.count(worker.listing.vm) != 0)
            ++census.held;
        else if (worker.cordoned)
            ++census.cordoned;
        else if (!worker.hasReported || !worker.hasAnsweredWithin(now, this->times.answerTimeout))
            ++census.silent;
        else
            ++census.backingOff;
    }
    return census;
}

std::string Scheduler::waitReasonOf(const Job &job, Instant now) const
{
    if (!this->canHaveUnreportedRuns(job))
        return "no-worker";
    const bool hasLeaseExpired =
        this->leasesKnownUntil(now) > this->tookOverAt + this->times.inheritedLease;
    return this->allWorkersKnown || hasLeaseExpired ? "unreported-worker" : "unread-vm-list";
}

void Scheduler::noteWaitingTasks(Instant now)
{
    std::size_t noted = 0;
    for (auto &entry : this->jobs) {
        auto &job = *entry.second;
        if (jobs::isFinal(job.state) || !job.spec.isLasting())
            continue;
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            for (std::size_t i = 0; i < job.spec.steps[step].count; ++i) {
                const auto &task = job.at(0, step, i);
                const auto waitingSince = std::max(task.idleSince, this->tookOverAt);
                if (!task.runs.empty() || now - waitingSince < this->times.starvationTime)
                    continue;
                if (++noted > maxWaitingNotes)
                    return;
                this->note("task-waiting", jobs::toString({job.id, 0, step, i}),
                           absl::StrCat("ms=", millisecondsBetween(waitingSince, now),
                                        " why=", this->waitReasonOf(job, now),
                                        " service=", this->serviceOf(job), " ",
                                        this->censusOf(this->serviceOf(job), now).toString()));
            }
        }
    }
}

} // namespace sassafrasferry::scheduling
