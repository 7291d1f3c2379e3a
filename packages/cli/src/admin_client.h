// Asks the administration API of whichever entry VM answers.
#pragma once

#include <sassafrasferry/http/json.h>
#include <sassafrasferry/model/settings.h>

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace sassafrasferry::cli {

/// An answer of the administration API.
struct AdminAnswer
{
    unsigned status = 0;
    http::Json body;
};

/// A client of the administration API; each call waits for its answer.
class AdminClient
{
public:
    explicit AdminClient(std::vector<model::Endpoint> endpoints);

    /// Asks one entry VM after the other until one answers.
    absl::StatusOr<AdminAnswer> get(const std::string &target);
    /// As `get`, but goes on past answers 404, for what only one entry VM knows.
    absl::StatusOr<AdminAnswer> find(const std::string &target);
    /// Posts to one entry VM after the other until one certainly took the request in. A failed
    /// status `Unknown` means that one of them may have carried it out.
    absl::StatusOr<AdminAnswer> post(const std::string &target, const http::Json &body);

private:
    std::vector<model::Endpoint> endpoints;
};

/// Parses "IP:port,IP:port"; empty if it is not of that form.
std::vector<model::Endpoint> parseEndpoints(const std::string &text);

} // namespace sassafrasferry::cli
