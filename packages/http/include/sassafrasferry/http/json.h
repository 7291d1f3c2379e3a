// JSON bodies of requests and answers.
#pragma once

#include <sassafrasferry/http/types.h>

#include <nlohmann/json.hpp>

namespace sassafrasferry::http {

using Json = nlohmann::json;

/// A response with a JSON body.
Response jsonResponse(Status status, const Json &body);
/// A response with a plain text body.
Response textResponse(Status status, std::string body);
/// A POST request with a JSON body.
Request jsonRequest(Verb verb, std::string_view target, const Json &body);
/// Parses a body; a discarded value if it is not JSON or nested too deeply.
Json parseJson(const std::string &body);

} // namespace sassafrasferry::http
