// Commands on the configuration document.
#include "document_commands.h"

#include "exit_code.h"
#include "line_diff.h"
#include "section_file.h"

#include <sassafrasferry/model/sections.h>
#include <sassafrasferry/program/text_file.h>

#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <thread>

namespace sassafrasferry::cli {

namespace {

using http::Json;

constexpr unsigned okStatus = 200;
constexpr int operationPollAttempts = 30;
constexpr std::chrono::seconds operationPollInterval{1};
constexpr std::chrono::milliseconds watchPollInterval{100};
constexpr int watchPollAttempts = 600;

std::optional<std::string> readFile(const std::string &path)
{
    model::Findings findings;
    auto text = program::readText(path, findings);
    std::cerr << model::toString(findings);
    return text;
}

int printError(const absl::Status &status)
{
    std::cerr << status.message() << "\n";
    return exit_code::unavailable;
}

std::string newOperationId()
{
    std::random_device device;
    std::ostringstream id;
    id << "op-" << std::hex;
    for (int i = 0; i < 4; ++i)
        id << device();
    return id.str();
}

void printFindings(const Json &findings, const std::string &path)
{
    for (const auto &finding : findings) {
        // Line numbers count from the start of the stored section, which lacks the file's first
        // line (the revision).
        const auto file = finding.value("file", "");
        std::cerr << path << " (section " << file << "):" << finding.value("line", 0) << ":"
                  << finding.value("column", 0) << ": " << finding.value("keyPath", "") << ": "
                  << finding.value("message", "") << "\n";
    }
}

// Polls until the operation is recorded or the attempts are used up.
int awaitOperation(AdminClient &client, const std::string &operationId, std::int64_t &revision)
{
    for (int i = 0; i < operationPollAttempts; ++i) {
        const auto answer = client.get("/v1/operations/" + operationId);
        if (answer.ok() && answer->status == okStatus) {
            revision = answer->body.value("revision", std::int64_t{0});
            if (revision > 0)
                return exit_code::ok;
        }
        std::this_thread::sleep_for(operationPollInterval);
    }
    std::cerr << "unknown: cannot confirm operation " << operationId
              << "; look for it later with the history command\n";
    return exit_code::unknown;
}

int explainRefusal(const AdminAnswer &answer, const ApplyOptions &options, const std::string &text)
{
    const auto state = answer.body.value("state", "refused");
    std::cerr << state << "\n";
    if (state == "conflict") {
        std::cerr << "revision " << answer.body.value("revision", 0)
                  << " changed this section after your base revision; differences from your file:\n"
                  << lineDiff(answer.body.value("currentText", ""), text);
    }
    if (answer.body.contains("findings"))
        printFindings(answer.body["findings"], options.path);
    return state == "unavailable" ? exit_code::unavailable : exit_code::refused;
}

} // namespace

int checkFile(const std::string &path)
{
    const auto content = readFile(path);
    if (!content)
        return exit_code::usage;
    model::Findings findings;
    const auto sections = model::splitSections(*content, path, findings);
    if (findings.empty())
        model::parseDocument(sections, 0, findings);
    std::cout << model::toString(findings);
    if (!findings.empty())
        return exit_code::refused;
    std::cout << path << ": ok, " << sections.size() << " sections\n";
    return exit_code::ok;
}

int show(AdminClient &client, const std::string &section)
{
    const auto answer = client.get("/v1/document");
    if (!answer.ok())
        return printError(answer.status());
    bool isFound = section.empty();
    for (const auto &item : answer->body["sections"]) {
        if (!section.empty() && item["name"] != section)
            continue;
        isFound = true;
        std::cout << "# section " << item.value("name", "") << ", team " << item.value("team", "")
                  << ", revision " << item.value("revision", 0) << "\n"
                  << item.value("text", "");
    }
    if (!isFound) {
        std::cerr << "no section " << section << "\n";
        return exit_code::refused;
    }
    return exit_code::ok;
}

int get(AdminClient &client, const std::string &section)
{
    const auto answer = client.get("/v1/sections/" + section);
    if (!answer.ok())
        return printError(answer.status());
    if (answer->status != okStatus) {
        std::cerr << "no section " << section << "\n";
        return exit_code::refused;
    }
    const SectionFile file{answer->body.value("text", ""),
                           answer->body.value("revision", std::int64_t{0})};
    std::cout << writeSectionFile(section, file);
    return exit_code::ok;
}

int diff(AdminClient &client, const std::string &section, const std::string &path)
{
    const auto content = readFile(path);
    if (!content)
        return exit_code::usage;
    model::Findings findings;
    const auto file = readSectionFile(section, *content, path, findings);
    std::cerr << model::toString(findings);
    if (!findings.empty())
        return exit_code::refused;
    const auto answer = client.get("/v1/sections/" + section);
    if (!answer.ok())
        return printError(answer.status());
    std::cout << lineDiff(answer->body.value("text", ""), file.text);
    return exit_code::ok;
}

int apply(AdminClient &client, const ApplyOptions &options)
{
    const auto content = readFile(options.path);
    if (!content)
        return exit_code::usage;
    model::Findings findings;
    const auto file = readSectionFile(options.section, *content, options.path, findings);
    std::cerr << model::toString(findings);
    if (!findings.empty())
        return exit_code::refused;
    const auto operationId = newOperationId();
    const auto answer =
        client.post("/v1/sections/" + options.section, {{"text", file.text},
                                                        {"baseRevision", file.baseRevision},
                                                        {"operationId", operationId},
                                                        {"token", options.token}});
    if (!answer.ok() && !absl::IsUnknown(answer.status()))
        return printError(answer.status());
    std::int64_t revision = 0;
    const bool isUnknown = !answer.ok() || answer->body.value("state", "") == "unknown";
    if (isUnknown) {
        std::cerr << "no response; querying the state of operation " << operationId << "\n";
        if (const int code = awaitOperation(client, operationId, revision); code != exit_code::ok)
            return code;
    } else if (answer->status != okStatus) {
        return explainRefusal(*answer, options, file.text);
    } else {
        revision = answer->body.value("revision", std::int64_t{0});
    }
    std::cout << "accepted: revision " << revision << "\n";
    return options.mustWait ? watch(client, revision) : exit_code::ok;
}

int history(AdminClient &client, std::int64_t after)
{
    // The history is paginated; an empty page ends it.
    for (;;) {
        const auto answer = client.get("/v1/history/" + std::to_string(after));
        if (!answer.ok())
            return printError(answer.status());
        if (answer->status != okStatus)
            return printError(absl::UnavailableError("the store cannot be read"));
        const auto &page = answer->body["history"];
        if (page.empty())
            return exit_code::ok;
        for (const auto &entry : page) {
            after = entry.value("revision", after + 1);
            std::cout << "revision " << after << " section " << entry.value("section", "")
                      << " team " << entry.value("team", "") << " operation "
                      << entry.value("operationId", "") << "\n";
        }
    }
}

int watch(AdminClient &client, std::int64_t revision)
{
    std::map<std::string, std::int64_t> lastPrinted;
    for (int i = 0; i < watchPollAttempts; ++i) {
        const auto answer = client.get("/v1/status");
        if (!answer.ok())
            return printError(answer.status());
        const auto &body = answer->body;
        std::map<std::string, std::int64_t> revisions{
            {body.value("entry", ""), body.value("revision", std::int64_t{0})}};
        for (const auto &peer : body["peers"])
            revisions[peer.value("name", "")] = peer.value("revision", std::int64_t{0});
        const std::vector<std::string> live = body["live"];
        std::size_t inForce = 0;
        for (const auto &name : live) {
            const auto current = revisions[name];
            inForce += current >= revision ? 1 : 0;
            if (lastPrinted[name] != current)
                std::cout << name << " has revision " << current << "\n";
            lastPrinted[name] = current;
        }
        if (revision > 0 && inForce == live.size()) {
            std::cout << "revision " << revision << " is in force on all " << inForce
                      << " entry VMs\n";
            return exit_code::ok;
        }
        std::this_thread::sleep_for(watchPollInterval);
    }
    return exit_code::unknown;
}

} // namespace sassafrasferry::cli
