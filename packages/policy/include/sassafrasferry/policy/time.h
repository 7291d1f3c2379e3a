// Time as the policies see it: an instant is handed in, never asked for.
#pragma once

#include <chrono>
#include <cstdint>

namespace sassafrasferry::policy {

/// A point of the monotonic clock, or of a test's virtual clock.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Wall-clock milliseconds since 1970, for times that cross VMs.
using UnixMilliseconds = std::int64_t;

constexpr double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

constexpr Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace sassafrasferry::policy
