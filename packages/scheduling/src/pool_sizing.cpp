// How many VMs each pool needs, from the work its service has and the work that arrives.
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

PoolSizing::PoolSizing(PoolSizingTerms terms)
    : terms(terms)
{}

void PoolSizing::arrived(const std::map<std::string, double> &coreSeconds, Instant now)
{
    const auto memory = policy::seconds(this->terms.rateMemory);
    const auto kept = std::exp(-policy::seconds(now - this->ratesAt) / memory);
    this->ratesAt = now;
    for (auto &rate : this->rates)
        rate.second *= kept;
    for (const auto &work : coreSeconds)
        this->rates[work.first] += work.second / memory;
}

PoolNeed PoolSizing::needOf(const std::string &service, const ServiceLoad &load, double vmCores,
                            std::size_t count, Instant now)
{
    const double lateShare = load.readySeconds > 0 ? 1 - load.onTimeSeconds / load.readySeconds : 0;
    const double lasting = cores(load.lasting);
    const double running = cores(load.running);
    const double waiting = cores(load.ready);
    const double waitingOnTime = waiting * (1 - lateShare);
    const double waitingLate = waiting * lateShare * this->terms.lateWeight;
    const double rate = this->rates[service];
    const double need = lasting + std::max(running + waitingOnTime + waitingLate, rate);
    const double onTime = lasting + std::max(running + waitingOnTime, rate);
    const double kept = lasting + std::max(running - cores(load.lateRunning) + waitingOnTime, rate);
    auto &peak = this->peaks[service];
    const bool isRemembered = this->terms.mechanisms.has(Mechanism::PeakMemory);
    if (!isRemembered || need >= peak.cores || now - peak.at > this->terms.peakMemory)
        peak = {need, now};
    PoolNeed result;
    if (vmCores > 0) {
        const auto vmsFor = [&](double wanted) {
            return static_cast<std::size_t>(std::ceil(wanted * this->terms.headroom / vmCores));
        };
        result = {vmsFor(peak.cores), vmsFor(onTime), vmsFor(kept)};
    }
    // One more than the widest lasting step needs, so that its tasks can be moved off a VM.
    const auto least = load.spread + (this->terms.mechanisms.has(Mechanism::SpareVm) ? 1 : 0);
    result.wanted = std::max(result.wanted, least);
    if (load.starves)
        result.wanted = std::max(result.wanted, count + 1);
    result.onTime = std::clamp(result.onTime, least, result.wanted);
    result.kept = std::clamp(result.kept, least, result.onTime);
    return result;
}

} // namespace sassafrasferry::scheduling
