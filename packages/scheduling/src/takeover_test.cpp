// What a new leader inherits from the previous one.
#include "../tests/scheduler_bench.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

// Guards against tasks that run twice: a new leader starts a task that still runs on a worker that
// has not reported to it yet.
TEST_CASE("after a takeover tasks wait for reports of the workers that may run them")
{
    struct Case
    {
        const char *name;
        bool secondAnswers;
        Duration later;
        std::size_t starts;
    };
    const std::vector<Case> cases{
        {"one worker has not answered", false, 0ms, 0},
        {"both have answered", true, 0ms, 1},
        {"one does not answer, and may still run tasks", false,
         SchedulerTimes{}.inheritedLease - 100ms, 0},
        {"one does not answer, and can't run tasks any more", false,
         SchedulerTimes{}.inheritedLease + 100ms, 1},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        Bench bench(2, 4000, true);
        bench.scheduler.setAllWorkersKnown();
        bench.add("j", {stepOf(1)}, true);
        bench.now += row.later;
        bench.report("w0");
        if (row.secondAnswers)
            bench.report("w1");
        CHECK(bench.plan().starts.size() == row.starts);
    }
}

namespace {

/// What a new leader knows of the start of a worker that doesn't answer, and when it starts the
/// task that may run there.
struct RestartCase
{
    const char *name;
    Duration listedFor; ///< by the predecessor: until its former lease has ended; 0: not listed
    Duration age; ///< of the incarnation
    Duration heardAt; ///< once, with the task running; 0: not heard
    Duration startsAfter;
};

constexpr Duration ordinaryWait = 4230ms;
constexpr Duration restartsMissed = 3s; // the predecessor may have missed restarts for so long

const std::vector<RestartCase> restartCases{
    {"started long before", 0ms, 60s, 0ms, ordinaryWait},
    {"the predecessor knew of its restart", 9s, 60s, 0ms, 9s},
    {"the predecessor knew of its restart, and it is heard once", 9s, 60s, 100ms, 9s},
    {"the predecessor may have missed its restart", 0ms, 1s, 0ms, 3s + 10350ms - 1s},
    {"restarted before what the predecessor may have missed", 0ms, 4s, 0ms, ordinaryWait},
};

} // namespace

// Guards against tasks that run twice: a worker that restarted has taken a lease by its former
// clock, which outlasts the leases that the predecessor meant to grant.
TEST_CASE("after a takeover a task waits for the lease of a restarted worker")
{
    const auto row = GENERATE(from_range(restartCases));
    CAPTURE(row.name);
    SchedulerTimes times;
    times.inheritedLease = ordinaryWait;
    Bench bench(1, 4000, true, times);
    std::vector<RestartedWorker> listed;
    if (row.listedFor > Duration{})
        listed.push_back({"w1", start + row.listedFor});
    bench.scheduler.inheritRestarts(listed, start - restartsMissed);
    bench.list("w1", 1, 4000, "r0", start - row.age);
    bench.scheduler.setAllWorkersKnown();
    bench.add("j", {stepOf(1)}, true);
    const auto startsAt = [&](Duration later) {
        bench.now = start + later;
        bench.report("w0");
        return bench.plan().starts.size();
    };
    if (row.heardAt > Duration{}) {
        bench.now = start + row.heardAt;
        bench.report("w1", {{{"j", 0, 0, 0}, 5, "", 100, 0}});
    }
    CHECK(startsAt(row.startsAfter - 50ms) == 0);
    CHECK(startsAt(row.startsAfter + 100ms) == 1);
}

// Guards against tasks that run twice: a configuration gives a queue to another service, and a new
// leader starts a task there that still runs on a worker of the former service.
TEST_CASE("after a takeover tasks wait for workers of their queue's former service")
{
    struct Case
    {
        const char *name;
        const char *loadedService; ///< of the job when the leader loads it
        const char *firstService; ///< of the queue in the leader's first configuration
        bool formerAnswers;
        std::size_t starts;
    };
    const std::vector<Case> cases{
        {"changed before the takeover", "s", "t", false, 0},
        {"changed after the takeover", "s", "s", false, 0},
        {"the worker of the former service has answered", "s", "t", true, 1},
        {"not changed", "t", "t", false, 1},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        Bench bench(1, 4000, true);
        WorkerListing listing;
        listing.id = "other";
        listing.born = 1;
        listing.service = "t";
        listing.capacity = {4000, 100000, 0};
        bench.scheduler.listWorker(listing, bench.now);
        bench.scheduler.setAllWorkersKnown();
        const auto configure = [&](std::int64_t version, const char *service) {
            auto configuration = bench.scheduler.configuration();
            configuration.version = version;
            configuration.queues[0].terms.service = service;
            bench.scheduler.setConfiguration(configuration);
        };
        configure(2, row.firstService);
        auto terms = bench.scheduler.configuration().queues[0].terms;
        terms.service = row.loadedService;
        auto job = std::make_unique<Job>("j", jobs::JobSpec{"text", {stepOf(1)}, 0, 0, 0ms}, terms,
                                         bench.now);
        job->inherited = true;
        bench.scheduler.addJob(std::move(job));
        configure(3, "t");
        bench.report("other");
        if (row.formerAnswers)
            bench.report("w0");
        auto starts = bench.plan().starts.size();
        bench.record(); // that tasks of the job may run in another service than that of its record
        starts += bench.plan().starts.size();
        CHECK(starts == row.starts);
    }
}

namespace {

/// Workers `w0` of service `s` and `other` of `t`; the queue's service changes.
struct ServicesBench : Bench
{
    explicit ServicesBench(bool hasPredecessor)
        : Bench(1, 4000, hasPredecessor)
    {
        WorkerListing listing;
        listing.id = "other";
        listing.born = 1;
        listing.service = "t";
        listing.capacity = {4000, 100000, 0};
        this->scheduler.listWorker(listing, this->now);
        this->scheduler.setAllWorkersKnown();
    }

    void configure(const char *service)
    {
        auto configuration = this->scheduler.configuration();
        ++configuration.version;
        configuration.queues[0].terms.service = service;
        this->scheduler.setConfiguration(configuration);
    }

    /// Adds the job as it was accepted while its queue's service was `s`.
    void load(const messages::JobProgress &row)
    {
        auto terms = this->scheduler.configuration().queues[0].terms;
        terms.service = "s";
        auto job = std::make_unique<Job>("j", jobs::JobSpec{"text", {stepOf(1)}, 0, 0, 0ms}, terms,
                                         this->now);
        job->inherited = true;
        job->restore(row);
        this->scheduler.addJob(std::move(job));
    }
};

} // namespace

// Guards against tasks that run twice: a queue goes to another service and back, or is dropped,
// while a task runs in that service, and the next leader doesn't ask the workers there.
TEST_CASE("after a takeover tasks wait for workers of all services in which they may have started")
{
    struct Case
    {
        const char *name;
        std::vector<const char *> services; ///< of the queue, in order, before the takeover
        const char *service; ///< after the takeover
        bool startedThere; ///< in `t`
    };
    const auto row =
        GENERATE(Case{"there and back", {"t"}, "s", true},
                 Case{"a third one between", {"t", "u"}, "s", true},
                 Case{"there and on", {"t"}, "u", true}, Case{"never there", {"s"}, "s", false});
    INFO(row.name);
    ServicesBench former(false);
    former.load({});
    messages::JobProgress stored;
    const auto record = [&] {
        for (const auto &dirty :
             former.scheduler.takeDirty(100, [](const std::string &) { return true; })) {
            stored = dirty.row;
            former.scheduler.recorded(dirty);
        }
    };
    for (const auto *service : row.services) {
        former.configure(service);
        former.report("other");
        former.report("w0");
        const auto first = former.plan().starts;
        CHECK(first.empty() == (service != std::string("s")));
        record();
        const auto second = former.plan().starts;
        CHECK((!second.empty() && second[0].worker == "other") == (service == std::string("t")));
    }
    ServicesBench next(true);
    next.load(stored);
    next.configure(row.service);
    next.report("w0");
    const auto *job = next.scheduler.findJob("j");
    CHECK((job->formerServices.count("t") != 0) == row.startedThere);
    CHECK(next.plan().starts.empty() == row.startedThere);
}

// Guards against tasks that run twice: a worker lists a limited number of ends at a time, and a new
// leader starts a task whose end is not listed yet.
TEST_CASE("after a takeover tasks wait for ends that a full report leaves out")
{
    const std::size_t listed = GENERATE(499, 500); // 500 fill a report
    const Duration later = GENERATE(0ms, 10800ms); // before and after the inherited lease
    const bool isFull = listed == 500;
    CAPTURE(listed, later / 1ms);
    Bench bench(1, 4000, true);
    bench.scheduler.setAllWorkersKnown();
    bench.add("j", {stepOf(listed + 1, 1)}, true);
    std::vector<ListedEnd> ends;
    for (std::size_t i = 0; i <= listed; ++i)
        ends.push_back(
            {static_cast<std::int64_t>(i) + 1, {"j", 0, 0, i}, 5, jobs::RunEnd::Done, ""});
    bench.now += later;
    bench.report("w0", {}, {ends.begin(), ends.end() - 1});
    bench.record();
    CHECK(bench.scheduler.isVmEmpty("vm-w0", bench.now) != isFull);
    CHECK(bench.plan().starts.size() == (isFull ? 0 : 1));
    bench.report("w0", {}, {ends.back()});
    bench.record();
    CHECK(bench.scheduler.isVmEmpty("vm-w0", bench.now) == isFull);
    CHECK(bench.plan().starts.empty());
    CHECK(bench.scheduler.stateOf("j") == JobState::Completed);
}

// Guards against a job that two leaders start: entry VMs that don't know the new leader yet hand
// the job to the former one, which lives on and starts it on a worker that the new one hasn't
// called.
TEST_CASE("a job that arrives just after a takeover starts once all workers know the new leader")
{
    struct Case
    {
        std::string name;
        Duration sinceTakeover;
        bool hasLastReport;
        std::size_t starts;
    };
    const SchedulerTimes times;
    const std::vector<Case> cases{
        {"a worker has not been called", 100ms, false, 0},
        {"all workers have answered", 100ms, true, 1},
        {"one does not answer, just before the calls' time is over", times.surveyTime - 1ms, false,
         0},
        {"one does not answer", times.surveyTime, false, 1},
    };
    for (const auto &row : cases) {
        CAPTURE(row.name);
        Bench bench(2, 4000, true);
        bench.scheduler.setAllWorkersKnown();
        bench.now += row.sinceTakeover;
        bench.add("j", {stepOf(1)}, false);
        bench.report("w0");
        if (row.hasLastReport)
            bench.report("w1");
        CHECK(bench.plan().starts.size() == row.starts);
    }
}

// Guards against tasks of a new job that count as not running while the former leader may have
// started them.
TEST_CASE("just after a takeover a new job counts against its customer's cap as a loaded one does")
{
    Bench bench(2, 4000, true);
    auto configuration = bench.scheduler.configuration();
    ++configuration.version;
    configuration.customers = {{"a", {}, 0, {3000, 0, 0}}};
    bench.scheduler.setConfiguration(configuration);
    bench.scheduler.setAllWorkersKnown();
    auto job = std::make_unique<Job>("j", jobs::JobSpec{"text", {stepOf(2)}, 0, 0, 0ms},
                                     configuration.queues[0].terms, bench.now);
    job->customer = "a";
    bench.scheduler.addJob(std::move(job));
    bench.report("w0");
    bench.plan();
    CHECK(bench.scheduler.customerUsage(0).entries().at(0).used.cpu == 2000);
    bench.report("w1");
    const auto orders = bench.plan();
    CHECK(orders.starts.size() == 2);
    CHECK(bench.scheduler.customerUsage(0).entries().at(0).used.cpu == 2000);
}

// A worker that is cut off from the store has no entry in the list of workers; only the list of VMs
// names it.
TEST_CASE("after a takeover tasks also wait for workers without an entry")
{
    Bench bench(1, 4000, true);
    bench.report("w0");
    bench.add("j", {stepOf(1)}, true);
    CHECK(bench.plan().starts.empty()); // the list of VMs has not been read yet
    bench.scheduler.addUnlistedWorker("ghost", "s");
    bench.scheduler.setAllWorkersKnown();
    CHECK(bench.plan().starts.empty());
    bench.now += SchedulerTimes{}.inheritedLease + 100ms;
    bench.report("w0");
    CHECK(bench.plan().starts.size() == 1);
}

TEST_CASE("a reported run of a known job is adopted, one of an unknown job is stopped")
{
    Bench bench(1, 4000, true);
    bench.scheduler.setAllWorkersKnown();
    bench.add("j", {stepOf(1)}, true);
    bench.report("w0", {{{"j", 0, 0, 0}, 7, "", 10, 0}, {{"gone", 0, 0, 0}, 3, "", 10, 0}});
    const auto orders = bench.plan();
    CHECK(orders.starts.empty());
    REQUIRE(orders.stops.size() == 1);
    CHECK(orders.stops[0].task.job == "gone");
    bench.report("w0", {}, {{1, {"j", 0, 0, 0}, 7, jobs::RunEnd::Done, ""}});
    bench.record();
    CHECK(bench.scheduler.stateOf("j") == JobState::Completed);
}

TEST_CASE("a new leader does not reuse run numbers of an earlier one")
{
    Bench bench(1, 4000, true);
    bench.scheduler.setAllWorkersKnown();
    bench.report("w0");
    bench.add("j", {stepOf(1)});
    CHECK(bench.plan().starts.at(0).run > 1000);
}

// Guards against VMs that are moved after a takeover to pools whose tasks are all running: until
// the workers have reported, the new leader would count these tasks as waiting, and for long.
TEST_CASE("tasks that may be running on unreported workers do not count as waiting")
{
    Bench bench(2, 4000, true);
    bench.add("inherited", {lastingStep(2, 1)}, true);
    bench.add("batch", {stepOf(3)}, true);
    bench.now += 2s;
    const auto load = bench.scheduler.loads(bench.now, 0)["s"];
    CHECK(load.ready.cpu == 0);
    CHECK_FALSE(load.hasStarvedTask);
    CHECK(load.lasting.cpu == 2000);
    CHECK(load.running.cpu == 3000);
}

// Guards against VMs that are moved after a takeover to pools whose surge is over: all work of the
// earlier leader's jobs would seem to arrive in the instant in which they are loaded.
TEST_CASE("jobs of an earlier leader do not count as arriving work")
{
    Bench bench(2, 4000, true);
    bench.add("inherited", {stepOf(3)}, true);
    CHECK(bench.scheduler.takeArrivals().empty());
    bench.add("new", {stepOf(3)}, false);
    CHECK(bench.scheduler.takeArrivals()["s"].coreSeconds > 0);
}
