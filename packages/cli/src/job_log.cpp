// What the logs of entry VMs tell of one job.
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

// A wait worth a sentence.
constexpr std::int64_t longWait = 500; // ms

/// The value of `key=value` in a line; empty: there is none.
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

/// What was read so far.
struct Reading
{
    std::string service;
    std::set<std::string> failedOn; // workers
    std::size_t starts = 0;
    std::size_t failures = 0;
    std::size_t leaders = 0; // that heard of the job
    std::size_t refusals = 0;
    bool isUnsure = false;
    std::string end; // the state in which the job ended
    std::optional<std::int64_t> heardAt; // ms, by the first leader
    std::optional<std::int64_t> startedAt;
};

std::optional<std::int64_t> timeOf(const std::string &line)
{
    std::int64_t time = 0;
    if (!absl::SimpleAtoi(fieldOf(line, "t"), &time))
        return std::nullopt;
    return time;
}

void take(Reading &reading, const std::string &event, const std::string &line)
{
    const auto outcome = fieldOf(line, "outcome");
    if (event == "submit" && outcome == "refused")
        ++reading.refusals;
    if (event == "submit" && outcome == "unknown")
        reading.isUnsure = true;
    if (event == "job") {
        ++reading.leaders;
        reading.service = fieldOf(line, "service");
        if (!reading.heardAt)
            reading.heardAt = timeOf(line);
    }
    if (event == "start" && reading.starts++ == 0)
        reading.startedAt = timeOf(line);
    if (event == "end" && fieldOf(line, "how") == "failed") {
        ++reading.failures;
        reading.failedOn.insert(fieldOf(line, "worker"));
    }
    if (event == "job-end")
        reading.end = fieldOf(line, "state");
}

std::vector<std::string> findingsOf(const Reading &reading)
{
    std::vector<std::string> findings;
    if (reading.refusals > 0)
        findings.push_back(absl::StrCat("refused ", reading.refusals,
                                        " times: the store took no jobs, and nothing was stored"));
    if (reading.isUnsure)
        findings.push_back("answered 504: the store did not tell in time whether it has the job");
    if (reading.leaders > 1)
        findings.push_back(absl::StrCat(reading.leaders, " leaders had the job in turn"));
    if (reading.heardAt && reading.startedAt && *reading.startedAt - *reading.heardAt > longWait)
        findings.push_back(absl::StrCat("its first task waited ",
                                        *reading.startedAt - *reading.heardAt,
                                        " ms; the load lines show for what"));
    if (reading.leaders > 0 && reading.starts == 0)
        findings.push_back("no task of it was started");
    if (reading.failures > 0)
        findings.push_back(absl::StrCat(reading.failures, " of ", reading.starts,
                                        " runs failed, on ", reading.failedOn.size(), " workers"));
    if (!reading.end.empty())
        findings.push_back("ended: " + reading.end);
    return findings;
}

} // namespace

JobStory storyOf(std::istream &log, const std::string &job)
{
    JobStory story;
    Reading reading;
    for (std::string line; std::getline(log, line);) {
        const auto event = fieldOf(line, "event");
        const auto subject = fieldOf(line, "of");
        const bool isAbout =
            fieldOf(line, "job") == job || subject == job || absl::StartsWith(subject, job + ".");
        const bool isUnderWay = !story.lines.empty() && reading.end.empty();
        const bool isLeaderChange = event == "lead" || event == "lead-lost";
        const bool isLoad = event == "load" && reading.starts == 0 && !reading.service.empty()
                            && fieldOf(line, "service") == reading.service;
        if (!isAbout && !(isUnderWay && (isLeaderChange || isLoad)))
            continue;
        story.lines.push_back(line);
        if (isAbout)
            take(reading, event, line);
    }
    story.findings = findingsOf(reading);
    return story;
}

int explainFromLog(const std::string &path, const std::string &job)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return exit_code::usage;
    }
    const auto story = storyOf(file, job);
    if (story.lines.empty()) {
        std::cerr << path << ": no line about " << job << '\n';
        return exit_code::refused;
    }
    for (const auto &line : story.lines)
        std::cout << line << '\n';
    for (const auto &finding : story.findings)
        std::cout << "=> " << finding << '\n';
    return exit_code::ok;
}

} // namespace sassafrasferry::cli
