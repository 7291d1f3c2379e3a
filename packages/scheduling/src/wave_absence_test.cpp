// Tests which evidence makes a VM of a wave count as gone.
#include <sassafrasferry/scheduling/fleet_planner.h>

#include <catch2/catch.hpp>

#include "../tests/fleet_fixture.h"

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;

namespace {

constexpr const char *added = "added";
constexpr const char *pool = "one";

/// What happens to a VM that is missing from the lists before the wave, in this order.
enum class VmEvent {
    OldList, ///< a list without it arrives that was requested before the wave
    ListWithout,
    ListWith,
    Registered, ///< its worker has an entry
    Unregistered,
};

struct WaveOfAddedVm
{
    WaveOfAddedVm()
        : fixture(1, 1, 1)
    {
        this->fixture.now += 1s;
        this->fixture.planner.addWave({1, {added}, 26s, 1}, {}, this->fixture.now);
    }

    void apply(VmEvent event)
    {
        auto &planner = this->fixture.planner;
        if (event == VmEvent::Registered)
            this->fixture.addWorker(added, pool);
        else if (event == VmEvent::Unregistered)
            this->fixture.scheduler.unlistWorker(std::string("w-") + added);
        else if (event == VmEvent::OldList)
            planner.updateVms(this->fixture.vms, this->fixture.now - 1s);
        else if (event == VmEvent::ListWithout)
            planner.updateVms(this->fixture.vms, this->fixture.now);
        else
            planner.updateVms(this->listWithAdded(), this->fixture.now);
        const auto orders = this->fixture.plan();
        this->ordered += this->fixture.count(orders, FleetAction::Maintain);
        for (const auto &order : orders)
            planner.handleAnswer(order, FleetAnswer::Accepted, this->fixture.scheduler,
                                 this->fixture.now);
        this->fixture.now += 500ms;
        this->fixture.reportAll();
    }

    std::vector<Vm> listWithAdded() const
    {
        auto list = this->fixture.vms;
        list.push_back(
            {added, pool, VmState::Up, "a", "r", {vmCores, 100000, 0}, std::string("w-") + added});
        return list;
    }

    FleetFixture fixture;
    std::size_t ordered = 0;
};

} // namespace

// Guards against a wave that is reported as completed although a VM of it, added shortly before,
// was never maintained.
TEST_CASE("Only successive lists that were requested after a wave show that its VM is gone")
{
    using enum VmEvent;
    struct Case
    {
        const char *name;
        std::vector<VmEvent> events;
        bool isOrdered;
        bool isCompleted;
    };
    const auto row = GENERATE(
        Case{"lists from before the wave", {OldList, OldList, OldList}, false, false},
        Case{"one list from after the wave", {OldList, ListWithout}, false, false},
        Case{"two lists", {ListWithout, ListWithout}, false, true},
        Case{"a list without it between two others",
             {ListWithout, Registered, ListWith},
             true,
             true},
        Case{"missing from one list only, worker late",
             {ListWithout, ListWith, ListWithout},
             false,
             false},
        Case{"a worker of a VM that no list contains",
             {Registered, ListWithout, ListWithout, ListWithout},
             false,
             false},
        Case{"a VM that leaves", {Registered, ListWithout, Unregistered, ListWithout}, false, true},
        Case{"a VM that leaves after it was listed",
             {ListWith, ListWithout, ListWithout},
             false,
             true});
    CAPTURE(row.name);
    WaveOfAddedVm wave;
    for (const auto event : row.events) {
        CHECK_FALSE(wave.fixture.planner.waves().at(1).completed);
        wave.apply(event);
    }
    wave.fixture.plan();
    CHECK((wave.ordered > 0) == row.isOrdered);
    CHECK(wave.fixture.planner.waves().at(1).completed == row.isCompleted);
}

// Guards against a wave that waits for a VM that left, and so never maintains the others.
TEST_CASE("The VMs of a wave that exist are maintained while another one is missing")
{
    FleetFixture fixture(1, 1, 2);
    fixture.planner.addWave({1, {"never-was", "off0"}, 20s, 1}, {}, fixture.now);
    const auto orders = fixture.plan();
    REQUIRE(fixture.count(orders, FleetAction::Maintain) == 1);
    CHECK(fixture.planner.hasMissingWaveVms());
    for (const auto &order : orders)
        fixture.planner.handleAnswer(order, FleetAnswer::Accepted, fixture.scheduler, fixture.now);
    for (int i = 0; i < 2; ++i) {
        fixture.now += 500ms;
        fixture.planner.updateVms(fixture.vms, fixture.now);
        fixture.plan();
    }
    CHECK(fixture.planner.waves().at(1).completed);
}
