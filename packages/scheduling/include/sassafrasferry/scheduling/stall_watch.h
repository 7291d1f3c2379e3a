// Evidence that the tasks of a worker do not get on.
#pragma once

#include <sassafrasferry/jobs/job.h>

namespace sassafrasferry::scheduling {

/// A sequential test of two hypotheses: tasks end at the worker as often as usual, or at a quarter of
/// that rate. A worker that answers, starts all it is told to and ends nothing is found after some
/// task times, however long its single tasks may take.
class StallWatch
{
public:
    /// So many tasks should have ended there since the last call.
    void expect(double ends);
    /// A task has ended there.
    void ended();
    /// The logarithm of the likelihood ratio; at least 0.
    double evidence() const;
    bool isStalled() const;
    /// Some evidence, which many workers have at a time when run times change for all of them.
    bool isSlow() const;
    void clear();

private:
    double ratio = 0;
};

} // namespace sassafrasferry::scheduling
