// Extracts the history of one job from logs of entry VMs.
#include "job_log.h"

#include "exit_code.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <set>

namespace sassafrasferry::cli {

namespace {

// A longer wait for the first start is reported as a finding.
constexpr std::int64_t longWaitMs = 500;

/// Returns the value of `key=value` in a line, or an empty string if the key is absent.
std::string fieldOf(const std::string &line, const std::string &key)
{
    const auto mark = key + "=";
    auto at = line.find(mark);
    while (at != std::string::npos && at > 0 && line[at - 1] != ' ')
        at = line.find(mark, at + 1);
    if (at == std::string::npos)
        return {};
    const auto begin = at + mark.size();
    return line.substr(begin, line.find(' ', begin) - begin);
}

/// Facts about the job, accumulated over the lines read so far.
struct JobSummary
{
    std::string service;
    std::set<std::string> failedOn; // workers on which a run failed
    std::size_t starts = 0;
    std::size_t failures = 0;
    std::size_t leaders = 0; // leader terms in which the job was taken up
    std::size_t refusals = 0;
    bool isStorageUnknown = false;
    std::string end; // final state; empty while the job is active
    std::optional<std::int64_t> learnedAt; // ms, when the first leader took up the job
    std::optional<std::int64_t> startedAt; // ms, start of the first run
};

std::optional<std::int64_t> timeOf(const std::string &line)
{
    std::int64_t time = 0;
    if (!absl::SimpleAtoi(fieldOf(line, "t"), &time))
        return std::nullopt;
    return time;
}

void addEvent(JobSummary &summary, const std::string &event, const std::string &line)
{
    const auto outcome = fieldOf(line, "outcome");
    if (event == "submit" && outcome == "refused")
        ++summary.refusals;
    if (event == "submit" && outcome == "unknown")
        summary.isStorageUnknown = true;
    if (event == "job") {
        ++summary.leaders;
        summary.service = fieldOf(line, "service");
        if (!summary.learnedAt)
            summary.learnedAt = timeOf(line);
    }
    if (event == "start" && summary.starts++ == 0)
        summary.startedAt = timeOf(line);
    if (event == "end" && fieldOf(line, "how") == "failed") {
        ++summary.failures;
        summary.failedOn.insert(fieldOf(line, "worker"));
    }
    if (event == "job-end")
        summary.end = fieldOf(line, "state");
}

std::vector<std::string> findingsOf(const JobSummary &summary)
{
    std::vector<std::string> findings;
    if (summary.refusals > 0)
        findings.push_back(
            absl::StrCat("refused ", summary.refusals,
                         " times: the store did not accept jobs, and nothing was stored"));
    if (summary.isStorageUnknown)
        findings.push_back(
            "answered 504: the store did not confirm in time whether it stored the job");
    if (summary.leaders > 1)
        findings.push_back(
            absl::StrCat(summary.leaders, " leaders managed the job one after another"));
    if (summary.learnedAt && summary.startedAt
        && *summary.startedAt - *summary.learnedAt > longWaitMs)
        findings.push_back(absl::StrCat("its first task waited ",
                                        *summary.startedAt - *summary.learnedAt,
                                        " ms to start; see the load lines for the cause"));
    if (summary.leaders > 0 && summary.starts == 0)
        findings.push_back("none of its tasks was started");
    if (summary.failures > 0)
        findings.push_back(absl::StrCat(summary.failures, " of ", summary.starts,
                                        " runs failed, on ", summary.failedOn.size(), " workers"));
    if (!summary.end.empty())
        findings.push_back("ended: " + summary.end);
    return findings;
}

} // namespace

JobHistory readJobHistory(std::istream &log, const std::string &job)
{
    JobHistory history;
    JobSummary summary;
    for (std::string line; std::getline(log, line);) {
        const auto event = fieldOf(line, "event");
        const auto subject = fieldOf(line, "of");
        const bool concernsJob =
            fieldOf(line, "job") == job || subject == job || absl::StartsWith(subject, job + ".");
        const bool isActive = !history.lines.empty() && summary.end.empty();
        const bool isLeaderChange = event == "lead" || event == "lead-lost";
        const bool isLoad = event == "load" && summary.starts == 0 && !summary.service.empty()
                            && fieldOf(line, "service") == summary.service;
        if (!concernsJob && !(isActive && (isLeaderChange || isLoad)))
            continue;
        history.lines.push_back(line);
        if (concernsJob)
            addEvent(summary, event, line);
    }
    history.findings = findingsOf(summary);
    return history;
}

int explainFromLog(const std::string &path, const std::string &job)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot open the file\n";
        return exit_code::usage;
    }
    const auto history = readJobHistory(file, job);
    if (history.lines.empty()) {
        std::cerr << path << ": the log has no line about job " << job << '\n';
        return exit_code::refused;
    }
    for (const auto &line : history.lines)
        std::cout << line << '\n';
    for (const auto &finding : history.findings)
        std::cout << "=> " << finding << '\n';
    return exit_code::ok;
}

} // namespace sassafrasferry::cli
