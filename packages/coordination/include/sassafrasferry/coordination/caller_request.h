// What callers' requests about jobs say besides their body, and the answers that many share.
#pragma once

#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/http/server.h>

#include <string>
#include <string_view>

namespace sassafrasferry::coordination {

/// The host that was asked, without a port; empty if none is named.
std::string_view hostOf(const http::Request &request);

/// Until when an answer reaches the caller in time. `patienceHeader` tells how many milliseconds
/// the caller waits.
Instant deadlineOf(const http::Request &request, const std::string &patienceHeader);

bool isJobId(const std::string &text);

/// Nothing was done; the caller may come back after the wait.
http::Response retryLater(const std::string &why,
                          std::chrono::seconds wait = std::chrono::seconds(1));

http::Response noSuchJob();

} // namespace sassafrasferry::coordination
