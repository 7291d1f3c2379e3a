// What the logs of entry VMs tell of one job.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace sassafrasferry::cli {

/// The way of a job, from logs that may be of several entry VMs, one after the other.
struct JobStory
{
    /// The lines about the job, with changes of the leader in between, and the load of its service
    /// until its first start. As in the log.
    std::vector<std::string> lines;
    std::vector<std::string> findings; ///< what these lines amount to, a sentence each
};

JobStory storyOf(std::istream &log, const std::string &job);

/// Prints the story; exit code 1 if the log knows nothing of the job.
int explainFromLog(const std::string &path, const std::string &job);

} // namespace sassafrasferry::cli
