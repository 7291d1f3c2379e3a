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

/// Passes over the jobs that can't be on time. Returns the core-seconds of the others.
double passOverExcess(std::vector<RankedJob> &jobs, double cores, CustomerUsage &usage, Instant now)
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
    double selectedSeconds = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (isSelected[i])
            selectedSeconds += backlog[i].coreSeconds;
        else
            candidates[i]->rank.prospect = Prospect::PassedOver;
    }
    sortByRank(jobs);
    return selectedSeconds;
}

/// Ranks late jobs by their late limits, and those that can't end by them after all others.
/// `secondsBefore`: core-seconds of the work that is placed first.
void expireExcess(std::vector<RankedJob> &jobs, double cores, double secondsBefore,
                  CustomerUsage &usage, Instant now)
{
    struct Candidate
    {
        RankedJob *ranked;
        BacklogJob backlog;
    };
    std::vector<Candidate> candidates;
    for (auto &ranked : jobs) {
        if (ranked.rank.prospect != Prospect::Late || isHeldByCap(*ranked.job, usage))
            continue;
        const auto &job = *ranked.job;
        const auto work = job.remainingWork();
        candidates.push_back(
            {&ranked, {job.lateLimit(), job.remainingPath(), work.coreSeconds, work.isStarted}});
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return std::make_pair(!a.backlog.isStarted, a.backlog.objective)
               < std::make_pair(!b.backlog.isStarted, b.backlog.objective);
    });
    std::vector<BacklogJob> backlog;
    for (const auto &candidate : candidates)
        backlog.push_back(candidate.backlog);
    const auto isSelected = selectLate(backlog, cores, secondsBefore, now);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        auto &rank = candidates[i].ranked->rank;
        rank.objective = backlog[i].objective;
        rank.prospect = isSelected[i] ? Prospect::Late : Prospect::Expired;
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
    const auto cores = coresBesideLasting(workers, jobs);
    double secondsBefore = 0;
    if (mechanisms.has(Mechanism::OnTimeSelection))
        secondsBefore = passOverExcess(ranked, cores, usage, now);
    if (mechanisms.has(Mechanism::LateSelection))
        expireExcess(ranked, cores, secondsBefore, usage, now);
    return ranked;
}

} // namespace sassafrasferry::scheduling
