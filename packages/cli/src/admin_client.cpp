// Sends requests over a new connection each time and maps failures to status codes.
#include "admin_client.h"

#include <sassafrasferry/http/client.h>

#include <absl/strings/str_split.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace sassafrasferry::cli {

namespace {

constexpr std::chrono::seconds timeout{15};

http::Exchange sendRequest(const model::Endpoint &endpoint, const http::Request &request)
{
    http::asio::io_context context(1);
    http::Client client(context.get_executor(), endpoint, {});
    http::Exchange result;
    http::asio::co_spawn(
        context,
        [&]() -> http::Awaitable<void> {
            result = co_await client.exchange(request, timeout);
            context.stop();
        },
        http::asio::detached);
    context.run();
    return result;
}

AdminAnswer answerOf(const http::Exchange &exchange)
{
    auto body = http::parseJson(exchange.response.body());
    if (body.is_discarded())
        body = exchange.response.body();
    return {exchange.response.result_int(), std::move(body)};
}

absl::Status noEntryAnswered(const std::string &lastError)
{
    return absl::UnavailableError("no entry VM answered: " + lastError);
}

} // namespace

std::vector<model::Endpoint> parseEndpoints(const std::string &text)
{
    std::vector<model::Endpoint> endpoints;
    const std::vector<std::string> items = absl::StrSplit(text, ',');
    for (const auto &item : items) {
        const auto endpoint = model::parseEndpoint(item);
        if (!endpoint)
            return {};
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

AdminClient::AdminClient(std::vector<model::Endpoint> endpoints)
    : endpoints(std::move(endpoints))
{}

absl::StatusOr<AdminAnswer> AdminClient::get(const std::string &target)
{
    std::string lastError;
    for (const auto &endpoint : this->endpoints) {
        const auto result = sendRequest(endpoint, http::Request{http::Verb::get, target, 11});
        if (result.state == http::ExchangeState::Answered)
            return answerOf(result);
        lastError = std::string(result.status.message());
    }
    return noEntryAnswered(lastError);
}

absl::StatusOr<AdminAnswer> AdminClient::getFirstFound(const std::string &target)
{
    constexpr unsigned notFound = 404;
    absl::StatusOr<AdminAnswer> last = noEntryAnswered("");
    for (const auto &endpoint : this->endpoints) {
        const auto result = sendRequest(endpoint, http::Request{http::Verb::get, target, 11});
        if (result.state != http::ExchangeState::Answered)
            continue;
        last = answerOf(result);
        if (last->status != notFound)
            return last;
    }
    return last;
}

absl::StatusOr<AdminAnswer> AdminClient::post(const std::string &target, const http::Json &body)
{
    std::string lastError;
    for (const auto &endpoint : this->endpoints) {
        const auto result =
            sendRequest(endpoint, http::jsonRequest(http::Verb::post, target, body));
        if (result.state == http::ExchangeState::Answered)
            return answerOf(result);
        if (result.state == http::ExchangeState::Broken)
            return absl::UnknownError(std::string(result.status.message()));
        lastError = std::string(result.status.message());
    }
    return noEntryAnswered(lastError);
}

} // namespace sassafrasferry::cli
