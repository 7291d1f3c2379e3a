// standin-relay: runs the relay as a process.
#include <sassafrasferry/standins/relay.h>

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>

namespace {

constexpr const char *usage =
    R"(standin-relay: forwards connections between processes and can hold their bytes.

Usage:
  standin-relay --control ENDPOINT PATH...

Options:
  --control ENDPOINT  IP address and port of the control server.

A PATH is NAME=LISTEN=TARGET, where LISTEN and TARGET are an IP address and port.
POST /standin/cuts to the control endpoint with {"path": NAME, "forward": BOOL, "back": BOOL} sets
whether the path holds bytes to the target (forward) and from it (back).
)";

} // namespace

int main(int argc, char **argv)
{
    using namespace sassafrasferry;
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto control = model::parseEndpoint(arguments["--control"].asString());
    std::vector<standins::RelayPath> paths;
    for (const auto &text : arguments["PATH"].asStringList()) {
        paths.push_back(standins::parseRelayPath(text));
        if (!control || paths.back().name.empty()) {
            std::cerr << usage;
            return 2;
        }
    }
    http::asio::io_context context(1);
    standins::Relay relay(context, std::move(paths));
    const auto handle = [&](http::Request request, std::shared_ptr<http::Disconnect>) {
        return relay.handle(std::move(request));
    };
    auto server = std::make_shared<http::Server>(
        std::vector<http::Lane>{{context.get_executor(), handle}}, model::CallerLimits{});
    const auto status = server->listen(*control);
    if (!status.ok() || !relay.listen()) {
        std::cerr << "cannot listen on the control endpoint or on one of the paths\n";
        return 4;
    }
    http::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return 0;
}
