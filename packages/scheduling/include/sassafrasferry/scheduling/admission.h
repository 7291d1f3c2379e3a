// Decides whether a submitted job is accepted.
//
// Load pattern: for many seconds more work arrives than all workers can do. Accepted without end, it
// forms a backlog whose jobs end long after their callers have a use for them, and each caller
// learns of it only by waiting. A job that could only join that backlog is refused at once.
#pragma once

#include <sassafrasferry/jobs/job.h>
#include <sassafrasferry/scheduling/scheduler.h>

#include <map>
#include <string>

namespace sassafrasferry::scheduling {

/// Expected waits of a job that is submitted now, by the leader's state.
struct ServiceOutlook
{
    Duration onTimeWait{}; ///< behind the work of the service that can be on time
    Duration lateWait{}; ///< behind the late work of all services
};

/// Outlook of each service that has workers. A service without workers may just be recovering, so
/// nothing is said about it. `fleetCores`: cores of all VMs, which serve late work in common.
std::map<std::string, ServiceOutlook> outlooksOf(const std::map<std::string, ServiceLoad> &loads,
                                                 double fleetCores);

/// The expected time of a submitted job.
struct SubmittedJob
{
    Duration path{}; ///< time of the job with a worker for each of its tasks
    Duration objective{}; ///< time from submission within which the job counts as on time
};

SubmittedJob submittedJob(const jobs::JobSpec &spec, const jobs::QueueTerms &terms);

/// True unless the job can be neither on time nor of use to its caller later.
bool isAdmitted(const SubmittedJob &job, const ServiceOutlook &outlook);

/// Time after which the late work is expected to be so far done that such a job is accepted.
Duration timeToAdmission(const SubmittedJob &job, const ServiceOutlook &outlook);

} // namespace sassafrasferry::scheduling
