// Creates the HTTP clients for workers on first use.
#include "upstream_pool.h"

namespace sassafrasferry::entry {

UpstreamPool::UpstreamPool(http::asio::any_io_executor executor, std::size_t idleConnections)
    : executor(std::move(executor))
    , idleConnections(idleConnections)
{}

http::Client &UpstreamPool::client(const model::Endpoint &endpoint)
{
    constexpr std::chrono::milliseconds connectTimeout{500};
    auto &client = this->clients[model::toString(endpoint)];
    if (!client) {
        http::Client::Options options;
        options.connectTimeout = connectTimeout;
        options.idleConnections = this->idleConnections;
        client = std::make_unique<http::Client>(this->executor, endpoint, options);
    }
    return *client;
}

} // namespace sassafrasferry::entry
