// Learns when the demand of services surges, so that VMs can be on their way before it does.
#include <sassafrasferry/scheduling/surge_forecast.h>

#include <algorithm>
#include <cmath>

namespace sassafrasferry::scheduling {

SurgeForecast::SurgeForecast(SurgeTerms terms)
    : terms(terms)
{}

void SurgeForecast::arrived(const std::map<std::string, Arrivals> &arrivals, Instant now)
{
    const auto passed = policy::seconds(now - this->lookedAt);
    const auto memory = policy::seconds(this->terms.meanMemory);
    const auto window = policy::seconds(this->terms.window);
    this->lookedAt = now;
    for (const auto &entry : arrivals)
        this->demands[entry.first];
    for (auto &entry : this->demands) {
        auto &demand = entry.second;
        const auto at = arrivals.find(entry.first);
        const auto work = at == arrivals.end() ? Arrivals{} : at->second;
        demand.meanJobs = demand.meanJobs * std::exp(-passed / memory)
                          + static_cast<double>(work.jobs) / memory;
        if (work.jobs > 0) {
            demand.recent.push_back({now, work});
            demand.recentJobs += work.jobs;
        }
        while (!demand.recent.empty() && now - demand.recent.front().at > this->terms.window) {
            demand.recentJobs -= demand.recent.front().work.jobs;
            demand.recent.pop_front();
        }
        const auto least = std::max(static_cast<double>(this->terms.leastJobs),
                                    this->terms.leastFactor * demand.meanJobs * window);
        if (demand.surges) {
            demand.surgeWork += work.coreSeconds;
            demand.surgeJobs += work.jobs;
            this->endSurge(demand, now);
        } else if (static_cast<double>(demand.recentJobs) >= least) {
            this->beginSurge(entry.first, demand);
        }
    }
    this->dropMissed(now);
}

void SurgeForecast::beginSurge(const std::string &service, Demand &demand)
{
    demand.surges = true;
    demand.surgeWork = 0;
    demand.surgeJobs = 0;
    // A job that came alone, up to a window earlier, is not the beginning.
    for (auto at = demand.recent.rbegin();
         at != demand.recent.rend() && demand.surgeJobs < this->terms.leastJobs; ++at) {
        demand.beganAt = at->at;
        demand.surgeWork += at->work.coreSeconds;
        demand.surgeJobs += at->work.jobs;
    }
    if (!this->latest.empty())
        this->successors[this->latest] = {service, demand.beganAt - this->latestAt};
    this->latest = service;
    this->latestAt = demand.beganAt;
}

// The end is seen a window late.
void SurgeForecast::endSurge(Demand &demand, Instant now)
{
    const auto window = policy::seconds(this->terms.window);
    const auto lasted = policy::seconds(now - demand.beganAt);
    if (lasted < 2 * window)
        return;
    const auto usual = static_cast<double>(demand.surgeJobs) / lasted * window;
    if (static_cast<double>(demand.recentJobs) >= this->terms.endShare * usual)
        return;
    demand.surges = false;
    const auto length = std::max(window, lasted - window);
    demand.length = policy::fromSeconds(length);
    demand.cores = demand.surgeWork / length;
    // Its last jobs must not count as the beginning of another.
    demand.recent.clear();
    demand.recentJobs = 0;
}

void SurgeForecast::dropMissed(Instant now)
{
    const auto successor = this->successors.find(this->latest);
    if (successor == this->successors.end())
        return;
    if (now > this->latestAt + successor->second.gap + this->terms.tolerance)
        this->successors.erase(successor);
}

std::optional<Instant> SurgeForecast::nextSurge(const std::string &service) const
{
    const auto successor = this->successors.find(this->latest);
    if (successor == this->successors.end() || successor->second.service != service)
        return std::nullopt;
    return this->latestAt + successor->second.gap;
}

double SurgeForecast::expectedCores(const std::string &service, Instant now) const
{
    const auto at = this->demands.find(service);
    if (at == this->demands.end() || at->second.cores <= 0)
        return 0;
    const auto &demand = at->second;
    if (demand.surges)
        return now - demand.beganAt < demand.length ? demand.cores : 0;
    const auto next = this->nextSurge(service);
    return next && now >= *next - this->terms.lead ? demand.cores : 0;
}

} // namespace sassafrasferry::scheduling
