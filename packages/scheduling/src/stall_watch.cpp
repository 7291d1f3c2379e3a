// Evidence that the tasks of a worker do not get on.
#include <sassafrasferry/scheduling/stall_watch.h>

#include <algorithm>
#include <cmath>

namespace sassafrasferry::scheduling {

namespace {

constexpr double stalledRate = 0.25; // of the usual rate of ends
constexpr double stalledEvidence = 10; // a false alarm in some 22,000 tests
constexpr double slowEvidence = 5;

} // namespace

void StallWatch::expect(double ends)
{
    this->ratio += (1 - stalledRate) * ends;
}

void StallWatch::ended()
{
    this->ratio = std::max(0.0, this->ratio + std::log(stalledRate));
}

double StallWatch::evidence() const
{
    return this->ratio;
}

bool StallWatch::isStalled() const
{
    return this->ratio >= stalledEvidence;
}

bool StallWatch::isSlow() const
{
    return this->ratio >= slowEvidence;
}

void StallWatch::clear()
{
    this->ratio = 0;
}

} // namespace sassafrasferry::scheduling
