// Tests changes of a worker between the planner's decision about its VM and the call.
#include <sassafrasferry/coordination/fleet_controller.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include "../tests/memory_store.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;

namespace {

constexpr const char *vm = "vm";
constexpr const char *workerId = "w";
constexpr auto runTime = std::chrono::milliseconds(400);

/// A cloud of one VM that counts the orders.
struct OneVmCloud
{
    std::size_t orders = 0;
    scheduling::FleetAnswer answer = scheduling::FleetAnswer::Busy;

    Awaitable<absl::StatusOr<std::vector<scheduling::Vm>>> list()
    {
        co_return std::vector<scheduling::Vm>{
            {vm, "s", scheduling::VmState::Up, "a", "r", {4000, 1000, 0}, workerId}};
    }

    Awaitable<scheduling::FleetAnswer> sendOrder(scheduling::FleetOrder, std::int64_t)
    {
        ++this->orders;
        co_return this->answer;
    }
};

/// What the scheduler learns about the worker while the order is announced.
enum class WorkerChange {
    None,
    Run,
    UnrecordedEnd,
    NextIncarnation,
};

/// A scheduler with one job and one worker, whose VM is to be maintained.
struct MaintainedWorker
{
    MaintainedWorker()
        : scheduler(scheduling::SchedulerTimes{}, 0, bootNow())
    {
        scheduling::Configuration configuration;
        configuration.version = 1;
        scheduling::Queue queue;
        queue.terms = {"q", "s", 0, 3, 2, std::chrono::milliseconds(600)};
        configuration.queues.push_back(queue);
        configuration.services.push_back({"s", true, false});
        this->scheduler.setConfiguration(configuration);
        this->scheduler.setAllWorkersKnown();
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

    void apply(WorkerChange change)
    {
        const scheduling::TaskId task{"j", 0, 0, 0};
        if (change == WorkerChange::Run)
            this->report({{task, 5, "", 100, 0}}, {});
        else if (change == WorkerChange::UnrecordedEnd)
            this->report({}, {{1, task, 5, jobs::RunEnd::Done, ""}});
        else if (change == WorkerChange::NextIncarnation)
            this->list(200);
    }

    std::int64_t clock = 1000;
    scheduling::Scheduler scheduler;
};

} // namespace

// Guards against tasks that run again after they were done: the announcement of an order takes
// time, and an order given in spite of a run or an end that was reported meanwhile would destroy
// it.
TEST_CASE("An order about a VM is not given if its worker may hold work by then")
{
    struct Case
    {
        const char *name;
        WorkerChange change;
        bool isGiven;
    };
    const auto row = GENERATE(
        Case{"nothing", WorkerChange::None, true}, Case{"a run", WorkerChange::Run, false},
        Case{"an end that is not recorded", WorkerChange::UnrecordedEnd, false},
        Case{"an incarnation that may run something", WorkerChange::NextIncarnation, false});
    CAPTURE(row.name);
    http::asio::io_context context;
    MemoryStore memory;
    OneVmCloud cloud;
    MaintainedWorker maintained;
    typename FleetController<MemoryStore, OneVmCloud>::Options options;
    options.announce = [&](std::vector<std::string>) -> Awaitable<bool> {
        maintained.apply(row.change);
        co_return true;
    };
    options.canOrder = [] {
        return true;
    };
    options.statusRow = [](std::int64_t, bool) {
        return WaveStatusRow{"status", "wave", ""};
    };
    options.onChange = [] {
    };
    auto keeper = std::make_shared<FleetController<MemoryStore, OneVmCloud>>(
        context.get_executor(), memory, cloud, maintained.scheduler, std::move(options));
    keeper->addWave({1, {vm}, std::chrono::seconds(20), 1});
    keeper->begin();
    context.run_for(runTime);
    CHECK((cloud.orders > 0) == row.isGiven);
    keeper->stop();
    context.run_for(runTime);
}
