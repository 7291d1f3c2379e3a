// HTTP client for orders to the platform.
#pragma once

#include <sassafrasferry/fleet/vm_control.h>
#include <sassafrasferry/http/client.h>

namespace sassafrasferry::fleet {

/// Implements `VmControl`. Not thread-safe: use it on one executor.
class VmControlClient
{
public:
    VmControlClient(http::asio::any_io_executor executor, const model::Endpoint &endpoint,
                    std::chrono::milliseconds timeout);

    Awaitable<absl::StatusOr<VmReport>> report(std::string vm);
    Awaitable<absl::Status> drain(std::string vm, std::int64_t order);
    Awaitable<absl::Status> maintain(std::string vm, std::int64_t order);
    Awaitable<absl::Status> resume(std::string vm, std::int64_t order);

private:
    Awaitable<absl::Status> sendOrder(std::string vm, std::string what, std::int64_t order);

    http::Client client;
    std::chrono::milliseconds timeout;
};

static_assert(VmControl<VmControlClient>);

} // namespace sassafrasferry::fleet
