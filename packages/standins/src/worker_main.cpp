// standin-worker: runs several worker stand-ins in one process, on consecutive ports.
#include <sassafrasferry/standins/worker_standin.h>

#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>

namespace {

constexpr const char *usage = R"(standin-worker: runs stand-ins for workers.

Usage:
  standin-worker --listen ENDPOINT --name PREFIX [--count N] [--slots N] [--connections N]
                 [--run-ms N]

Options:
  --listen ENDPOINT   IP address and first port; each further worker uses the next port.
  --name PREFIX       The workers are named PREFIX1, PREFIX2 and so on.
  --count N           Number of workers [default: 1].
  --slots N           Requests that one worker runs at the same time [default: 8].
  --connections N     Connections that one worker accepts [default: 64].
  --run-ms N          Run time in ms of a request that does not set its own [default: 100].
)";

} // namespace

int main(int argc, char **argv)
{
    using namespace sassafrasferry;
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    auto endpoint = model::parseEndpoint(arguments["--listen"].asString());
    if (!endpoint) {
        std::cerr << usage;
        return 2;
    }
    boost::asio::io_context context(1);
    std::vector<std::shared_ptr<standins::WorkerStandin>> workers;
    for (long i = 0; i < arguments["--count"].asLong(); ++i) {
        standins::WorkerOptions options;
        options.name = arguments["--name"].asString() + std::to_string(i + 1);
        options.slots = static_cast<std::size_t>(arguments["--slots"].asLong());
        options.connections = static_cast<std::size_t>(arguments["--connections"].asLong());
        options.runTime = std::chrono::milliseconds(arguments["--run-ms"].asLong());
        workers.push_back(std::make_shared<standins::WorkerStandin>(context, options));
        if (workers.back()->listen(*endpoint).port == 0) {
            std::cerr << model::toString(*endpoint) << ": cannot listen on this endpoint\n";
            return 4;
        }
        ++endpoint->port;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return 0;
}
