// The rate at which work arrives at a service.
#include <sassafrasferry/scheduling/arrival_rate.h>

#include <algorithm>
#include <cmath>

namespace sassafrasferry::scheduling {

namespace {

constexpr Duration riseWindow = std::chrono::milliseconds(100);
// Fewer jobs say little about a rate: a single large one would look like a surge.
constexpr std::size_t minRiseJobs = 8;
// Standard deviations of a Poisson count above its mean that chance hardly ever exceeds, although
// the mean is itself an estimate from half a second.
constexpr double riseDeviations = 6;

} // namespace

void ArrivalRate::add(const Arrivals &arrived, Instant now)
{
    const auto elapsed = now - this->addedAt;
    const bool isFirst = this->addedAt == Instant{};
    this->addedAt = now;
    const auto constant = policy::seconds(this->timeConstant);
    const auto decay = isFirst ? 0 : std::exp(-policy::seconds(elapsed) / constant);
    this->coreRate *= decay;
    this->jobRate *= decay;
    this->recent.push_back({arrived, elapsed, this->jobRate});
    this->coreRate += arrived.coreSeconds / constant;
    this->jobRate += static_cast<double>(arrived.jobs) / constant;
    if (isFirst) {
        // The time in which these arrived is not known.
        this->recent.clear();
        return;
    }
    Duration covered{};
    for (const auto &batch : this->recent)
        covered += batch.duration;
    while (covered - this->recent.front().duration >= riseWindow) {
        covered -= this->recent.front().duration;
        this->recent.pop_front();
    }
    if (this->detectsRise && covered >= riseWindow)
        this->followRise();
}

void ArrivalRate::followRise()
{
    Arrivals sum;
    Duration covered{};
    for (const auto &batch : this->recent) {
        sum.coreSeconds += batch.arrived.coreSeconds;
        sum.jobs += batch.arrived.jobs;
        covered += batch.duration;
    }
    const auto span = policy::seconds(covered);
    const auto jobs = static_cast<double>(sum.jobs);
    const auto expected = this->recent.front().jobRateBefore * span;
    if (sum.jobs < minRiseJobs
        || jobs <= expected + riseDeviations * std::sqrt(std::max(expected, 1.0)))
        return;
    // Lower by the standard error of the count.
    const auto confidence = 1 - 1 / std::sqrt(jobs);
    this->coreRate = std::max(this->coreRate, sum.coreSeconds / span * confidence);
    this->jobRate = std::max(this->jobRate, jobs / span * confidence);
}

} // namespace sassafrasferry::scheduling
