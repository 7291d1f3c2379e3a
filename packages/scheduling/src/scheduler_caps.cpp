// The scheduler's account of what each customer may have running.
#include <sassafrasferry/scheduling/scheduler.h>

namespace sassafrasferry::scheduling {

std::size_t Scheduler::numberOf(const std::string &customer) const
{
    const auto at = this->customerNumbers.find(customer);
    return at == this->customerNumbers.end() ? jobs::noCustomer : at->second;
}

// Derived anew for each use from the runs that may exist, so that it can't drift from them: a run
// stays with its worker while its start or stop is unanswered and until its end is listed or its
// lease has expired.
CustomerUsage Scheduler::customerUsage(UnixMilliseconds unixNow) const
{
    CustomerUsage usage(this->config.customers);
    if (!this->config.hasCaps())
        return usage;
    for (const auto &entry : this->workerTable) {
        for (const auto &run : entry.second.runs) {
            const auto &id = run.first.task;
            const auto at = this->jobs.find(id.job);
            const auto *job = at == this->jobs.end() ? nullptr : at->second.get();
            if (job && id.step < job->spec.steps.size())
                usage.accountOf(job->customerNumber).add(job->spec.steps[id.step].need);
            else
                usage.accountOf(this->numberOf(this->customerOf(id.job))).add(run.second);
        }
    }
    for (const auto &entry : this->jobs) {
        if (this->canHaveUnreportedRuns(*entry.second))
            this->addUnreportedUse(*entry.second, unixNow,
                                   usage.accountOf(entry.second->customerNumber));
    }
    return usage;
}

// Until all workers of a service have reported to a new leader, any open task of a job that its
// predecessor knew may be running.
void Scheduler::addUnreportedUse(Job &job, UnixMilliseconds unixNow,
                                 CustomerUsage::Account account) const
{
    for (std::size_t occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            if (job.tasksLeft(occurrence, step) == 0 || !job.isRunnable(occurrence, step, unixNow))
                continue;
            const auto &spec = job.spec.steps[step];
            for (std::size_t i = 0; i < spec.count; ++i) {
                const auto &task = job.at(occurrence, step, i);
                if (!task.done && task.runs.empty())
                    account.add(spec.need);
            }
        }
    }
}

} // namespace sassafrasferry::scheduling
