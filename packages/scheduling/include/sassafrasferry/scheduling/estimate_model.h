// Learns how far the estimates that come with work are from what the work takes.
#pragma once

#include <sassafrasferry/jobs/job_spec.h>

namespace sassafrasferry::scheduling {

/// A linear regression of the logarithm of observed times on that of estimates, with decay. Few
/// observations change the estimates little, and estimates that tell nothing about the observed
/// times end up at their average.
class EstimateModel
{
public:
    void observe(jobs::Milliseconds estimate, jobs::Milliseconds actual);

    /// What half of such work takes at most. Zero for no estimate.
    jobs::Milliseconds median(jobs::Milliseconds estimate) const;
    /// What such work takes on average.
    jobs::Milliseconds mean(jobs::Milliseconds estimate) const;

private:
    struct Line
    {
        double offset = 0; ///< of the logarithm, at the mean estimate
        double slope = 0; ///< of the deviation, over the logarithm of the estimate
        double variance = 0; ///< of what is left
    };

    Line fit() const;
    double logOf(const Line &line, double logEstimate) const;

    // Sums over x = log(estimate) and r = log(actual) - log(estimate).
    double count = 0;
    double sumX = 0;
    double sumR = 0;
    double sumXX = 0;
    double sumXR = 0;
    double sumRR = 0;
};

} // namespace sassafrasferry::scheduling
