// standin-load: offers a load through entry VMs, reads from the workers which requests ran, and
// prints the results as JSON. Exits with 1 if a keyed request ran twice, was lost or ran although
// its caller was told that it had not, or if a caller got the answer to another request.
#include <sassafrasferry/standins/load_generator.h>

#include <sassafrasferry/http/json.h>

#include <docopt/docopt.h>

#include <iostream>
#include <set>

#include <absl/strings/str_split.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace {

constexpr const char *usage = R"(standin-load: generates a load of requests.

Usage:
  standin-load --entries LIST --workers ENDPOINT --worker-count N --services LIST [options]

Options:
  --entries LIST      Addresses of the entry VMs for callers, comma-separated.
  --workers ENDPOINT  IP number and first port of the workers.
  --worker-count N    Number of workers, on consecutive ports.
  --services LIST     NAME:CLASS or NAME:CLASS:keyed, comma-separated; keyed requests carry
                      an idempotency key.
  --health LIST       Administration addresses in the order of the entries. If given, requests go
                      only to entry VMs whose health check passes.
  --rate N            Mean requests per second of each service [default: 100].
  --surge N           Factor on the mean rate in a surge, for one service at a time [default: 5].
  --lull N            Factor on the mean rate in the phase after a surge [default: 0.05].
  --phase-ms N        Length of a surge, in ms [default: 5000].
  --run-ms N          Mean run time, in ms [default: 100].
  --deadline-ms N     Deadline of each request, in ms [default: 2000].
  --cancelled N       Share of requests whose caller disconnects [default: 0].
  --pool-slots N      Slots of the pool of one service, to compute the goodput [default: 80].
  --seed N            Seed of the random numbers [default: 1].
)";

using namespace sassafrasferry;
using http::Json;

// The runs and refusals of all workers.
struct WorkerReport
{
    std::map<std::string, int> startsByKey;
    std::uint64_t refused = 0;
    std::uint64_t maxBusySlots = 0;
    bool isComplete = true; // all workers have reported
};

http::Awaitable<WorkerReport> collectWorkerReport(http::asio::any_io_executor executor,
                                                  model::Endpoint first, long count)
{
    WorkerReport workerReport;
    for (long i = 0; i < count; ++i) {
        http::Client client(executor, first, {});
        ++first.port;
        http::Request question{http::Verb::get, "/standin/runs", 11};
        const auto exchange =
            co_await client.exchange(std::move(question), std::chrono::seconds(10));
        const auto body = http::parseJson(exchange.response.body());
        if (!body.is_object()) {
            workerReport.isComplete = false;
            continue;
        }
        workerReport.refused += body["refused"].get<std::uint64_t>();
        workerReport.maxBusySlots =
            std::max(workerReport.maxBusySlots, body["mostBusy"].get<std::uint64_t>());
        for (const auto &run : body["runs"]) {
            const auto key = run["key"].get<std::string>();
            if (!key.empty())
                ++workerReport.startsByKey[key];
        }
    }
    co_return workerReport;
}

Json toJson(const standins::ClassTally &tally)
{
    return {{"offered", tally.offered},
            {"completed", tally.completed},
            {"late", tally.late},
            {"refused", tally.refused},
            {"unknown", tally.unknown},
            {"broken", tally.unanswered},
            {"strangers", tally.foreignAnswers},
            {"p50", standins::quantileOf(tally.milliseconds, 0.5)},
            {"p99", standins::quantileOf(tally.milliseconds, 0.99)}};
}

model::Endpoint endpointOf(const std::string &text)
{
    const auto endpoint = model::parseEndpoint(text);
    if (!endpoint) {
        std::cerr << text << ": expected IP_ADDRESS:PORT\n";
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
            plan.healthEndpoints.push_back(endpointOf(std::string(item)));
    }
    plan.meanRate = number("--rate");
    plan.surgeFactor = number("--surge");
    plan.lullFactor = number("--lull");
    plan.phaseLength = time("--phase-ms");
    plan.runTime = time("--run-ms");
    plan.deadline = time("--deadline-ms");
    plan.cancelledShare = number("--cancelled");
    plan.seed = static_cast<std::uint64_t>(number("--seed"));
    const auto workers = endpointOf(arguments["--workers"].asString());
    const auto workerCount = arguments["--worker-count"].asLong();

    http::asio::io_context context(1);
    standins::LoadGenerator load(context.get_executor(), plan);
    standins::LoadTally tally;
    WorkerReport workerReport;
    http::asio::co_spawn(
        context,
        [&]() -> http::Awaitable<void> {
            tally = co_await load.run();
            workerReport =
                co_await collectWorkerReport(context.get_executor(), workers, workerCount);
            context.stop();
        },
        http::asio::detached);
    context.run();

    std::uint64_t duplicated = 0;
    std::uint64_t ranDespiteNotRun = 0;
    std::uint64_t lost = tally.unresolved;
    std::uint64_t foreignAnswers = 0;
    for (const auto &[key, starts] : workerReport.startsByKey)
        duplicated += starts > 1 ? 1 : 0;
    for (const auto &key : tally.notRunKeys)
        ranDespiteNotRun += workerReport.startsByKey.contains(key) ? 1 : 0;
    for (const auto &key : tally.completedKeys)
        lost += workerReport.startsByKey.contains(key) ? 0 : 1;
    Json classes;
    for (const auto &row : enumNames(model::RequestClass{})) {
        const auto &classTally = tally.classes[static_cast<std::size_t>(row.value)];
        foreignAnswers += classTally.foreignAnswers;
        if (classTally.offered > 0)
            classes[std::string(row.name)] = toJson(classTally);
    }
    const double phaseSeconds = std::chrono::duration<double>(plan.phaseLength).count();
    const double runSeconds = std::chrono::duration<double>(plan.runTime).count();
    const double capacity = number("--pool-slots") / runSeconds * phaseSeconds
                            * static_cast<double>(plan.services.size());
    const double completedShareOutsideSurge =
        static_cast<double>(tally.completedOutsideSurge)
        / static_cast<double>(std::max<std::uint64_t>(1, tally.offeredOutsideSurge));
    const Json report{{"classes", classes},
                      {"bystanders", completedShareOutsideSurge},
                      {"surgeGoodput", static_cast<double>(tally.completedInSurge) / capacity},
                      {"resent", tally.resent},
                      {"workerRefusals", workerReport.refused},
                      {"mostBusy", workerReport.maxBusySlots},
                      {"doubled", duplicated},
                      {"lost", lost},
                      {"ranThoughNotRun", ranDespiteNotRun},
                      {"strangers", foreignAnswers},
                      {"workersWhole", workerReport.isComplete}};
    std::cout << report.dump() << std::endl;
    return duplicated + lost + foreignAnswers + ranDespiteNotRun == 0 ? 0 : 1;
}
