// Tells by the clock in a worker's answer which incarnation gave it. A restarted worker keeps its
// id, so it also answers calls for its former incarnation, and only reports name the incarnation.
// Its clock begins anew, though, and every answer has a reading of it.
#pragma once

#include <sassafrasferry/policy/time.h>

#include <cstdint>

namespace sassafrasferry::scheduling {

using policy::Duration;
using policy::Instant;

/// A reading of a worker's clock, taken between `askedAt` and `receivedAt`.
struct ClockReading
{
    std::int64_t milliseconds = 0;
    Instant askedAt{};
    Instant receivedAt{};
};

/// The incarnation of a worker that an answer comes from.
enum class ClockOrigin {
    Same, ///< the one that gave the known reading
    Later, ///< one that started after the known reading was taken
    Unknown, ///< the reading is missing, or fits several incarnations
};

/// Compares `reading` with one by a known incarnation. Clocks are steady and may run slow by the
/// share `drift`.
inline ClockOrigin originOf(const ClockReading &reading, const ClockReading &known, double drift)
{
    constexpr std::int64_t rounding = 1; // milliseconds
    const auto milliseconds = [](Duration duration, double rate) {
        return static_cast<std::int64_t>(policy::seconds(duration) * rate * 1000);
    };
    const auto waited = reading.askedAt - known.receivedAt;
    const bool isAfter = waited >= Duration::zero();
    if (isAfter && reading.milliseconds + rounding < known.milliseconds)
        return ClockOrigin::Later;
    const auto least =
        known.milliseconds + milliseconds(waited, isAfter ? 1 - drift : 1) - rounding;
    const auto elapsed = milliseconds(reading.receivedAt - known.askedAt, 1) + rounding;
    if (reading.milliseconds < least || reading.milliseconds > known.milliseconds + elapsed)
        return ClockOrigin::Unknown;
    // The clock of a later incarnation shows less than the time since the known reading.
    return reading.milliseconds > elapsed ? ClockOrigin::Same : ClockOrigin::Unknown;
}

} // namespace sassafrasferry::scheduling
