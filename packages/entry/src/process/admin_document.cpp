// Administration pages for the document: its sections, changes and history.
#include "admin_api.h"

#include <sassafrasferry/http/json.h>

#include <absl/strings/numbers.h>

namespace sassafrasferry::entry {

namespace {

using http::Json;
using http::Status;

Status statusOf(store::ChangeState state)
{
    switch (state) {
    case store::ChangeState::Accepted:
        return Status::ok;
    case store::ChangeState::Refused:
        return Status::unprocessable_entity;
    case store::ChangeState::Conflict:
        return Status::conflict;
    case store::ChangeState::Forbidden:
        return Status::forbidden;
    case store::ChangeState::Unavailable:
        return Status::service_unavailable;
    case store::ChangeState::Unknown:
        return Status::bad_gateway;
    }
    return Status::internal_server_error;
}

Json toJson(const model::Findings &findings)
{
    auto list = Json::array();
    for (const auto &finding : findings)
        list.push_back({{"file", finding.place.file},
                        {"line", finding.place.line},
                        {"column", finding.place.column},
                        {"keyPath", finding.keyPath},
                        {"message", finding.message}});
    return list;
}

} // namespace

http::Response AdminApi::document() const
{
    const auto version = this->versions.current();
    auto sections = Json::array();
    for (const auto &section : version->texts.sections)
        sections.push_back({{"name", section.name},
                            {"revision", section.revision},
                            {"team", version->document.section(section.name)->team},
                            {"text", section.text}});
    return http::jsonResponse(Status::ok,
                              {{"revision", version->texts.revision}, {"sections", sections}});
}

http::Response AdminApi::section(const std::string &name) const
{
    const auto version = this->versions.current();
    const auto *section = version->texts.section(name);
    if (!section)
        return http::jsonResponse(Status::not_found, {{"name", name}, {"revision", 0}});
    return http::jsonResponse(
        Status::ok, {{"name", name}, {"revision", section->revision}, {"text", section->text}});
}

Awaitable<http::Response> AdminApi::apply(std::string section, http::Request request)
{
    auto change = parseSectionChange(section, request.body());
    if (!change.ok())
        co_return http::textResponse(Status::bad_request,
                                     std::string(change.status().message()) + "\n");
    const auto operationId = change->operationId;
    const auto result = co_await this->control.apply(std::move(*change));
    this->parts.log.write({"apply",
                           operationId,
                           {{"section", section},
                            {"state", std::string(model::nameOf(result.state))},
                            {"revision", std::to_string(result.revision)},
                            {"findings", std::to_string(result.findings.size())}}});
    co_return http::jsonResponse(statusOf(result.state),
                                 {{"state", std::string(model::nameOf(result.state))},
                                  {"revision", result.revision},
                                  {"operationId", operationId},
                                  {"findings", toJson(result.findings)},
                                  {"currentText", result.currentText}});
}

Awaitable<http::Response> AdminApi::operation(std::string operationId)
{
    const auto revision = co_await this->control.operation(operationId);
    if (!revision.ok())
        co_return http::textResponse(Status::service_unavailable,
                                     std::string(revision.status().message()) + "\n");
    co_return http::jsonResponse(Status::ok,
                                 {{"operationId", operationId}, {"revision", *revision}});
}

Awaitable<http::Response> AdminApi::history(std::string afterText)
{
    std::int64_t revision = 0;
    if (!absl::SimpleAtoi(afterText, &revision))
        co_return http::textResponse(Status::bad_request, "not a revision\n");
    const auto entries = co_await this->control.history(revision);
    if (!entries.ok())
        co_return http::textResponse(Status::service_unavailable,
                                     std::string(entries.status().message()) + "\n");
    auto list = Json::array();
    for (const auto &entry : *entries)
        list.push_back({{"revision", entry.revision},
                        {"section", entry.section},
                        {"team", entry.team},
                        {"operationId", entry.operationId}});
    co_return http::jsonResponse(Status::ok, {{"history", list}});
}

} // namespace sassafrasferry::entry
