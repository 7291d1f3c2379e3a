// Selects the jobs of a service that its workers can finish on time.
#include <sassafrasferry/scheduling/on_time_selection.h>

namespace sassafrasferry::scheduling {

namespace {

// Share of a job's slack that waiting may take; the rest is for tasks that run longer than
// expected.
constexpr double maxSlackShare = 0.6;

} // namespace

OnTimeSelection::OnTimeSelection(double cores, Instant now)
    : cores(cores)
    , now(now)
{}

Duration OnTimeSelection::wait() const
{
    if (this->selectedSeconds <= 0)
        return Duration::zero();
    return this->cores > 0 ? policy::fromSeconds(this->selectedSeconds / this->cores)
                           : Duration::max();
}

bool OnTimeSelection::select(const BacklogJob &job)
{
    const auto slack = policy::seconds(job.objective - this->now - job.remainingPath);
    if (slack < 0)
        return false;
    const bool waitsTooLong = policy::seconds(this->wait()) > slack * maxSlackShare;
    if (waitsTooLong && !job.isStarted)
        return false;
    this->selectedSeconds += job.coreSeconds;
    return true;
}

} // namespace sassafrasferry::scheduling
