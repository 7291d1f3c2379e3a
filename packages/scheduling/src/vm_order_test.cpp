// Tests that orders only end VMs whose worker holds nothing that would be lost.
#include "../tests/fleet_fixture.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;

namespace {

constexpr std::size_t vmCount = 3; // VMs in the pool under test

bool isOfPool(const FleetOrder &order)
{
    return order.vm.rfind("one", 0) == 0;
}

std::vector<std::string> workersOfPool(const FleetFixture &fixture)
{
    std::vector<std::string> ids;
    for (const auto &entry : fixture.scheduler.workers()) {
        if (entry.second.listed && entry.second.listing.service == "one")
            ids.push_back(entry.first);
    }
    return ids;
}

/// Plans the start of one task on each worker of the pool.
std::vector<StartOrder> planStartOnEach(FleetFixture &fixture)
{
    jobs::StepSpec step;
    step.count = vmCount;
    step.need = {1000, 10, 0};
    step.estimate = 1s;
    step.perVmLimit = 1;
    const auto *queue = fixture.scheduler.configuration().findQueue("one");
    fixture.scheduler.addJob(std::make_unique<Job>("held", jobs::JobSpec{"", {step}, 0, 0, 0ms},
                                                   queue->terms, fixture.now));
    auto orders = fixture.scheduler.plan(fixture.now, 0);
    REQUIRE(orders.starts.size() == vmCount);
    return std::move(orders.starts);
}

/// Plans the start of one task on each worker of the pool and answers each start with `answer`.
void startOnEach(FleetFixture &fixture, OrderAnswer answer)
{
    for (const auto &order : planStartOnEach(fixture))
        fixture.scheduler.startAnswered(order, answer, fixture.now);
}

void holdNothing(FleetFixture &)
{}

void holdRuns(FleetFixture &fixture)
{
    startOnEach(fixture, OrderAnswer::Accepted);
}

void holdStartsInFlight(FleetFixture &fixture)
{
    planStartOnEach(fixture);
}

void holdUnansweredStarts(FleetFixture &fixture)
{
    startOnEach(fixture, OrderAnswer::NoAnswer);
}

void holdUnrecordedEnds(FleetFixture &fixture)
{
    startOnEach(fixture, OrderAnswer::Accepted);
    for (const auto &id : workersOfPool(fixture))
        fixture.endRunsExcept(id, 0);
}

void holdRecordedEnds(FleetFixture &fixture)
{
    holdUnrecordedEnds(fixture);
    for (const auto &row :
         fixture.scheduler.takeDirty(100, [](const std::string &) { return true; }))
        fixture.scheduler.recorded(row);
}

/// One worker runs a task, and the other workers report another run of the same task.
void holdSecondRuns(FleetFixture &fixture)
{
    fixture.addRunningJob("one", 1, 1000);
    RunKey first;
    for (const auto &id : workersOfPool(fixture)) {
        const auto *worker = fixture.scheduler.findWorker(id);
        if (!worker->runs.empty())
            first = worker->runs.begin()->first;
    }
    for (const auto &id : workersOfPool(fixture)) {
        const auto *worker = fixture.scheduler.findWorker(id);
        const std::vector<ListedRun> second{{first.task, first.number + 1, "", 100, 0}};
        if (worker->runs.empty())
            fixture.scheduler.report({id, worker->listing.born, worker->clock + 1, second, {}},
                                     fixture.now, fixture.now);
    }
}

void holdUnreportedRuns(FleetFixture &fixture)
{
    for (const auto &id : workersOfPool(fixture))
        fixture.scheduler.incarnationEnded(id, EndEvidence::Entry, fixture.now);
}

WorkerListing incarnationOf(const FleetFixture &fixture, const std::string &worker,
                            const std::string &idPrefix, std::int64_t born)
{
    auto listing = fixture.scheduler.workers().at(worker).listing;
    listing.id = idPrefix + listing.vm;
    listing.born = born;
    return listing;
}

/// The VMs of the pool run tasks in their current incarnation. The entry of the previous
/// incarnation, which has ended, is listed again.
void holdRunsBesideEndedIncarnation(FleetFixture &fixture, const std::string &idPrefix)
{
    std::vector<WorkerListing> earlier;
    for (const auto &id : workersOfPool(fixture)) {
        earlier.push_back(fixture.scheduler.findWorker(id)->listing);
        const auto present = incarnationOf(fixture, id, idPrefix, ++fixture.incarnationCount);
        fixture.scheduler.retireWorker(id, EndEvidence::VmOrder, fixture.now);
        fixture.scheduler.listWorker(present, fixture.now);
        fixture.report(present.id);
    }
    holdRuns(fixture);
    for (const auto &listing : earlier)
        fixture.scheduler.listWorker(listing, fixture.now);
}

/// The VMs of the pool run tasks in their current incarnation, and an entry of a previous
/// incarnation that is unknown to this leader is listed.
void holdRunsBesideUnknownIncarnation(FleetFixture &fixture, const std::string &idPrefix)
{
    holdRuns(fixture);
    for (const auto &id : workersOfPool(fixture))
        fixture.scheduler.listWorker(incarnationOf(fixture, id, idPrefix, 1), fixture.now);
}

// Tables sorted by id visit the larger id last, so both orders are tested.
constexpr const char *smallerId = "a-";
constexpr const char *largerId = "z-";

/// A reason for the planner to order the end of the pool's VMs.
struct OrderReason
{
    const char *name;
    std::size_t otherVms;
    std::size_t otherTasks; ///< tasks of the other pool, each of half a VM
    bool isWave;
};

std::size_t countOrdersAboutPool(const OrderReason &reason, void (*hold)(FleetFixture &))
{
    FleetFixture fixture(vmCount, reason.otherVms, 1);
    if (reason.otherTasks > 0)
        fixture.addRunningJob("two", reason.otherTasks, vmCores / 2);
    hold(fixture);
    fixture.now += 100ms;
    if (reason.isWave)
        fixture.planner.addWave({1, {"one0", "one1", "one2"}, 20s, vmCount}, {}, fixture.now);
    const auto orders = fixture.plan();
    return static_cast<std::size_t>(std::count_if(orders.begin(), orders.end(), isOfPool));
}

} // namespace

// Guards against tasks that run again after they completed: an order about a VM ended its worker
// before the results of the worker were reported and recorded.
TEST_CASE("orders only end VMs whose worker holds no runs and no unrecorded ends")
{
    const std::vector<OrderReason> reasons{
        {"a pool needs VMs", 1, 40, false},
        {"a pool has more VMs than it needs", 1, 0, false},
        {"a wave", 1, 0, true},
    };
    struct Case
    {
        const char *name;
        void (*hold)(FleetFixture &);
        bool mayEnd;
    };
    const std::vector<Case> cases{
        {"nothing", holdNothing, true},
        {"runs", holdRuns, false},
        {"starts in flight", holdStartsInFlight, false},
        {"unanswered starts", holdUnansweredStarts, false},
        {"unrecorded ends", holdUnrecordedEnds, false},
        {"recorded ends", holdRecordedEnds, true},
        {"second runs of a task", holdSecondRuns, false},
        {"runs that were never reported", holdUnreportedRuns, false},
        {"runs beside an ended incarnation with a smaller id",
         [](FleetFixture &fixture) { holdRunsBesideEndedIncarnation(fixture, largerId); }, false},
        {"runs beside an ended incarnation with a larger id",
         [](FleetFixture &fixture) { holdRunsBesideEndedIncarnation(fixture, smallerId); }, false},
        {"runs beside an unknown incarnation with a smaller id",
         [](FleetFixture &fixture) { holdRunsBesideUnknownIncarnation(fixture, smallerId); },
         false},
        {"runs beside an unknown incarnation with a larger id",
         [](FleetFixture &fixture) { holdRunsBesideUnknownIncarnation(fixture, largerId); }, false},
    };
    for (const auto &reason : reasons) {
        for (const auto &row : cases) {
            INFO(reason.name << ", " << row.name);
            CHECK((countOrdersAboutPool(reason, row.hold) > 0) == row.mayEnd);
        }
    }
}

namespace {

/// The worker of a VM that the platform's list still shows in the standby pool.
constexpr const char *workerOutsideStandby = "w-off0";

void holdNoWorker(FleetFixture &)
{}

void holdIdleWorker(FleetFixture &fixture)
{
    fixture.addWorker("off0", "two");
}

/// Starts one task on each worker of the VM's new pool and answers each start with `answer`.
void addWorkerAndStart(FleetFixture &fixture, OrderAnswer answer)
{
    holdIdleWorker(fixture);
    jobs::StepSpec step;
    step.count = 2;
    step.need = {1000, 10, 0};
    step.estimate = 1s;
    step.perVmLimit = 1;
    const auto *queue = fixture.scheduler.configuration().findQueue("two");
    fixture.scheduler.addJob(std::make_unique<Job>("held", jobs::JobSpec{"", {step}, 0, 0, 0ms},
                                                   queue->terms, fixture.now));
    for (const auto &order : fixture.scheduler.plan(fixture.now, 0).starts)
        fixture.scheduler.startAnswered(order, answer, fixture.now);
    REQUIRE_FALSE(fixture.scheduler.findWorker(workerOutsideStandby)->runs.empty());
}

void holdRunsOutsideStandby(FleetFixture &fixture)
{
    addWorkerAndStart(fixture, OrderAnswer::Accepted);
}

void holdUnansweredStartsOutsideStandby(FleetFixture &fixture)
{
    addWorkerAndStart(fixture, OrderAnswer::NoAnswer);
}

void holdUnrecordedEndsOutsideStandby(FleetFixture &fixture)
{
    holdRunsOutsideStandby(fixture);
    fixture.endRunsExcept(workerOutsideStandby, 0);
}

void holdUnreportedRunsOutsideStandby(FleetFixture &fixture)
{
    holdIdleWorker(fixture);
    fixture.scheduler.incarnationEnded(workerOutsideStandby, EndEvidence::Entry, fixture.now);
}

void holdRunsOfUnlistedWorker(FleetFixture &fixture)
{
    holdRunsOutsideStandby(fixture);
    fixture.scheduler.unlistWorker(workerOutsideStandby);
}

void holdUnrecordedEndsOfUnlistedWorker(FleetFixture &fixture)
{
    holdUnrecordedEndsOutsideStandby(fixture);
    fixture.scheduler.unlistWorker(workerOutsideStandby);
}

void holdEndedWorker(FleetFixture &fixture)
{
    holdRunsOutsideStandby(fixture);
    fixture.scheduler.retireWorker(workerOutsideStandby, EndEvidence::VmOrder, fixture.now);
}

} // namespace

// Guards against tasks that run again after they completed: the platform's list was out of date,
// and an order ended a VM that had already left the standby pool, with its runs and unreported
// results.
TEST_CASE("orders only end standby VMs whose workers hold no runs and no unrecorded ends")
{
    const std::vector<OrderReason> reasons{
        {"a pool needs VMs", 1, 40, false},
        {"a wave", 1, 0, true},
    };
    struct Case
    {
        const char *name;
        void (*hold)(FleetFixture &);
        bool mayEnd;
    };
    const std::vector<Case> cases{
        {"no worker", holdNoWorker, true},
        {"runs", holdRunsOutsideStandby, false},
        {"unanswered starts", holdUnansweredStartsOutsideStandby, false},
        {"unrecorded ends", holdUnrecordedEndsOutsideStandby, false},
        {"runs that were never reported", holdUnreportedRunsOutsideStandby, false},
        {"runs, and the worker's entry was removed", holdRunsOfUnlistedWorker, false},
        {"unrecorded ends, and the worker's entry was removed", holdUnrecordedEndsOfUnlistedWorker,
         false},
        {"a worker that has ended", holdEndedWorker, true},
    };
    for (const auto &reason : reasons) {
        for (const auto &row : cases) {
            INFO(reason.name << ", " << row.name);
            FleetFixture fixture(vmCount, reason.otherVms, 1);
            if (reason.otherTasks > 0)
                fixture.addRunningJob("two", reason.otherTasks, vmCores / 2);
            row.hold(fixture);
            fixture.now += 100ms;
            if (reason.isWave)
                fixture.planner.addWave({1, {"off0"}, 20s, 1}, {}, fixture.now);
            const auto orders = fixture.plan();
            const bool ends = std::any_of(orders.begin(), orders.end(),
                                          [](const auto &order) { return order.vm == "off0"; });
            CHECK(ends == row.mayEnd);
        }
    }
}

// Guards against logs that do not show why a worker was ended and what was lost with it.
TEST_CASE("the log entry for an ended worker names the evidence and what the worker held")
{
    struct Case
    {
        const char *name;
        void (*hold)(FleetFixture &);
        EndEvidence evidence;
        const char *detail;
    };
    const std::vector<Case> cases{
        {"nothing", holdNothing, EndEvidence::VmOrder,
         "runs=0 unrecorded-ends=0 vm=one0 evidence=vm-order"},
        {"a run", holdRuns, EndEvidence::Entry, "runs=1 unrecorded-ends=0 vm=one0 evidence=entry"},
        {"an end", holdUnrecordedEnds, EndEvidence::OtherIncarnation,
         "runs=0 unrecorded-ends=1 vm=one0 evidence=other-incarnation"},
    };
    for (const auto &row : cases) {
        INFO(row.name);
        FleetFixture fixture(vmCount, 1, 1);
        row.hold(fixture);
        fixture.scheduler.takeNotes();
        fixture.scheduler.retireWorker("w-one0", row.evidence, fixture.now);
        const auto notes = fixture.scheduler.takeNotes();
        REQUIRE(notes.size() == 1);
        CHECK(notes[0].event == "worker-ended");
        CHECK(notes[0].detail == row.detail);
    }
}
