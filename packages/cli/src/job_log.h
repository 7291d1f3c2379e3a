// Extracts the history of one job from logs of entry VMs.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace sassafrasferry::cli {

/// The history of a job. The input may be the concatenated logs of several entry VMs.
struct JobHistory
{
    /// Unmodified log lines about the job, together with leader changes while the job is active and
    /// the load of its service until its first task starts.
    std::vector<std::string> lines;
    std::vector<std::string> findings; ///< conclusions drawn from the lines, one sentence each
};

JobHistory readJobHistory(std::istream &log, const std::string &job);

/// Prints the history. Returns exit code 1 if the log has no line about the job.
int explainFromLog(const std::string &path, const std::string &job);

} // namespace sassafrasferry::cli
