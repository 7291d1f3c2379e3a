// Detects a leader that makes no progress in loading jobs and workers.
#pragma once

#include <sassafrasferry/coordination/timing.h>

#include <cstddef>
#include <functional>

namespace sassafrasferry::coordination {

/// Parameters of `watchLoad`: how to read this leader's loading progress, and what to do if it
/// stalls.
struct LoadWatch
{
    std::function<std::size_t()> steps; ///< returns the number of table reads completed so far
    std::function<bool()> isDone; ///< everything is loaded, or the leader has stopped
    std::function<Duration()> sinceConfirmed; ///< time since the store last confirmed the lease
    Duration stall{}; ///< time without progress after which `onStall` is called
    std::function<void()> onStall;
};

/// Calls `onStall` when loading stalls, and again on each tick while the stall lasts, until
/// `isDone` returns true. A leader that renews its lease but never finishes loading keeps all
/// others from leading, and callers wait forever. Only uninterrupted time in which the store
/// confirms the lease counts: then another entry VM can probably read the tables, while without it
/// the store may be the cause.
inline Awaitable<void> watchLoad(LoadWatch watch)
{
    static constexpr Duration maxConfirmationAge = std::chrono::milliseconds(1000);
    static constexpr auto tick = std::chrono::milliseconds(200);
    auto seen = watch.steps();
    auto progressAt = bootNow();
    while (!watch.isDone()) {
        co_await pause(tick);
        const auto now = bootNow();
        const auto steps = watch.steps();
        if (steps != seen || watch.sinceConfirmed() > maxConfirmationAge)
            progressAt = now;
        seen = steps;
        if (now - progressAt > watch.stall && !watch.isDone())
            watch.onStall();
    }
}

} // namespace sassafrasferry::coordination
