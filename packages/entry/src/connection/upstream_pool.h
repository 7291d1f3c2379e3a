// Connections of one traffic thread to the workers.
#pragma once

#include "../request/request_types.h"

#include <sassafrasferry/http/client.h>

#include <memory>
#include <string>
#include <unordered_map>

namespace sassafrasferry::entry {

/// One HTTP client for each worker's address, made when first used.
class UpstreamPool
{
public:
    /// `idleConnections`: kept for each worker at the most.
    UpstreamPool(http::asio::any_io_executor executor, std::size_t idleConnections);

    http::Client &client(const model::Endpoint &endpoint);

private:
    http::asio::any_io_executor executor;
    std::size_t idleConnections;
    std::unordered_map<std::string, std::unique_ptr<http::Client>> clients;
};

} // namespace sassafrasferry::entry
