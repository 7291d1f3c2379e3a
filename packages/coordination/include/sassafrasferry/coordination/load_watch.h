// Notices a leader that never gets to know what it has to know.
#pragma once

#include <sassafrasferry/coordination/timing.h>

#include <cstddef>
#include <functional>

namespace sassafrasferry::coordination {

/// What is watched, and what to do.
struct LoadWatch
{
    std::function<std::size_t()> steps; ///< parts of the store's tables that have been read
    std::function<bool()> isOver; ///< all is known, or the leader has stopped
    std::function<Duration()> sinceConfirmed; ///< how long ago the store confirmed the lease
    Duration stall{}; ///< without a further step
    std::function<void()> onStall;
};

/// A leader that renews its lease but never learns the jobs keeps all others from leading, and
/// callers wait for good. Since the store confirms its lease, others can read what it can't.
inline Awaitable<void> watchLoad(LoadWatch watch)
{
    static constexpr Duration confirmedLately = std::chrono::milliseconds(1000);
    static constexpr auto tick = std::chrono::milliseconds(200);
    auto seen = watch.steps();
    auto movedAt = bootNow();
    while (!watch.isOver()) {
        co_await pause(tick);
        const auto now = bootNow();
        const auto steps = watch.steps();
        if (steps != seen || watch.sinceConfirmed() > confirmedLately)
            movedAt = now;
        seen = steps;
        if (now - movedAt > watch.stall && !watch.isOver())
            watch.onStall();
    }
}

} // namespace sassafrasferry::coordination
