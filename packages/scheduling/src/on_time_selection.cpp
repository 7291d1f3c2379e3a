// Selects the jobs of a service that its workers can finish on time.
#include <sassafrasferry/scheduling/on_time_selection.h>

namespace sassafrasferry::scheduling {

namespace {

// Share of a job's slack that waiting may take under much overload; the rest is for tasks that run
// longer than expected.
constexpr double cautiousSlackShare = 0.6;
// Overload counts as much if the work passed over is at least this share of the selected work.
constexpr double muchExcess = 0.5;

/// A selection and its core-seconds.
struct Selection
{
    std::vector<bool> isSelected; // by job
    double selectedSeconds = 0;
    double passedOverSeconds = 0;
};

Selection select(const std::vector<BacklogJob> &jobs, double cores, Instant now, double slackShare,
                 double secondsBefore = 0)
{
    Selection selection;
    selection.selectedSeconds = secondsBefore;
    for (const auto &job : jobs) {
        const auto slack = policy::seconds(job.objective - now - job.remainingPath);
        const bool waitsTooLong = selection.selectedSeconds > slack * slackShare * cores;
        const bool isSelected = slack >= 0 && (job.isStarted || !waitsTooLong);
        selection.isSelected.push_back(isSelected);
        (isSelected ? selection.selectedSeconds : selection.passedOverSeconds) += job.coreSeconds;
    }
    return selection;
}

} // namespace

std::vector<bool> selectOnTime(const std::vector<BacklogJob> &jobs, double cores, Instant now)
{
    auto selection = select(jobs, cores, now, 1);
    if (selection.passedOverSeconds >= selection.selectedSeconds * muchExcess)
        selection = select(jobs, cores, now, cautiousSlackShare);
    return std::move(selection.isSelected);
}

std::vector<bool> selectLate(const std::vector<BacklogJob> &jobs, double cores,
                             double secondsBefore, Instant now)
{
    return select(jobs, cores, now, cautiousSlackShare, secondsBefore).isSelected;
}

} // namespace sassafrasferry::scheduling
