// The order in which the jobs of a service are placed.
#include "job_ranking.h"

#include <sassafrasferry/scheduling/on_time_selection.h>

#include <algorithm>

namespace sassafrasferry::scheduling {

namespace {

Rank rankOf(const Job &job, Instant now, bool isLateLast)
{
    if (job.spec.isLasting())
        return {Prospect::OnTime, job.terms.priority, job.acceptedAt};
    const auto objective = job.objective();
    const bool isLate = isLateLast && now + job.remainingPath() > objective;
    return {isLate ? Prospect::Late : Prospect::OnTime, job.terms.priority, objective};
}

void sortByRank(std::vector<RankedJob> &jobs)
{
    std::stable_sort(jobs.begin(), jobs.end(),
                     [](const RankedJob &a, const RankedJob &b) { return a.rank < b.rank; });
}

bool isWorthSelecting(const RankedJob &ranked)
{
    const auto &spec = ranked.job->spec;
    return ranked.rank.prospect == Prospect::OnTime && !spec.isLasting() && spec.repetitions == 0;
}

/// Whether the customer's cap leaves no room for any task of the job.
bool isHeldByCap(const Job &job, CustomerUsage &usage)
{
    const auto account = usage.accountOf(job.customerNumber);
    const auto &steps = job.spec.steps;
    return std::none_of(steps.begin(), steps.end(),
                        [&](const jobs::StepSpec &step) { return account.hasRoom(step.need); });
}

/// Cores of the workers that lasting tasks leave. `jobs`: all jobs of the service.
double coresBesideLasting(const std::vector<Worker *> &workers, const std::vector<Job *> &jobs)
{
    std::int64_t cpu = 0;
    for (const auto *worker : workers)
        cpu += worker->listing.capacity.cpu;
    for (auto *job : jobs) {
        if (!job->spec.isLasting())
            continue;
        for (std::size_t step = 0; step < job->spec.steps.size(); ++step) {
            for (std::size_t i = 0; i < job->spec.steps[step].count; ++i) {
                if (!job->at(0, step, i).runs.empty())
                    cpu -= job->spec.steps[step].footprint().cpu;
            }
        }
    }
    return static_cast<double>(std::max<std::int64_t>(cpu, 0)) / 1000;
}

void passOverExcess(std::vector<RankedJob> &jobs, double cores, CustomerUsage &usage, Instant now)
{
    std::vector<RankedJob *> candidates;
    std::vector<BacklogJob> backlog;
    for (auto &ranked : jobs) {
        if (!isWorthSelecting(ranked) || isHeldByCap(*ranked.job, usage))
            continue;
        const auto &job = *ranked.job;
        const auto work = job.remainingWork();
        candidates.push_back(&ranked);
        backlog.push_back({job.objective(), job.remainingPath(), work.coreSeconds, work.isStarted});
    }
    const auto isSelected = selectOnTime(backlog, cores, now);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!isSelected[i])
            candidates[i]->rank.prospect = Prospect::PassedOver;
    }
    sortByRank(jobs);
}

} // namespace

std::vector<RankedJob> rankJobs(const std::vector<Job *> &jobs,
                                const std::vector<Worker *> &workers, CustomerUsage &usage,
                                const MechanismSet &mechanisms, Instant now)
{
    std::vector<RankedJob> ranked;
    ranked.reserve(jobs.size());
    const bool isLateLast = mechanisms.has(Mechanism::LateLast);
    for (auto *job : jobs)
        ranked.push_back({rankOf(*job, now, isLateLast), job});
    sortByRank(ranked);
    if (mechanisms.has(Mechanism::OnTimeSelection))
        passOverExcess(ranked, coresBesideLasting(workers, jobs), usage, now);
    return ranked;
}

} // namespace sassafrasferry::scheduling
