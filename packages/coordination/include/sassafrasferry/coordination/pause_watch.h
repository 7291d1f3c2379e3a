// Notices pauses of this process.
#pragma once

#include <sassafrasferry/coordination/timing.h>

namespace sassafrasferry::coordination {

/// Remembers when this process last resumed after a pause, suspended or without processor time.
/// Requests that arrived during a pause are handled in any order afterwards.
class PauseWatch
{
public:
    /// `update` has to be called at least this often while the process runs.
    static constexpr Duration interval = std::chrono::milliseconds(100);

    explicit PauseWatch(Instant now)
        : lastUpdate(now)
    {}

    void update(Instant now)
    {
        if (now - this->lastUpdate > maxGap)
            this->resumed = now;
        this->lastUpdate = now;
    }

    /// When the process last resumed, as of the last update; the epoch if it never paused.
    Instant resumedAt() const
    {
        return this->resumed;
    }

private:
    static constexpr Duration maxGap = 2 * interval;

    Instant lastUpdate;
    Instant resumed{};
};

} // namespace sassafrasferry::coordination
