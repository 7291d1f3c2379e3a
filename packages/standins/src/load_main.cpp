// standin-load: offers a load through entry VMs, then asks the workers what ran, and prints the
// figures as JSON. Exits with 1 if anything was doubled, lost or a stranger's.
#include <sassafrasferry/standins/load.h>

#include <sassafrasferry/http/json.h>

#include <docopt/docopt.h>

#include <iostream>
#include <set>

#include <absl/strings/str_split.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace {

constexpr const char *usage = R"(standin-load: a load of callers.

Usage:
  standin-load --entries LIST --workers ENDPOINT --worker-count N --services LIST [options]

Options:
  --entries LIST      Callers' addresses of the entry VMs, with commas between.
  --workers ENDPOINT  IP number and first port of the workers.
  --worker-count N    Workers, on consecutive ports.
  --services LIST     NAME:CLASS or NAME:CLASS:keyed, with commas between.
  --health LIST       Administration addresses, in the order of the entries: send only to those
                      whose health check passes, as a balancer does.
  --rate N            Mean requests a second of a service [default: 100].
  --surge N           Times the mean, each service in turn [default: 5].
  --lull N            Times the mean, in the phase after its surge [default: 0.05].
  --phase-ms N        How long a surge lasts [default: 5000].
  --run-ms N          Mean run time [default: 100].
  --deadline-ms N     Deadline of each request [default: 2000].
  --cancelled N       Share of requests whose caller goes away [default: 0].
  --pool-slots N      Slots of one service's own pool, for the goodput [default: 80].
  --seed N            Seed [default: 1].
)";

using namespace sassafrasferry;
using http::Json;

// What the workers say that ran.
struct WorkersWord
{
    std::map<std::string, int> startsByKey;
    std::uint64_t refused = 0;
    std::uint64_t mostBusy = 0;
    bool isWhole = true; // every worker answered
};

http::Awaitable<WorkersWord> askWorkers(http::asio::any_io_executor executor, model::Endpoint first,
                                        long count)
{
    WorkersWord word;
    for (long i = 0; i < count; ++i) {
        http::Client client(executor, first, {});
        ++first.port;
        http::Request question{http::Verb::get, "/standin/runs", 11};
        const auto exchange =
            co_await client.exchange(std::move(question), std::chrono::seconds(10));
        const auto body = http::parseJson(exchange.response.body());
        if (!body.is_object()) {
            word.isWhole = false;
            continue;
        }
        word.refused += body["refused"].get<std::uint64_t>();
        word.mostBusy = std::max(word.mostBusy, body["mostBusy"].get<std::uint64_t>());
        for (const auto &run : body["runs"]) {
            const auto key = run["key"].get<std::string>();
            if (!key.empty())
                ++word.startsByKey[key];
        }
    }
    co_return word;
}

Json toJson(const standins::ClassTally &tally)
{
    return {{"offered", tally.offered},
            {"completed", tally.completed},
            {"late", tally.late},
            {"refused", tally.refused},
            {"unknown", tally.unknown},
            {"broken", tally.broken},
            {"strangers", tally.strangers},
            {"p50", standins::quantileOf(tally.milliseconds, 0.5)},
            {"p99", standins::quantileOf(tally.milliseconds, 0.99)}};
}

model::Endpoint endpointOf(const std::string &text)
{
    const auto endpoint = model::parseEndpoint(text);
    if (!endpoint) {
        std::cerr << text << " is not an IP number and a port\n";
        std::exit(2);
    }
    return *endpoint;
}

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const auto number = [&](const char *name) {
        return std::stod(arguments[name].asString());
    };
    const auto time = [&](const char *name) {
        return std::chrono::milliseconds(static_cast<std::int64_t>(number(name)));
    };
    standins::LoadPlan plan;
    for (const auto item : absl::StrSplit(arguments["--entries"].asString(), ','))
        plan.entries.push_back(endpointOf(std::string(item)));
    for (const auto item : absl::StrSplit(arguments["--services"].asString(), ',')) {
        const std::vector<std::string> parts = absl::StrSplit(item, ':');
        const auto requestClass =
            model::valueOf<model::RequestClass>(parts.size() > 1 ? parts[1] : "");
        if (!requestClass) {
            std::cerr << usage;
            return 2;
        }
        plan.services.push_back({parts[0], *requestClass, parts.size() > 2});
    }
    if (arguments["--health"]) {
        for (const auto item : absl::StrSplit(arguments["--health"].asString(), ','))
            plan.health.push_back(endpointOf(std::string(item)));
    }
    plan.meanRate = number("--rate");
    plan.surge = number("--surge");
    plan.lull = number("--lull");
    plan.phase = time("--phase-ms");
    plan.runTime = time("--run-ms");
    plan.deadline = time("--deadline-ms");
    plan.cancelled = number("--cancelled");
    plan.seed = static_cast<std::uint64_t>(number("--seed"));
    const auto workers = endpointOf(arguments["--workers"].asString());
    const auto workerCount = arguments["--worker-count"].asLong();

    http::asio::io_context context(1);
    standins::Load load(context.get_executor(), plan);
    standins::LoadTally tally;
    WorkersWord word;
    http::asio::co_spawn(
        context,
        [&]() -> http::Awaitable<void> {
            tally = co_await load.run();
            word = co_await askWorkers(context.get_executor(), workers, workerCount);
            context.stop();
        },
        http::asio::detached);
    context.run();

    std::uint64_t doubled = 0;
    std::uint64_t ranThoughNotRun = 0;
    std::uint64_t lost = tally.unsettled;
    std::uint64_t strangers = 0;
    for (const auto &[key, starts] : word.startsByKey)
        doubled += starts > 1 ? 1 : 0;
    for (const auto &key : tally.notRunKeys)
        ranThoughNotRun += word.startsByKey.contains(key) ? 1 : 0;
    for (const auto &key : tally.completedKeys)
        lost += word.startsByKey.contains(key) ? 0 : 1;
    Json classes;
    for (const auto &row : enumNames(model::RequestClass{})) {
        const auto &seen = tally.classes[static_cast<std::size_t>(row.value)];
        strangers += seen.strangers;
        if (seen.offered > 0)
            classes[std::string(row.name)] = toJson(seen);
    }
    const double phaseSeconds = std::chrono::duration<double>(plan.phase).count();
    const double runSeconds = std::chrono::duration<double>(plan.runTime).count();
    const double capacity = number("--pool-slots") / runSeconds * phaseSeconds
                            * static_cast<double>(plan.services.size());
    const double bystanders =
        static_cast<double>(tally.bystandersCompleted)
        / static_cast<double>(std::max<std::uint64_t>(1, tally.bystandersOffered));
    const Json report{{"classes", classes},
                      {"bystanders", bystanders},
                      {"surgeGoodput", static_cast<double>(tally.surgeCompleted) / capacity},
                      {"resent", tally.resent},
                      {"workerRefusals", word.refused},
                      {"mostBusy", word.mostBusy},
                      {"doubled", doubled},
                      {"lost", lost},
                      {"ranThoughNotRun", ranThoughNotRun},
                      {"strangers", strangers},
                      {"workersWhole", word.isWhole}};
    std::cout << report.dump() << std::endl;
    return doubled + lost + strangers + ranThoughNotRun == 0 ? 0 : 1;
}
