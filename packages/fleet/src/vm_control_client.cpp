// Client side of the platform's HTTP protocol for orders to VMs.
#include <sassafrasferry/fleet/vm_control_client.h>

#include <sassafrasferry/http/json.h>

namespace sassafrasferry::fleet {

namespace {

absl::Status statusOf(const http::Exchange &exchange)
{
    if (exchange.state != http::ExchangeState::Answered)
        return exchange.status;
    if (exchange.response.result() != http::Status::ok)
        return absl::UnavailableError("the platform answered with HTTP status "
                                      + std::to_string(exchange.response.result_int()));
    return absl::OkStatus();
}

} // namespace

VmControlClient::VmControlClient(http::asio::any_io_executor executor,
                                 const model::Endpoint &endpoint, std::chrono::milliseconds timeout)
    : client(std::move(executor), endpoint, {})
    , timeout(timeout)
{}

Awaitable<absl::StatusOr<VmReport>> VmControlClient::report(std::string vm)
{
    http::Request request{http::Verb::get, "/v1/vms/" + vm, 11};
    const auto exchange = co_await this->client.exchange(std::move(request), this->timeout);
    const auto status = statusOf(exchange);
    if (!status.ok())
        co_return status;
    const auto json = http::parseJson(exchange.response.body());
    const auto phase =
        json.is_object() ? model::valueOf<VmPhase>(json.value("phase", "")) : std::nullopt;
    if (!phase)
        co_return absl::DataLossError("the platform's report on the VM has no valid phase");
    VmReport report;
    report.phase = *phase;
    report.drainedOrder = json.value("drainedOrder", std::int64_t{0});
    report.maintainedOrder = json.value("maintainedOrder", std::int64_t{0});
    report.isFailing = json.value("failing", false);
    co_return report;
}

Awaitable<absl::Status> VmControlClient::sendOrder(std::string vm, std::string what,
                                                   std::int64_t order)
{
    const http::Json body{{"order", order}};
    auto request = http::jsonRequest(http::Verb::post, "/v1/vms/" + vm + "/" + what, body);
    const auto exchange = co_await this->client.exchange(std::move(request), this->timeout);
    co_return statusOf(exchange);
}

Awaitable<absl::Status> VmControlClient::drain(std::string vm, std::int64_t order)
{
    return this->sendOrder(std::move(vm), "drain", order);
}

Awaitable<absl::Status> VmControlClient::maintain(std::string vm, std::int64_t order)
{
    return this->sendOrder(std::move(vm), "maintain", order);
}

Awaitable<absl::Status> VmControlClient::resume(std::string vm, std::int64_t order)
{
    return this->sendOrder(std::move(vm), "resume", order);
}

} // namespace sassafrasferry::fleet
