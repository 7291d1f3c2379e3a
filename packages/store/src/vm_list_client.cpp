// The VM list's HTTP protocol, as a client. Only VMs that leave are listed, so that a poll costs
// the same whatever the fleet's size.
#include <sassafrasferry/store/vm_list_client.h>

#include <sassafrasferry/http/json.h>

namespace sassafrasferry::store {

VmListClient::VmListClient(http::asio::any_io_executor executor, const model::Endpoint &endpoint,
                           std::chrono::milliseconds timeout)
    : client(std::move(executor), endpoint, {})
    , timeout(timeout)
{}

http::Awaitable<absl::StatusOr<std::vector<std::string>>> VmListClient::leaving()
{
    http::Request request{http::Verb::get, "/v1/vms?state=leaving", 11};
    const auto exchange = co_await this->client.exchange(std::move(request), this->timeout);
    if (exchange.state != http::ExchangeState::Answered)
        co_return exchange.status;
    const auto json = http::parseJson(exchange.response.body());
    if (exchange.response.result() != http::Status::ok || !json.contains("leaving"))
        co_return absl::UnavailableError("the VM list answered "
                                         + std::to_string(exchange.response.result_int()));
    std::vector<std::string> names;
    for (const auto &name : json["leaving"])
        names.push_back(name.get<std::string>());
    co_return names;
}

} // namespace sassafrasferry::store
