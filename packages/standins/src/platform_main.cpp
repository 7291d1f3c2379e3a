// standin-platform: runs the platform stand-in as a process.
#include <sassafrasferry/standins/platform_standin.h>

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace {

constexpr const char *usage = R"(standin-platform: a stand-in for the platform.

Usage:
  standin-platform --listen ENDPOINT [--writes-per-second N] [--reads-per-second N]
                   [--list-lag-ms N] [--drain-ms N] [--maintenance-ms N]

Options:
  --listen ENDPOINT        IP address and port.
  --writes-per-second N    Limit of transactions per second [default: 400].
  --reads-per-second N     Limit of reads per second [default: 2000].
  --drain-ms N             Time from a drain order until the VM is empty [default: 500].
  --maintenance-ms N       Duration of maintenance [default: 1000].
  --list-lag-ms N          Delay until a change shows in the list of leaving VMs [default: 2000].
)";

} // namespace

int main(int argc, char **argv)
{
    using namespace sassafrasferry;
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto endpoint = model::parseEndpoint(arguments["--listen"].asString());
    if (!endpoint) {
        std::cerr << usage;
        return 2;
    }
    standins::PlatformOptions options;
    options.writesPerSecond = std::stod(arguments["--writes-per-second"].asString());
    options.readsPerSecond = std::stod(arguments["--reads-per-second"].asString());
    options.listLag = std::chrono::milliseconds(arguments["--list-lag-ms"].asLong());
    options.drainTime = std::chrono::milliseconds(arguments["--drain-ms"].asLong());
    options.maintenanceTime = std::chrono::milliseconds(arguments["--maintenance-ms"].asLong());
    http::asio::io_context context(1);
    standins::PlatformStandin standin(context.get_executor(), options);
    model::CallerLimits limits;
    limits.bodyBytes = 64LL * 1024 * 1024;
    const auto handle = [&](http::Request request, std::shared_ptr<http::Disconnect>) {
        return standin.handle(std::move(request));
    };
    auto server = std::make_shared<http::Server>(
        std::vector<http::Lane>{{context.get_executor(), handle}}, limits);
    const auto status = server->listen(*endpoint);
    if (!status.ok()) {
        std::cerr << status << "\n";
        return 4;
    }
    http::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return 0;
}
