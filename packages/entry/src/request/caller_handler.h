// Handles the HTTP requests of callers and answers each with the outcome of its request.
#pragma once

#include "../connection/traffic_environment.h"
#include "../version/version.h"

#include <sassafrasferry/http/server.h>

namespace sassafrasferry::entry {

/// Handles one caller's request on a traffic thread. The first segment of the path names the
/// service; the worker receives the complete target.
Awaitable<http::Response> handleCaller(TrafficEnvironment &environment,
                                       const VersionHolder &versions, http::Request message,
                                       std::shared_ptr<http::Disconnect> disconnect);

} // namespace sassafrasferry::entry
