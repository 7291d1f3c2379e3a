// Learns how far declared run time estimates are from observed run times.
#pragma once

#include <sassafrasferry/jobs/job_spec.h>

namespace sassafrasferry::scheduling {

/// Linear regression of the logarithm of observed times on the logarithm of estimates, in which old
/// observations decay. With few observations the predictions stay close to the estimates. Estimates
/// that do not correlate with the observed times are replaced by the average observed time.
class EstimateModel
{
public:
    void observe(jobs::Milliseconds estimate, jobs::Milliseconds actual);

    /// Median run time of work with this estimate. Zero if there is no estimate.
    jobs::Milliseconds median(jobs::Milliseconds estimate) const;
    /// Mean run time of work with this estimate. Zero if there is no estimate.
    jobs::Milliseconds mean(jobs::Milliseconds estimate) const;

private:
    struct Line
    {
        double offset = 0; ///< mean of log(actual) - log(estimate), at the mean estimate
        double slope = 0; ///< of log(actual) - log(estimate) over log(estimate)
        double variance = 0; ///< of the residuals
    };

    Line fit() const;
    double predictLog(const Line &line, double logEstimate) const;

    // Sums over x = log(estimate) and r = log(actual) - log(estimate).
    double count = 0;
    double sumX = 0;
    double sumR = 0;
    double sumXX = 0;
    double sumXR = 0;
    double sumRR = 0;
};

} // namespace sassafrasferry::scheduling
