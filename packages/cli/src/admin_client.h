// Client of the administration API that fails over between entry VMs.
#pragma once

#include <sassafrasferry/http/json.h>
#include <sassafrasferry/model/settings.h>

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace sassafrasferry::cli {

/// An HTTP response of the administration API.
struct AdminAnswer
{
    unsigned status = 0;
    http::Json body;
};

/// A blocking client of the administration API.
class AdminClient
{
public:
    explicit AdminClient(std::vector<model::Endpoint> endpoints);

    /// Sends the request to the entry VMs in order and returns the first response.
    absl::StatusOr<AdminAnswer> get(const std::string &target);
    /// Like `get`, but tries the next entry VM after a 404, for data that only one entry VM holds.
    absl::StatusOr<AdminAnswer> getFirstFound(const std::string &target);
    /// Posts to the entry VMs in order until one may have received the request. The error `Unknown`
    /// means that no complete response arrived, so the request may have been executed.
    absl::StatusOr<AdminAnswer> post(const std::string &target, const http::Json &body);

private:
    std::vector<model::Endpoint> endpoints;
};

/// Parses "IP:port,IP:port". Returns an empty list if any item is malformed.
std::vector<model::Endpoint> parseEndpoints(const std::string &text);

} // namespace sassafrasferry::cli
