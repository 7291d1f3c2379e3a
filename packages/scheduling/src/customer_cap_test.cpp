// The scheduler keeps each customer within its cap: beside starts without an answer, after a cut
// and after a takeover.
#include "../tests/scheduler_bench.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;

namespace {

/// A scheduler with one customer that has a cap on its processors, in millicores.
struct CapBench : Bench
{
    explicit CapBench(std::int64_t cap, bool hasPredecessor = false)
        : Bench(4, 4000, hasPredecessor)
    {
        this->setCap(cap);
    }

    void setCap(std::int64_t cap)
    {
        auto configuration = this->scheduler.configuration();
        ++configuration.version;
        configuration.customers = {{"a", {}, 0, {cap, 0, 0}}};
        this->scheduler.setConfiguration(configuration);
    }

    void addFor(const std::string &customer, const std::string &id, const jobs::StepSpec &step,
                bool inherited = false)
    {
        auto job =
            std::make_unique<Job>(id, jobs::JobSpec{"text", {step}, 0, 0, 0ms},
                                  this->scheduler.configuration().queues[0].terms, this->now);
        job->customer = customer;
        job->inherited = inherited;
        this->scheduler.addJob(std::move(job));
    }

    std::size_t startsOf(const Orders &orders, const std::string &job) const
    {
        return static_cast<std::size_t>(
            std::count_if(orders.starts.begin(), orders.starts.end(),
                          [&](const auto &order) { return order.task.job == job; }));
    }
};

/// What becomes of starts, and how many more tasks may start then within a cap of three.
struct FateCase
{
    std::string name;
    OrderAnswer answer;
    bool isListed; ///< whether a report lists the runs
    std::size_t furtherStarts;
};

const std::vector<FateCase> fates{
    {"the runs are at work", OrderAnswer::Accepted, true, 0},
    {"the starts may be carried out later", OrderAnswer::NoAnswer, false, 0},
    {"the worker refused them", OrderAnswer::NotSent, false, 3},
};

} // namespace

// Guards against starts beyond a customer's cap while the fate of its earlier starts is unknown.
TEST_CASE("a start counts against the cap until its run is known to be over")
{
    const auto row = GENERATE(from_range(fates));
    CAPTURE(row.name);
    CapBench bench(3000);
    bench.reportAll(4);
    bench.addFor("a", "j1", stepOf(8));
    const auto first = bench.plan();
    REQUIRE(first.starts.size() == 3);
    std::map<std::string, std::vector<ListedRun>> listed;
    for (const auto &order : first.starts) {
        bench.scheduler.startAnswered(order, row.answer, bench.now);
        if (row.isListed)
            listed[order.worker].push_back({order.task, order.run, "", 100, 0});
    }
    bench.now += 1s;
    for (int i = 0; i < 4; ++i)
        bench.report("w" + std::to_string(i), listed["w" + std::to_string(i)]);
    CHECK(bench.plan().starts.size() == row.furtherStarts);
}

// Guards against a cut that is kept only for new jobs, or that ends what runs.
TEST_CASE("a cut below what runs ends nothing and starts nothing until there is room")
{
    CapBench bench(8000);
    bench.reportAll(4);
    bench.addFor("a", "j1", stepOf(12));
    const auto first = bench.plan();
    REQUIRE(first.starts.size() == 8);
    bench.acceptAll(first);
    bench.setCap(7000);
    bench.now += 100ms;
    const auto cut = bench.plan();
    CHECK(cut.starts.empty());
    CHECK(cut.stops.empty());
    std::map<std::string, std::vector<ListedEnd>> ends;
    for (std::size_t i = 0; i < 3; ++i)
        ends[first.starts[i].worker].push_back(
            endOf(first.starts[i], static_cast<std::int64_t>(i) + 1, jobs::RunEnd::Done));
    for (const auto &entry : ends) {
        std::vector<ListedRun> running;
        for (std::size_t i = 3; i < first.starts.size(); ++i) {
            if (first.starts[i].worker == entry.first)
                running.push_back({first.starts[i].task, first.starts[i].run, "", 100, 0});
        }
        bench.report(entry.first, running, entry.second);
    }
    CHECK(bench.plan().starts.size() == 2);
}

// Guards against a customer at its cap that holds up the others of its pool, or that gets VMs.
TEST_CASE("work that waits at a cap doesn't hold up others and sizes no pool")
{
    CapBench bench(2000);
    bench.reportAll(4);
    bench.addFor("a", "first", stepOf(40));
    bench.now += 10ms;
    bench.addFor("", "second", stepOf(5));
    const auto orders = bench.plan();
    CHECK(bench.startsOf(orders, "first") == 2);
    CHECK(bench.startsOf(orders, "second") == 5);
    const auto load = bench.scheduler.loads(bench.now, 0).at("s");
    CHECK(load.ready.cpu == 0);
    CHECK(load.capped.cpu == 38000);
}

TEST_CASE("a gang starts only if the cap has room for all its members")
{
    CapBench bench(3000);
    bench.reportAll(4);
    auto gang = stepOf(4);
    gang.gang = true;
    bench.addFor("a", "j1", gang);
    CHECK(bench.plan().starts.empty());
    bench.setCap(4000);
    CHECK(bench.plan().starts.size() == 4);
}

// Guards against a new leader that starts new jobs within the whole cap while the runs that its
// predecessor started for the customer are not reported yet.
TEST_CASE("after a takeover the tasks that the predecessor may have started count against the cap")
{
    CapBench bench(4000, true);
    bench.addFor("a", "old", stepOf(4), true);
    auto configuration = bench.scheduler.configuration();
    ++configuration.version;
    auto other = configuration.queues.front();
    other.terms.queue = "q2";
    other.terms.service = "s2";
    configuration.queues.push_back(other);
    bench.scheduler.setConfiguration(configuration);
    WorkerListing listing;
    listing.id = "v0";
    listing.vm = "vm-v0";
    listing.born = 1;
    listing.service = "s2";
    listing.rack = "r9";
    listing.capacity = {8000, 100000, 0};
    bench.scheduler.listWorker(listing, bench.now);
    bench.report("v0");
    bench.scheduler.setAllWorkersKnown();
    auto job = std::make_unique<Job>("new", jobs::JobSpec{"text", {stepOf(8)}, 0, 0, 0ms},
                                     other.terms, bench.now);
    job->customer = "a";
    bench.scheduler.addJob(std::move(job));
    CHECK(bench.plan().starts.empty());
    // Three tasks of the old job turn out not to run.
    bench.now += 100ms;
    const TaskId running{"old", 0, 0, 0};
    bench.report("w0", {{running, 1, "", 100, 0}});
    for (int i = 1; i < 4; ++i)
        bench.report("w" + std::to_string(i));
    CHECK(bench.plan().starts.size() == 3);
}
