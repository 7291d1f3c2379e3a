// Measures how busy an event loop is: how late its timers run, and how long planning rounds take.
#pragma once

#include <sassafrasferry/coordination/timing.h>

#include <algorithm>
#include <cstddef>

namespace sassafrasferry::coordination {

/// Load of the event loop over a period.
struct LoopFigures
{
    Duration maxDelay{}; ///< longest time from the expiry of a timer to its handler
    std::size_t rounds = 0; ///< planning rounds
    Duration roundTime{}; ///< sum over all rounds
    Duration maxRound{};

    void addRound(Duration duration)
    {
        ++this->rounds;
        this->roundTime += duration;
        this->maxRound = std::max(this->maxRound, duration);
    }
};

/// Measures the delay of one timer. `figures` outlives the call.
inline Awaitable<void> measureDelay(LoopFigures &figures)
{
    static constexpr Duration interval = std::chrono::milliseconds(100);
    const auto due = bootNow() + interval;
    co_await pause(interval);
    figures.maxDelay = std::max(figures.maxDelay, bootNow() - due);
}

} // namespace sassafrasferry::coordination
