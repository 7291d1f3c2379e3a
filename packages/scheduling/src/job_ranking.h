// The order in which the jobs of a service are placed.
#pragma once

#include <sassafrasferry/scheduling/scheduler.h>

#include <compare>
#include <vector>

namespace sassafrasferry::scheduling {

/// Scheduling order of the jobs of a service: lower ranks are placed first.
struct Rank
{
    Prospect prospect = Prospect::OnTime;
    std::int64_t priority = 0;
    Instant objective{};

    auto operator<=>(const Rank &) const = default;
};

struct RankedJob
{
    Rank rank;
    Job *job;
};

/// Ranks all jobs of a service, lowest rank first. `workers`: those of the service that accept
/// tasks.
std::vector<RankedJob> rankJobs(const std::vector<Job *> &jobs,
                                const std::vector<Worker *> &workers, CustomerUsage &usage,
                                const MechanismSet &mechanisms, Instant now);

} // namespace sassafrasferry::scheduling
