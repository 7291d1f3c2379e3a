// Preemption of running requests: the control thread decides, a traffic thread runs the request.
#include "shared_dispatcher.h"

#include <sassafrasferry/fakes/run.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::entry;
using namespace std::chrono_literals;

namespace {

// One worker with one slot and one service.
policy::RoutingTable table()
{
    policy::RoutingTable result;
    result.revision = 1;
    policy::WorkerSpec worker;
    worker.name = "w1";
    worker.slots = 1;
    result.workers.push_back(worker);
    result.workerIndex["w1"] = 0;
    result.pools = {{"main", false, {0}}};
    policy::ServiceSpec service;
    service.name = "simulation";
    service.pool = 0;
    result.services.push_back(service);
    result.serviceIndex["simulation"] = 0;
    return result;
}

policy::Submission requestOf(model::RequestClass requestClass)
{
    policy::Submission submission;
    submission.service = "simulation";
    submission.requestClass = requestClass;
    submission.deadline = std::chrono::steady_clock::now() + 1h;
    return submission;
}

// A running background request and an urgent request that waits for its slot.
struct Fixture
{
    http::asio::io_context context{1};
    SharedDispatcher dispatcher{{}, "a", 1};
    Cancellation never;
    policy::Grant running;

    Fixture()
    {
        this->dispatcher.change([](policy::Dispatcher &inner) {
            return inner.adopt(table(), std::chrono::steady_clock::now());
        });
        auto slot =
            this->dispatcher.acquireSlot(requestOf(model::RequestClass::Background), this->never);
        this->running = std::get<policy::Grant>(fakes::run(this->context, std::move(slot)));
        this->context.restart();
        http::asio::co_spawn(
            this->context,
            [this] {
                return this->dispatcher.acquireSlot(requestOf(model::RequestClass::Urgent),
                                                    this->never);
            },
            http::asio::detached);
        this->context.poll();
    }

    // Ticks the dispatcher one minute ahead, when the urgent request has waited long enough to
    // preempt.
    void tickAfterPreemptionDelay()
    {
        this->dispatcher.change([](policy::Dispatcher &inner) {
            return inner.tick(std::chrono::steady_clock::now() + 1min);
        });
    }

    void finish()
    {
        policy::RunReport report;
        report.worker = this->running.worker;
        report.service = "simulation";
        report.id = this->running.id;
        this->dispatcher.finish(report, std::chrono::steady_clock::now());
    }
};

} // namespace

TEST_CASE("a preemption before or after the stop handler is registered stops the request once")
{
    // The control thread may preempt a request while its grant is still on the way to the traffic
    // thread. If that stop were lost, the run would continue while its slot is expected to be
    // freed.
    const bool isEarly = GENERATE(true, false);
    Fixture fixture;
    REQUIRE(fixture.running.preemptible);
    int stops = 0;
    if (isEarly)
        fixture.tickAfterPreemptionDelay();
    fixture.dispatcher.whenPreempted(fixture.running.id, [&] { ++stops; });
    if (!isEarly)
        fixture.tickAfterPreemptionDelay();
    fixture.tickAfterPreemptionDelay();
    CHECK(stops == 1);
}

TEST_CASE("the stop handler of a finished request is not called")
{
    Fixture fixture;
    int stops = 0;
    fixture.dispatcher.whenPreempted(fixture.running.id, [&] { ++stops; });
    fixture.finish();
    fixture.tickAfterPreemptionDelay();
    CHECK(stops == 0);
}
