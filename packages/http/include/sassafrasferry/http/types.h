// Names for the HTTP library's types, and the header fields this system uses.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace sassafrasferry::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using Request = beast::http::request<beast::http::string_body>;
using Response = beast::http::response<beast::http::string_body>;
using Status = beast::http::status;
using Verb = beast::http::verb;
using Field = beast::http::field;
template<typename T>
using Awaitable = asio::awaitable<T>;

/// Header fields between callers, entry VMs and upstreams.
namespace header {
constexpr const char *outcome = "Outcome"; ///< completed, not-run or unknown
constexpr const char *reason = "Reason"; ///< why an answer is a refusal
constexpr const char *requestId = "Request-Id";
constexpr const char *idempotencyKey = "Idempotency-Key";
constexpr const char *callerId = "Caller-Id";
constexpr const char *requestTimeout = "Request-Timeout-Ms"; ///< the caller's deadline
constexpr const char *requestClass = "Request-Class";
constexpr const char *replayed = "Replayed"; ///< true: the answer was kept from an earlier run
constexpr const char *operationId = "Operation-Id"; ///< names one attempt at a worker
constexpr const char *startDeadline = "Start-Deadline-Ms"; ///< Unix milliseconds
constexpr const char *startedAt = "Started-At-Ms"; ///< when the worker's process started
constexpr const char *clockNow = "Clock-Ms"; ///< the worker's clock
constexpr const char *leaving = "Leaving"; ///< true: the worker takes no new work
} // namespace header

/// The value of a header field, or an empty string.
inline std::string fieldOf(const auto &message, std::string_view name)
{
    const auto at = message.find(beast::string_view(name.data(), name.size()));
    return at == message.end() ? std::string() : std::string(at->value());
}

} // namespace sassafrasferry::http
