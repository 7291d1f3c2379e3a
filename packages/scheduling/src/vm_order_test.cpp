// Tests that orders only end VMs whose worker holds nothing that would be lost.
#include "../tests/estate.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;

namespace {

constexpr std::size_t vmCount = 3; // VMs in the pool under test

bool isOfPool(const FleetOrder &order)
{
    return order.vm.rfind("one", 0) == 0;
}

std::vector<std::string> workersOfPool(const Estate &estate)
{
    std::vector<std::string> ids;
    for (const auto &entry : estate.scheduler.workers()) {
        if (entry.second.listed && entry.second.listing.service == "one")
            ids.push_back(entry.first);
    }
    return ids;
}

/// Plans the start of one task on each worker of the pool.
std::vector<StartOrder> planStartOnEach(Estate &estate)
{
    jobs::StepSpec step;
    step.count = vmCount;
    step.need = {1000, 10, 0};
    step.estimate = 1s;
    step.perVmLimit = 1;
    const auto *queue = estate.scheduler.configuration().findQueue("one");
    estate.scheduler.addJob(std::make_unique<Job>("held", jobs::JobSpec{"", {step}, 0, 0, 0ms},
                                                  queue->terms, estate.now));
    auto orders = estate.scheduler.plan(estate.now, 0);
    REQUIRE(orders.starts.size() == vmCount);
    return std::move(orders.starts);
}

/// Plans the start of one task on each worker of the pool and answers each start with `answer`.
void startOnEach(Estate &estate, OrderAnswer answer)
{
    for (const auto &order : planStartOnEach(estate))
        estate.scheduler.startAnswered(order, answer, estate.now);
}

void holdNothing(Estate &)
{}

void holdRuns(Estate &estate)
{
    startOnEach(estate, OrderAnswer::Accepted);
}

void holdStartsInFlight(Estate &estate)
{
    planStartOnEach(estate);
}

void holdUnansweredStarts(Estate &estate)
{
    startOnEach(estate, OrderAnswer::NoAnswer);
}

void holdUnrecordedEnds(Estate &estate)
{
    startOnEach(estate, OrderAnswer::Accepted);
    for (const auto &id : workersOfPool(estate))
        estate.endAllBut(id, 0);
}

void holdRecordedEnds(Estate &estate)
{
    holdUnrecordedEnds(estate);
    for (const auto &row :
         estate.scheduler.takeDirty(100, [](const std::string &) { return true; }))
        estate.scheduler.recorded(row);
}

/// One worker runs a task, and the other workers report another run of the same task.
void holdSecondRuns(Estate &estate)
{
    estate.work("one", 1, 1000);
    RunKey first;
    for (const auto &id : workersOfPool(estate)) {
        const auto *worker = estate.scheduler.findWorker(id);
        if (!worker->runs.empty())
            first = worker->runs.begin()->first;
    }
    for (const auto &id : workersOfPool(estate)) {
        const auto *worker = estate.scheduler.findWorker(id);
        const std::vector<ListedRun> second{{first.task, first.number + 1, "", 100, 0}};
        if (worker->runs.empty())
            estate.scheduler.report({id, worker->listing.born, worker->clock + 1, second, {}},
                                    estate.now, estate.now);
    }
}

void holdUnreportedRuns(Estate &estate)
{
    for (const auto &id : workersOfPool(estate))
        estate.scheduler.incarnationEnded(id, EndEvidence::Entry, estate.now);
}

WorkerListing incarnationOf(const Estate &estate, const std::string &worker,
                            const std::string &idPrefix, std::int64_t born)
{
    auto listing = estate.scheduler.workers().at(worker).listing;
    listing.id = idPrefix + listing.vm;
    listing.born = born;
    return listing;
}

/// The VMs of the pool run tasks in their current incarnation. The entry of the previous
/// incarnation, which has ended, is listed again.
void holdRunsBesideEndedIncarnation(Estate &estate, const std::string &idPrefix)
{
    std::vector<WorkerListing> earlier;
    for (const auto &id : workersOfPool(estate)) {
        earlier.push_back(estate.scheduler.findWorker(id)->listing);
        const auto present = incarnationOf(estate, id, idPrefix, ++estate.births);
        estate.scheduler.endWorker(id, EndEvidence::VmOrder, estate.now);
        estate.scheduler.listWorker(present, estate.now);
        estate.report(present.id);
    }
    holdRuns(estate);
    for (const auto &listing : earlier)
        estate.scheduler.listWorker(listing, estate.now);
}

/// The VMs of the pool run tasks in their current incarnation, and an entry of a previous
/// incarnation that is unknown to this leader is listed.
void holdRunsBesideUnknownIncarnation(Estate &estate, const std::string &idPrefix)
{
    holdRuns(estate);
    for (const auto &id : workersOfPool(estate))
        estate.scheduler.listWorker(incarnationOf(estate, id, idPrefix, 1), estate.now);
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

std::size_t countOrdersAboutPool(const OrderReason &reason, void (*hold)(Estate &))
{
    Estate estate(vmCount, reason.otherVms, 1);
    if (reason.otherTasks > 0)
        estate.work("two", reason.otherTasks, vmCores / 2);
    hold(estate);
    estate.now += 100ms;
    if (reason.isWave)
        estate.planner.addWave({1, {"one0", "one1", "one2"}, 20s, vmCount}, {}, estate.now);
    const auto orders = estate.plan();
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
        void (*hold)(Estate &);
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
         [](Estate &estate) { holdRunsBesideEndedIncarnation(estate, largerId); }, false},
        {"runs beside an ended incarnation with a larger id",
         [](Estate &estate) { holdRunsBesideEndedIncarnation(estate, smallerId); }, false},
        {"runs beside an unknown incarnation with a smaller id",
         [](Estate &estate) { holdRunsBesideUnknownIncarnation(estate, smallerId); }, false},
        {"runs beside an unknown incarnation with a larger id",
         [](Estate &estate) { holdRunsBesideUnknownIncarnation(estate, largerId); }, false},
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

void holdNoWorker(Estate &)
{}

void holdIdleWorker(Estate &estate)
{
    estate.addWorker("off0", "two");
}

/// Starts one task on each worker of the VM's new pool and answers each start with `answer`.
void addWorkerAndStart(Estate &estate, OrderAnswer answer)
{
    holdIdleWorker(estate);
    jobs::StepSpec step;
    step.count = 2;
    step.need = {1000, 10, 0};
    step.estimate = 1s;
    step.perVmLimit = 1;
    const auto *queue = estate.scheduler.configuration().findQueue("two");
    estate.scheduler.addJob(std::make_unique<Job>("held", jobs::JobSpec{"", {step}, 0, 0, 0ms},
                                                  queue->terms, estate.now));
    for (const auto &order : estate.scheduler.plan(estate.now, 0).starts)
        estate.scheduler.startAnswered(order, answer, estate.now);
    REQUIRE_FALSE(estate.scheduler.findWorker(workerOutsideStandby)->runs.empty());
}

void holdRunsOutsideStandby(Estate &estate)
{
    addWorkerAndStart(estate, OrderAnswer::Accepted);
}

void holdUnansweredStartsOutsideStandby(Estate &estate)
{
    addWorkerAndStart(estate, OrderAnswer::NoAnswer);
}

void holdUnrecordedEndsOutsideStandby(Estate &estate)
{
    holdRunsOutsideStandby(estate);
    estate.endAllBut(workerOutsideStandby, 0);
}

void holdUnreportedRunsOutsideStandby(Estate &estate)
{
    holdIdleWorker(estate);
    estate.scheduler.incarnationEnded(workerOutsideStandby, EndEvidence::Entry, estate.now);
}

void holdRunsOfUnlistedWorker(Estate &estate)
{
    holdRunsOutsideStandby(estate);
    estate.scheduler.unlistWorker(workerOutsideStandby);
}

void holdUnrecordedEndsOfUnlistedWorker(Estate &estate)
{
    holdUnrecordedEndsOutsideStandby(estate);
    estate.scheduler.unlistWorker(workerOutsideStandby);
}

void holdEndedWorker(Estate &estate)
{
    holdRunsOutsideStandby(estate);
    estate.scheduler.endWorker(workerOutsideStandby, EndEvidence::VmOrder, estate.now);
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
        void (*hold)(Estate &);
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
            Estate estate(vmCount, reason.otherVms, 1);
            if (reason.otherTasks > 0)
                estate.work("two", reason.otherTasks, vmCores / 2);
            row.hold(estate);
            estate.now += 100ms;
            if (reason.isWave)
                estate.planner.addWave({1, {"off0"}, 20s, 1}, {}, estate.now);
            const auto orders = estate.plan();
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
        void (*hold)(Estate &);
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
        Estate estate(vmCount, 1, 1);
        row.hold(estate);
        estate.scheduler.takeNotes();
        estate.scheduler.endWorker("w-one0", row.evidence, estate.now);
        const auto notes = estate.scheduler.takeNotes();
        REQUIRE(notes.size() == 1);
        CHECK(notes[0].event == "worker-ended");
        CHECK(notes[0].detail == row.detail);
    }
}
