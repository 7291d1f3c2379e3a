// The platform's list of VMs: it lags, and names the VMs that are leaving.
#pragma once

#include <sassafrasferry/http/client.h>

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace sassafrasferry::store {

/// A client of the list; for use on one executor.
class VmListClient
{
public:
    VmListClient(http::asio::any_io_executor executor, const model::Endpoint &endpoint,
                 std::chrono::milliseconds timeout);

    /// Names of the VMs that are leaving or gone.
    http::Awaitable<absl::StatusOr<std::vector<std::string>>> leaving();
    http::ClientTraffic traffic() const
    {
        return this->client.traffic();
    }

private:
    http::Client client;
    std::chrono::milliseconds timeout;
};

} // namespace sassafrasferry::store
