// Decides whether a submitted job is accepted.
#include <sassafrasferry/scheduling/admission.h>

#include <algorithm>

namespace sassafrasferry::scheduling {

namespace {

// An answer that takes longer than this many times the objective is of no use to its caller.
constexpr int maxObjectives = 3;
// Late work is done by what on-time work leaves of the fleet.
constexpr double lateWorkShare = 0.5;

double cores(const Resources &resources)
{
    return static_cast<double>(resources.cpu) / 1000;
}

Duration usefulWait(const SubmittedJob &job)
{
    return maxObjectives * job.objective - job.path;
}

} // namespace

std::map<std::string, ServiceOutlook> outlooksOf(const std::map<std::string, ServiceLoad> &loads,
                                                 double fleetCores)
{
    double lateSeconds = 0;
    for (const auto &entry : loads)
        lateSeconds += entry.second.readySeconds - entry.second.onTimeSeconds;
    const auto lateCores = fleetCores * lateWorkShare;
    const auto lateWait =
        lateCores > 0 ? policy::fromSeconds(lateSeconds / lateCores) : Duration::zero();
    std::map<std::string, ServiceOutlook> outlooks;
    for (const auto &entry : loads) {
        const auto &load = entry.second;
        const auto ownCores = cores(load.capacity) - cores(load.lasting);
        if (load.workers > 0 && ownCores > 0)
            outlooks[entry.first] = {policy::fromSeconds(load.onTimeSeconds / ownCores), lateWait};
    }
    return outlooks;
}

SubmittedJob submittedJob(const jobs::JobSpec &spec, const jobs::QueueTerms &terms)
{
    const Duration path = jobs::criticalPath(
        spec, [&](std::size_t step) { return spec.steps[step].estimate; });
    return {path, terms.target + policy::fromSeconds(policy::seconds(path) * terms.stretch)};
}

bool isAdmitted(const SubmittedJob &job, const ServiceOutlook &outlook)
{
    const bool canBeOnTime = outlook.onTimeWait + job.path <= job.objective;
    return canBeOnTime || outlook.lateWait <= usefulWait(job);
}

Duration timeToAdmission(const SubmittedJob &job, const ServiceOutlook &outlook)
{
    return std::max(outlook.lateWait - usefulWait(job), Duration::zero());
}

} // namespace sassafrasferry::scheduling
