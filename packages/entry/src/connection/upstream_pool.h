// Pool of HTTP clients through which one traffic thread reaches the workers.
#pragma once

#include "../request/request_types.h"

#include <sassafrasferry/http/client.h>

#include <memory>
#include <string>
#include <unordered_map>

namespace sassafrasferry::entry {

/// Holds one HTTP client for each worker address, created on first use.
class UpstreamPool
{
public:
    /// `idleConnections` is the maximum number of idle connections kept for each worker.
    UpstreamPool(http::asio::any_io_executor executor, std::size_t idleConnections);

    http::Client &client(const model::Endpoint &endpoint);

private:
    http::asio::any_io_executor executor;
    std::size_t idleConnections;
    std::unordered_map<std::string, std::unique_ptr<http::Client>> clients;
};

} // namespace sassafrasferry::entry
