// Which incarnation of a worker an answer comes from, by its clock.
#include <sassafrasferry/scheduling/incarnation_clock.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::scheduling;
using namespace std::chrono_literals;

namespace {

constexpr double drift = 0.02;
const Instant start(1h);

} // namespace

// Guards against a start that a restarted worker has accepted and that counts as one of its former
// incarnation, and against a worker that counts as restarted while it runs on.
TEST_CASE("an answer is of the known incarnation only if its clock rules out a later one")
{
    struct Case
    {
        const char *name;
        std::int64_t known; ///< reading, milliseconds, asked for at the start
        Duration knownAfter; ///< when it was received
        Duration askedAfter; ///< when the call was sent that the other reading answers
        Duration receivedAfter;
        std::int64_t reading;
        ClockOrigin origin;
    };
    const auto row = GENERATE(
        Case{"the clock has gone on", 60000, 5ms, 1000ms, 1005ms, 60999, ClockOrigin::Same},
        Case{"a clock that is 2% slow", 60000, 5ms, 10000ms, 10005ms, 69800, ClockOrigin::Same},
        Case{"a clock that begins anew", 60000, 5ms, 1000ms, 1005ms, 500, ClockOrigin::Later},
        Case{"just behind", 60000, 5ms, 1000ms, 1005ms, 59990, ClockOrigin::Later},
        Case{"at a standstill", 60000, 5ms, 1000ms, 1005ms, 60000, ClockOrigin::Unknown},
        Case{"ahead of its time", 60000, 5ms, 1000ms, 1005ms, 62000, ClockOrigin::Unknown},
        Case{"a young worker that may have restarted", 400, 5ms, 1000ms, 1005ms, 990,
             ClockOrigin::Unknown},
        Case{"a young worker that has restarted", 400, 5ms, 1000ms, 1005ms, 300,
             ClockOrigin::Later},
        Case{"calls that overlap", 60000, 50ms, 20ms, 60ms, 59990, ClockOrigin::Same},
        Case{"a slow call, answered by a later one", 60000, 5ms, 10ms, 900ms, 700,
             ClockOrigin::Later},
        Case{"a call from before the reading", 60000, 50ms, 20ms, 60ms, 20, ClockOrigin::Unknown});
    CAPTURE(row.name);
    const ClockReading known{row.known, start, start + row.knownAfter};
    const ClockReading reading{row.reading, start + row.askedAfter, start + row.receivedAfter};
    CHECK(originOf(reading, known, drift) == row.origin);
}
