// Stops of running requests, between the thread that decides them and the one that runs them.
#include "shared_dispatcher.h"

#include <sassafrasferry/fakes/run.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::entry;
using namespace std::chrono_literals;

namespace {

// One worker with one slot, and a service of background work.
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

// A background request that runs, and an urgent one that waits for its slot.
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
        auto slot = this->dispatcher.slot(requestOf(model::RequestClass::Background), this->never);
        this->running = std::get<policy::Grant>(fakes::run(this->context, std::move(slot)));
        this->context.restart();
        http::asio::co_spawn(
            this->context,
            [this] {
                return this->dispatcher.slot(requestOf(model::RequestClass::Urgent), this->never);
            },
            http::asio::detached);
        this->context.poll();
    }

    // The tick at which the urgent request has waited too long.
    void tickLater()
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

TEST_CASE("a stop reaches the request, whether it is decided before or after the request says how")
{
    // The grant is on its way to its traffic thread when the control thread decides to stop it.
    // Were the stop lost then, the run would go on while its slot counts as coming free.
    const bool isEarly = GENERATE(true, false);
    Fixture fixture;
    REQUIRE(fixture.running.preemptible);
    int stops = 0;
    if (isEarly)
        fixture.tickLater();
    fixture.dispatcher.whenPreempted(fixture.running.id, [&] { ++stops; });
    if (!isEarly)
        fixture.tickLater();
    fixture.tickLater();
    CHECK(stops == 1);
}

TEST_CASE("a request that has ended is not stopped")
{
    Fixture fixture;
    int stops = 0;
    fixture.dispatcher.whenPreempted(fixture.running.id, [&] { ++stops; });
    fixture.finish();
    fixture.tickLater();
    CHECK(stops == 0);
}
