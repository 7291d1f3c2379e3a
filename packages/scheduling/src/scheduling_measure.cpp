// Measures the processor time of the leader's decisions for a given number of workers and rate of
// jobs. Workers execute orders at once and answer holds at a given rate, and the queues receive
// jobs in turn, from a given number of customers with caps that are never reached. Prints CSV with
// one line per run; its last field is a digest of all orders, which shows whether two builds decide
// the same.
#include <sassafrasferry/scheduling/fleet_planner.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <random>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

namespace {

constexpr int services = 4;
constexpr Duration step = 10ms;
constexpr std::int64_t unreachedCap = 1'000'000'000; // millicores and megabytes

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

struct Totals
{
    double report = 0;
    double record = 0;
    double plan = 0;
    double fleet = 0;
    std::size_t starts = 0;
    std::size_t digest = 0; // of the orders so far

    void addOrder(const std::string &receiver, const TaskId &task, std::int64_t run)
    {
        constexpr std::size_t factor = 1099511628211; // prime
        for (const auto part :
             {std::hash<std::string>()(receiver), std::hash<std::string>()(jobs::toString(task)),
              std::hash<std::int64_t>()(run)})
            this->digest = (this->digest ^ part) * factor;
    }
};

struct RunningTask
{
    RunKey key;
    Instant endsAt;
};

struct SimWorker
{
    std::vector<RunningTask> running;
    std::vector<ListedEnd> ends;
    std::int64_t lastEnd = 0;
};

jobs::JobSpec randomJob(std::mt19937_64 &random)
{
    jobs::StepSpec first;
    first.count = 2 + random() % 12;
    first.need = {static_cast<std::int64_t>(1000 + random() % 5000), 3000, 0};
    first.estimate = 1s;
    auto second = first;
    second.after = {0};
    return {"payload", {first, second}, 0, 0, 0ms};
}

std::string serviceName(std::size_t index)
{
    return "s" + std::to_string(index % services);
}

} // namespace

int main(int argc, char **argv)
{
    const auto workerCount = static_cast<std::size_t>(argc > 1 ? std::atoi(argv[1]) : 48);
    const double jobsPerSecond = argc > 2 ? std::atof(argv[2]) : 20;
    const double seconds = argc > 3 ? std::atof(argv[3]) : 20;
    const auto customerCount = static_cast<std::size_t>(argc > 4 ? std::atoi(argv[4]) : 0);
    std::mt19937_64 random(1);
    Instant now(1h);
    Scheduler scheduler({}, 0, now);
    FleetPlanner fleet({});
    Configuration configuration;
    configuration.version = 1;
    std::vector<Vm> vms;
    for (int i = 0; i < services; ++i) {
        Queue queue;
        queue.terms = {"q" + std::to_string(i), serviceName(i), 0, 3, 1.6, 600ms};
        configuration.queues.push_back(queue);
        configuration.services.push_back({serviceName(i), true, false});
    }
    for (std::size_t i = 0; i < customerCount; ++i)
        configuration.customers.push_back(
            {"customer" + std::to_string(i), {}, 0, {unreachedCap, unreachedCap, 0}});
    scheduler.setConfiguration(configuration);
    std::map<std::string, SimWorker> workers;
    for (std::size_t i = 0; i < workerCount; ++i) {
        WorkerListing listing;
        listing.id = "w" + std::to_string(i);
        listing.vm = "m" + std::to_string(i);
        listing.born = 1;
        listing.service = serviceName(i);
        listing.rack = "r" + std::to_string(i / 12);
        listing.capacity = {32000, 131072, 0};
        scheduler.listWorker(listing, now);
        workers[listing.id];
        vms.push_back({listing.vm, listing.service, VmState::Up, "a", listing.rack,
                       listing.capacity, listing.id});
    }
    scheduler.setAllWorkersKnown();
    fleet.updateVms(vms, now);
    Totals totals;
    const auto end = now + policy::fromSeconds(seconds);
    double dueJobs = 0;
    std::size_t jobCount = 0;
    std::size_t listedWorkers = 0;
    for (std::size_t tick = 0; now < end; ++tick, now += step) {
        dueJobs += jobsPerSecond * policy::seconds(step);
        for (; dueJobs >= 1; dueJobs -= 1) {
            const auto queueIndex = (tick / 400) % services;
            auto job = std::make_unique<Job>("job" + std::to_string(jobCount++), randomJob(random),
                                             configuration.queues[queueIndex].terms, now);
            if (customerCount > 0)
                job->customer = configuration.customers[jobCount % customerCount].name;
            scheduler.addJob(std::move(job));
        }
        for (auto &entry : workers) {
            auto &worker = entry.second;
            std::erase_if(worker.running, [&](const RunningTask &task) {
                if (task.endsAt > now)
                    return false;
                worker.ends.push_back(
                    {++worker.lastEnd, task.key.task, task.key.number, jobs::RunEnd::Done, ""});
                return true;
            });
        }
        auto begin = processorSeconds();
        for (auto &entry : workers) {
            auto &worker = entry.second;
            const auto phase = tick + std::hash<std::string>()(entry.first);
            if (phase % (worker.ends.empty() ? 100 : 5) != 0)
                continue;
            const auto acknowledged = scheduler.acknowledged(entry.first);
            std::erase_if(worker.ends,
                          [&](const ListedEnd &done) { return done.number <= acknowledged; });
            WorkerReport report{entry.first, 1, now.time_since_epoch() / 1ms, {}, worker.ends};
            for (const auto &task : worker.running)
                report.running.push_back({task.key.task, task.key.number, "", 50, 0});
            scheduler.leaseUntil(entry.first, now);
            scheduler.report(report, now, now);
            listedWorkers = scheduler.listedWorkers(); // as each session does after a report
        }
        totals.report += processorSeconds() - begin;
        begin = processorSeconds();
        for (const auto &row : scheduler.takeDirty(1000, [](const std::string &) { return true; }))
            scheduler.recorded(row);
        totals.record += processorSeconds() - begin;
        begin = processorSeconds();
        const auto orders = scheduler.plan(now, 0);
        scheduler.takeNotes();
        totals.plan += processorSeconds() - begin;
        for (const auto &start : orders.starts) {
            ++totals.starts;
            totals.addOrder(start.worker, start.task, start.run);
            workers[start.worker].running.push_back(
                {{start.task, start.run},
                 now + 500ms + std::chrono::milliseconds(random() % 1000)});
            scheduler.startAnswered(start, OrderAnswer::Accepted, now);
        }
        for (const auto &stop : orders.stops)
            totals.addOrder(stop.worker, stop.task, -stop.run);
        if (tick % 6 != 0)
            continue;
        begin = processorSeconds();
        for (const auto &order : fleet.plan(scheduler, now, 0)) {
            totals.addOrder(order.vm, {order.pool, 0, 0, 0}, order.wave);
            fleet.handleAnswer(order, FleetAnswer::Refused, scheduler, now);
        }
        totals.fleet += processorSeconds() - begin;
    }
    if (listedWorkers != workerCount)
        std::fprintf(stderr, "only %zu workers are listed\n", listedWorkers);
    std::printf("workers,jobs_per_s,starts,open_jobs,report_ms_per_s,record_ms_per_s,plan_ms_per_s,"
                "fleet_ms_per_s,orders\n");
    std::printf("%zu,%.0f,%zu,%zu,%.2f,%.2f,%.2f,%.2f,%zx\n", workerCount, jobsPerSecond,
                totals.starts, scheduler.jobCount(), totals.report * 1000 / seconds,
                totals.record * 1000 / seconds, totals.plan * 1000 / seconds,
                totals.fleet * 1000 / seconds, totals.digest);
}
