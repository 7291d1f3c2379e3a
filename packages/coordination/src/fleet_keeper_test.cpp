// Orders about VMs between the planner's look and the call.
#include <sassafrasferry/coordination/fleet_keeper.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include "../tests/memory_store.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;

namespace {

constexpr const char *vm = "vm";
constexpr const char *workerId = "w";
constexpr auto patience = std::chrono::milliseconds(400);

/// A cloud of one VM, which notes the orders.
struct OneVmCloud
{
    std::size_t orders = 0;
    scheduling::FleetAnswer answer = scheduling::FleetAnswer::Busy;

    Awaitable<absl::StatusOr<std::vector<scheduling::Vm>>> list()
    {
        co_return std::vector<scheduling::Vm>{
            {vm, "s", scheduling::VmState::Up, "a", "r", {4000, 1000, 0}, workerId}};
    }

    Awaitable<scheduling::FleetAnswer> give(scheduling::FleetOrder, std::int64_t)
    {
        ++this->orders;
        co_return this->answer;
    }
};

/// What becomes known of the worker while the order is announced.
enum class News {
    None,
    Run,
    UnrecordedEnd,
    NextIncarnation,
};

/// A worker with a job's runs, and the order to maintain its VM.
struct Upkeep
{
    Upkeep()
        : scheduler(scheduling::SchedulerTimes{}, 0, bootNow())
    {
        scheduling::Configuration configuration;
        configuration.version = 1;
        scheduling::Queue queue;
        queue.terms = {"q", "s", 0, 3, 2, std::chrono::milliseconds(600)};
        configuration.queues.push_back(queue);
        configuration.services.push_back({"s", true, false});
        this->scheduler.setConfiguration(configuration);
        this->scheduler.knowsAllWorkers();
        this->list(100);
        this->report({}, {});
        jobs::StepSpec step;
        step.count = 1;
        step.need = {1000, 10, 0};
        this->scheduler.addJob(std::make_unique<jobs::Job>(
            "j", jobs::JobSpec{"", {step}, 0, 0, std::chrono::milliseconds(0)}, queue.terms,
            bootNow()));
    }

    void list(std::int64_t born)
    {
        scheduling::WorkerListing listing;
        listing.id = workerId;
        listing.vm = vm;
        listing.born = born;
        listing.service = "s";
        listing.capacity = {4000, 1000, 0};
        this->scheduler.listWorker(listing, bootNow());
    }

    void report(std::vector<scheduling::ListedRun> runs, std::vector<scheduling::ListedEnd> ends)
    {
        const auto now = bootNow();
        this->scheduler.report({workerId, 100, ++this->clock, std::move(runs), std::move(ends)},
                               now, now);
    }

    void tell(News news)
    {
        const scheduling::TaskId task{"j", 0, 0, 0};
        if (news == News::Run)
            this->report({{task, 5, "", 100, 0}}, {});
        else if (news == News::UnrecordedEnd)
            this->report({}, {{1, task, 5, jobs::RunEnd::Done, ""}});
        else if (news == News::NextIncarnation)
            this->list(200);
    }

    std::int64_t clock = 1000;
    scheduling::Scheduler scheduler;
};

} // namespace

// Guards against tasks that run again after they were done: the announcement of an order takes its
// time, and what the worker told meanwhile was lost with it.
TEST_CASE("An order about a VM is not given if its worker turns out to hold something")
{
    struct Case
    {
        const char *name;
        News news;
        bool isGiven;
    };
    const auto row =
        GENERATE(Case{"nothing", News::None, true}, Case{"a run", News::Run, false},
                 Case{"an end that is not recorded", News::UnrecordedEnd, false},
                 Case{"an incarnation that may run something", News::NextIncarnation, false});
    CAPTURE(row.name);
    http::asio::io_context context;
    MemoryStore memory;
    OneVmCloud cloud;
    Upkeep upkeep;
    typename FleetKeeper<MemoryStore, OneVmCloud>::Options options;
    options.announce = [&](std::vector<std::string>) -> Awaitable<bool> {
        upkeep.tell(row.news);
        co_return true;
    };
    options.mayOrder = [] {
        return true;
    };
    options.statusRow = [](std::int64_t, bool) {
        return WaveStatusRow{"status", "wave", ""};
    };
    options.onChange = [] {
    };
    auto keeper = std::make_shared<FleetKeeper<MemoryStore, OneVmCloud>>(
        context.get_executor(), memory, cloud, upkeep.scheduler, std::move(options));
    keeper->addWave({1, {vm}, std::chrono::seconds(20), 1});
    keeper->begin();
    context.run_for(patience);
    CHECK((cloud.orders > 0) == row.isGiven);
    keeper->stop();
    context.run_for(patience);
}
