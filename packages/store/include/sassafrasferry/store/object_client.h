// The object store over HTTP: whole objects by name.
#pragma once

#include <sassafrasferry/http/client.h>

#include <absl/status/statusor.h>

namespace sassafrasferry::store {

/// A client of the object store; for use on one executor.
class ObjectClient
{
public:
    ObjectClient(http::asio::any_io_executor executor, const model::Endpoint &endpoint,
                 std::chrono::milliseconds timeout);

    http::Awaitable<absl::Status> put(std::string name, std::string body);
    http::Awaitable<absl::StatusOr<std::string>> get(std::string name);
    /// Removes an object; it is no error if there is none.
    http::Awaitable<absl::Status> remove(std::string name);

private:
    http::Client client;
    std::chrono::milliseconds timeout;
};

} // namespace sassafrasferry::store
