// The administration API: health, metrics, status, the document and waves.
#pragma once

#include "admin_request.h"
#include "control.h"

#include <sassafrasferry/http/server.h>

namespace sassafrasferry::entry {

/// Answers administration requests. Runs on the control thread.
class AdminApi
{
public:
    AdminApi(const model::Settings &settings, ProcessParts &parts, VersionHolder &versions,
             Control &control);

    Awaitable<http::Response> handle(http::Request request);

private:
    /// Answers the pages that do not query the store.
    http::Response localPage(const AdminTarget &target) const;
    http::Response healthz() const;
    http::Response metrics() const;
    http::Response status() const;
    http::Response upstreams() const;
    http::Response explain(const std::string &requestId) const;
    http::Response document() const;
    http::Response section(const std::string &name) const;
    Awaitable<http::Response> apply(std::string section, http::Request request);
    Awaitable<http::Response> operation(std::string operationId);
    Awaitable<http::Response> history(std::string after);
    Awaitable<http::Response> waves();
    Awaitable<http::Response> setWave(std::string name, http::Request request);

    const model::Settings &settings;
    ProcessParts &parts;
    VersionHolder &versions;
    Control &control;
};

} // namespace sassafrasferry::entry
