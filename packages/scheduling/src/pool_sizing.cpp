// Computes how many VMs each pool needs from the present and the arriving work of its service.
#include <sassafrasferry/scheduling/pool_sizing.h>

#include <algorithm>
#include <cmath>

namespace sassafrasferry::scheduling {

namespace {

double cores(const Resources &resources)
{
    return static_cast<double>(resources.cpu) / 1000;
}

} // namespace

PoolSizing::PoolSizing(PoolSizingOptions options)
    : options(options)
{}

void PoolSizing::recordArrivals(const std::map<std::string, Arrivals> &arrived, Instant now)
{
    for (const auto &work : arrived)
        this->rates.try_emplace(work.first, this->options.rateTimeConstant,
                                this->options.mechanisms.has(Mechanism::SurgeSlope));
    for (auto &rate : this->rates) {
        const auto at = arrived.find(rate.first);
        rate.second.add(at != arrived.end() ? at->second : Arrivals{}, now);
    }
}

PoolNeed PoolSizing::computeNeed(const std::string &service, const ServiceLoad &load,
                                 double vmCores, std::size_t count, Instant now)
{
    const double lateFraction =
        load.readySeconds > 0 ? 1 - load.onTimeSeconds / load.readySeconds : 0;
    const double lasting = cores(load.lasting);
    const double running = cores(load.running);
    const double waiting = cores(load.ready);
    const double waitingOnTime = waiting * (1 - lateFraction);
    const double waitingLate = waiting * lateFraction * this->options.lateWeight;
    const auto arriving = this->rates.find(service);
    const double rate = arriving != this->rates.end() ? arriving->second.coreSecondsPerSecond() : 0;
    const double need = lasting + std::max(running + waitingOnTime + waitingLate, rate);
    const double onTime = lasting + std::max(running + waitingOnTime, rate);
    const double minimum =
        lasting + std::max(running - cores(load.lateRunning) + waitingOnTime, rate);
    auto &peak = this->peaks[service];
    const bool holdsPeak = this->options.mechanisms.has(Mechanism::PeakMemory);
    if (!holdsPeak || need >= peak.cores || now - peak.at > this->options.peakRetention)
        peak = {need, now};
    PoolNeed result;
    if (vmCores > 0) {
        const auto vmsFor = [&](double requiredCores) {
            return static_cast<std::size_t>(
                std::ceil(requiredCores * this->options.headroom / vmCores));
        };
        result = {vmsFor(peak.cores), vmsFor(onTime), vmsFor(minimum), vmsFor(lasting)};
    }
    // One VM more than the widest long-running step needs, so that its tasks can be moved off a VM.
    const auto minimumVms =
        load.minWorkers + (this->options.mechanisms.has(Mechanism::SpareVm) ? 1 : 0);
    result.desired = std::max(result.desired, minimumVms);
    if (load.hasStarvedTask)
        result.desired = std::max(result.desired, count + 1);
    result.onTime = std::clamp(result.onTime, minimumVms, result.desired);
    result.minimum = std::clamp(result.minimum, minimumVms, result.onTime);
    result.floor = std::clamp(result.floor, minimumVms, result.minimum);
    return result;
}

} // namespace sassafrasferry::scheduling
