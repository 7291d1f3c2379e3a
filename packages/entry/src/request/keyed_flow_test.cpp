// Single scenarios of requests that are not idempotent; the fault matrix covers the others.
#include "../../tests/fault_world.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::entry;
using namespace std::chrono_literals;
using model::Outcome;

TEST_CASE("a refused request is reported as not run only after its claim is read again")
{
    // A request waits for a slot in e1; its caller resends it through e2, where it runs. Then e1
    // refuses the first request. If e1 reported "not run", the caller would repeat the work under a
    // new key and bill the mowing twice.
    const auto mutation = GENERATE(Mutation::None, Mutation::StaleReads);
    World world;
    world.mutation = mutation;
    FakeEntry first(world, "e1");
    first.hook = [&](RequestStep step) {
        if (step != RequestStep::ClaimRead)
            return;
        FakeEntry other(world, "e2");
        Cancellation never;
        const auto resend = keyedRequest(world, 2s);
        CHECK(serveKeyed(other, resend, never)->outcome == Outcome::Completed);
        first.hook = nullptr;
        world.workers.clear(); // e1 has no slots
    };
    Cancellation never;
    const auto request = keyedRequest(world, 10s);
    const auto answer = serveKeyed(first, request, never);
    const bool isTrue = answer->outcome != Outcome::NotRun;
    CHECK(isTrue == (mutation == Mutation::None));
}
