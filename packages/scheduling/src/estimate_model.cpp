// Learns how far declared run time estimates are from observed run times.
#include <sassafrasferry/scheduling/estimate_model.h>

#include <algorithm>
#include <cmath>

namespace sassafrasferry::scheduling {

namespace {

// Observations after which the weight of an old one has fallen to about a third.
constexpr double decayWindow = 500;
// Weight of the unmodified estimate, as a number of observations.
constexpr double priorObservations = 20;
constexpr double priorVariance = 0.25; // variance of the logarithms of the estimates among these

} // namespace

void EstimateModel::observe(jobs::Milliseconds estimate, jobs::Milliseconds actual)
{
    if (estimate.count() <= 0 || actual.count() <= 0)
        return;
    const double x = std::log(static_cast<double>(estimate.count()));
    const double r = std::log(static_cast<double>(actual.count())) - x;
    for (auto *sum :
         {&this->count, &this->sumX, &this->sumR, &this->sumXX, &this->sumXR, &this->sumRR})
        *sum *= 1 - 1 / decayWindow;
    this->count += 1;
    this->sumX += x;
    this->sumR += r;
    this->sumXX += x * x;
    this->sumXR += x * r;
    this->sumRR += r * r;
}

EstimateModel::Line EstimateModel::fit() const
{
    Line line;
    if (this->count <= 0)
        return line;
    const double varianceX = this->sumXX - this->sumX * this->sumX / this->count;
    const double covariance = this->sumXR - this->sumX * this->sumR / this->count;
    const double varianceR = this->sumRR - this->sumR * this->sumR / this->count;
    line.slope =
        std::clamp(covariance / (varianceX + priorObservations * priorVariance), -1.0, 0.0);
    line.offset = this->sumR / (this->count + priorObservations);
    const double residual =
        varianceR - 2 * line.slope * covariance + line.slope * line.slope * varianceX;
    line.variance = std::max(0.0, residual) / (this->count + priorObservations);
    return line;
}

double EstimateModel::predictLog(const Line &line, double logEstimate) const
{
    const double meanX = this->count > 0 ? this->sumX / this->count : logEstimate;
    return logEstimate + line.offset + line.slope * (logEstimate - meanX);
}

jobs::Milliseconds EstimateModel::median(jobs::Milliseconds estimate) const
{
    if (estimate.count() <= 0)
        return estimate;
    const double x = std::log(static_cast<double>(estimate.count()));
    return jobs::Milliseconds(std::llround(std::exp(this->predictLog(this->fit(), x))));
}

jobs::Milliseconds EstimateModel::mean(jobs::Milliseconds estimate) const
{
    if (estimate.count() <= 0)
        return estimate;
    const double x = std::log(static_cast<double>(estimate.count()));
    const auto line = this->fit();
    return jobs::Milliseconds(
        std::llround(std::exp(this->predictLog(line, x) + line.variance / 2)));
}

} // namespace sassafrasferry::scheduling
