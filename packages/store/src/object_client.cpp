// The object store's HTTP protocol, as a client.
#include <sassafrasferry/store/object_client.h>

namespace sassafrasferry::store {

namespace {

absl::Status statusOf(const http::Exchange &exchange)
{
    if (exchange.state != http::ExchangeState::Answered)
        return exchange.status;
    if (exchange.response.result() != http::Status::ok)
        return absl::UnavailableError("the object store answered "
                                      + std::to_string(exchange.response.result_int()));
    return absl::OkStatus();
}

} // namespace

ObjectClient::ObjectClient(http::asio::any_io_executor executor, const model::Endpoint &endpoint,
                           std::chrono::milliseconds timeout)
    : client(std::move(executor), endpoint, {})
    , timeout(timeout)
{}

http::Awaitable<absl::Status> ObjectClient::put(std::string name, std::string body)
{
    http::Request request{http::Verb::put, "/v1/objects/" + name, 11};
    request.body() = std::move(body);
    request.prepare_payload();
    const auto exchange = co_await this->client.exchange(std::move(request), this->timeout);
    co_return statusOf(exchange);
}

http::Awaitable<absl::StatusOr<std::string>> ObjectClient::get(std::string name)
{
    http::Request request{http::Verb::get, "/v1/objects/" + name, 11};
    auto exchange = co_await this->client.exchange(std::move(request), this->timeout);
    if (const auto status = statusOf(exchange); !status.ok())
        co_return status;
    co_return std::move(exchange.response.body());
}

http::Awaitable<absl::Status> ObjectClient::remove(std::string name)
{
    http::Request request{http::Verb::delete_, "/v1/objects/" + name, 11};
    const auto exchange = co_await this->client.exchange(std::move(request), this->timeout);
    const bool isGone = exchange.state == http::ExchangeState::Answered
                        && exchange.response.result() == http::Status::not_found;
    co_return isGone ? absl::OkStatus() : statusOf(exchange);
}

} // namespace sassafrasferry::store
