// Single stories of requests that are not idempotent; the fault matrix has the rest.
#include "../../tests/fault_world.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::entry;
using namespace std::chrono_literals;
using model::Outcome;

TEST_CASE("a refusal after a wait says not run only if the claim was read again")
{
    // The caller sends a request that waits for a slot in e1, gives up on it and sends it again
    // through e2, where it runs. Then e1 refuses the first one. Told "not run", the caller would
    // bill the mowing a second time, under a new key.
    const auto sabotage = GENERATE(Sabotage::None, Sabotage::StaleReads);
    World world;
    world.sabotage = sabotage;
    FakeEntry first(world, "e1");
    first.hook = [&](RequestStep step) {
        if (step != RequestStep::ClaimRead)
            return;
        FakeEntry other(world, "e2");
        Cancellation never;
        const auto resend = keyedRequest(world, 2s);
        CHECK(serveKeyed(other, resend, never)->outcome == Outcome::Completed);
        first.hook = nullptr;
        world.workers.clear(); // e1 has no slot to give
    };
    Cancellation never;
    const auto request = keyedRequest(world, 10s);
    const auto answer = serveKeyed(first, request, never);
    const bool isTrue = answer->outcome != Outcome::NotRun;
    CHECK(isTrue == (sabotage == Sabotage::None));
}
