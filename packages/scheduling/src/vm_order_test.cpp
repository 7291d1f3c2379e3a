// Which VMs an order about them may end: those whose worker holds nothing that would be lost.
#include "../tests/estate.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;

namespace {

constexpr std::size_t vmCount = 3; // of the pool whose VMs an order may end

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

/// Sends the start of one task to each worker of the pool.
std::vector<StartOrder> sendToEach(Estate &estate)
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

/// The same, and gives each start that answer.
void startOnEach(Estate &estate, OrderAnswer answer)
{
    for (const auto &order : sendToEach(estate))
        estate.scheduler.startAnswered(order, answer, estate.now);
}

void holdNothing(Estate &)
{}

void holdRuns(Estate &estate)
{
    startOnEach(estate, OrderAnswer::Accepted);
}

void holdStartsOnTheirWay(Estate &estate)
{
    sendToEach(estate);
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

/// One worker runs a task, and the others list another run of it.
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

void holdUnseenRuns(Estate &estate)
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

/// The pool's VMs run tasks in their present incarnation, and the entry of the one before, which
/// has ended, is listed again.
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

/// The same, but this leader has not heard of the incarnation before.
void holdRunsBesideUnknownIncarnation(Estate &estate, const std::string &idPrefix)
{
    holdRuns(estate);
    for (const auto &id : workersOfPool(estate))
        estate.scheduler.listWorker(incarnationOf(estate, id, idPrefix, 1), estate.now);
}

// Tables by id visit the entry with the larger one last, so both orders are tried.
constexpr const char *smallerId = "a-";
constexpr const char *largerId = "z-";

/// What would end the VMs of the pool.
struct Occasion
{
    const char *name;
    std::size_t otherVms;
    std::size_t otherTasks; ///< work of the other pool, each of half a VM
    bool isWave;
};

std::size_t ordersAboutPool(const Occasion &occasion, void (*hold)(Estate &))
{
    Estate estate(vmCount, occasion.otherVms, 1);
    if (occasion.otherTasks > 0)
        estate.work("two", occasion.otherTasks, vmCores / 2);
    hold(estate);
    estate.now += 100ms;
    if (occasion.isWave)
        estate.planner.addWave({1, {"one0", "one1", "one2"}, 20s, vmCount}, {}, estate.now);
    const auto orders = estate.plan();
    return static_cast<std::size_t>(std::count_if(orders.begin(), orders.end(), isOfPool));
}

} // namespace

// Guards against tasks that run again after they were done: an order about a VM ended its worker
// before what the worker had to tell was known and recorded.
TEST_CASE("an order ends only VMs whose worker holds nothing")
{
    const std::vector<Occasion> occasions{
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
        {"starts on their way", holdStartsOnTheirWay, false},
        {"starts without an answer", holdUnansweredStarts, false},
        {"ends that are not recorded", holdUnrecordedEnds, false},
        {"ends that are recorded", holdRecordedEnds, true},
        {"second runs of a task", holdSecondRuns, false},
        {"runs that nobody has heard of", holdUnseenRuns, false},
        {"runs beside an ended incarnation with a smaller id",
         [](Estate &estate) { holdRunsBesideEndedIncarnation(estate, largerId); }, false},
        {"runs beside an ended incarnation with a larger id",
         [](Estate &estate) { holdRunsBesideEndedIncarnation(estate, smallerId); }, false},
        {"runs beside an unknown incarnation with a smaller id",
         [](Estate &estate) { holdRunsBesideUnknownIncarnation(estate, smallerId); }, false},
        {"runs beside an unknown incarnation with a larger id",
         [](Estate &estate) { holdRunsBesideUnknownIncarnation(estate, largerId); }, false},
    };
    for (const auto &occasion : occasions) {
        for (const auto &row : cases) {
            INFO(occasion.name << ", " << row.name);
            CHECK((ordersAboutPool(occasion, row.hold) > 0) == row.mayEnd);
        }
    }
}

namespace {

/// The worker of a VM that the platform's list still has in the standby pool.
constexpr const char *awake = "w-off0";

void isOff(Estate &)
{}

void isAwake(Estate &estate)
{
    estate.addWorker("off0", "two");
}

/// Starts one task on each worker of its pool, and gives each start that answer.
void wakeAndStart(Estate &estate, OrderAnswer answer)
{
    isAwake(estate);
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
    REQUIRE_FALSE(estate.scheduler.findWorker(awake)->runs.empty());
}

void runsAwake(Estate &estate)
{
    wakeAndStart(estate, OrderAnswer::Accepted);
}

void mayRunAwake(Estate &estate)
{
    wakeAndStart(estate, OrderAnswer::NoAnswer);
}

void endedAwake(Estate &estate)
{
    runsAwake(estate);
    estate.endAllBut(awake, 0);
}

void isUnheardAwake(Estate &estate)
{
    isAwake(estate);
    estate.scheduler.incarnationEnded(awake, EndEvidence::Entry, estate.now);
}

void runsUnlisted(Estate &estate)
{
    runsAwake(estate);
    estate.scheduler.unlistWorker(awake);
}

void endedUnlisted(Estate &estate)
{
    endedAwake(estate);
    estate.scheduler.unlistWorker(awake);
}

void isOverAwake(Estate &estate)
{
    runsAwake(estate);
    estate.scheduler.endWorker(awake, EndEvidence::VmOrder, estate.now);
}

} // namespace

// Guards against tasks that run again after they were done: the platform's list was behind, and an
// order ended a VM that had left the standby pool, with what its worker ran or had to tell.
TEST_CASE("an order ends a VM of the standby pool only if no worker of it holds anything")
{
    const std::vector<Occasion> occasions{
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
        {"no worker", isOff, true},
        {"runs", runsAwake, false},
        {"starts without an answer", mayRunAwake, false},
        {"ends that are not recorded", endedAwake, false},
        {"runs that nobody has heard of", isUnheardAwake, false},
        {"runs, and the worker's entry is gone", runsUnlisted, false},
        {"ends that are not recorded, and the worker's entry is gone", endedUnlisted, false},
        {"a worker that is over", isOverAwake, true},
    };
    for (const auto &occasion : occasions) {
        for (const auto &row : cases) {
            INFO(occasion.name << ", " << row.name);
            Estate estate(vmCount, occasion.otherVms, 1);
            if (occasion.otherTasks > 0)
                estate.work("two", occasion.otherTasks, vmCores / 2);
            row.hold(estate);
            estate.now += 100ms;
            if (occasion.isWave)
                estate.planner.addWave({1, {"off0"}, 20s, 1}, {}, estate.now);
            const auto orders = estate.plan();
            const bool ends = std::any_of(orders.begin(), orders.end(),
                                          [](const auto &order) { return order.vm == "off0"; });
            CHECK(ends == row.mayEnd);
        }
    }
}

// Guards against logs that can't tell which order ended a worker, and what was lost with it.
TEST_CASE("the log tells what showed that a worker has ended, and what it held")
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
