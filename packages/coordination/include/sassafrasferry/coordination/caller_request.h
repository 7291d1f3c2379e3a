// Parses the headers and job ids of callers' job requests, and builds their common responses.
#pragma once

#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/http/server.h>

#include <string>
#include <string_view>

namespace sassafrasferry::coordination {

/// Host of the request's `Host` header without the port; empty if there is no such header.
std::string_view hostOf(const http::Request &request);

/// Latest time to answer so that the response reaches the caller while it still waits. The header
/// `deadlineHeader` holds how many milliseconds the caller waits.
Instant deadlineOf(const http::Request &request, const std::string &deadlineHeader);

bool isJobId(const std::string &text);

/// Response 503 with a `Retry-After` header: the caller may repeat the request after the wait.
http::Response retryLater(const std::string &why,
                          std::chrono::seconds wait = std::chrono::seconds(1));

/// Response to a request for the number of a queue's jobs that have not started.
http::Response pendingResponse(std::size_t count);

/// Response 429: a task of the job needs more than the customer may use at all.
http::Response aboveCap();

/// Response 409: a job of another customer has the id.
http::Response idTaken();

/// Response 410.
http::Response noSuchJob();
/// Of a submission: the job was cancelled before it was stored, and never runs.
http::Response cancelledBefore();

} // namespace sassafrasferry::coordination
