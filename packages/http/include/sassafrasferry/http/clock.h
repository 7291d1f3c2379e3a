// The clocks of this process. Policies never ask them; what does the I/O hands the time in.
#pragma once

#include <chrono>
#include <cstdint>

namespace sassafrasferry::http {

/// The monotonic clock.
inline std::chrono::steady_clock::time_point steadyNow()
{
    return std::chrono::steady_clock::now();
}

/// The wall clock, in milliseconds since 1970.
inline std::int64_t unixNow()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace sassafrasferry::http
