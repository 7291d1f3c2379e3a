// Background requests that run here and may be stopped, so that an urgent one can start. A pool
// whose slots are all held by runs of minutes would otherwise have no slot for it within seconds.
#pragma once

#include <sassafrasferry/policy/request_queue.h>
#include <sassafrasferry/policy/time.h>

#include <cstddef>
#include <functional>
#include <vector>

namespace sassafrasferry::policy {

/// A run that is to be stopped.
struct Preempted
{
    RequestId id{};
    Index worker = noIndex;
};

/// The runs that may be stopped, and those that are being stopped.
class Preemption
{
public:
    /// A request that was stopped this often runs to its end: background work gives way, and yet
    /// never starves.
    static constexpr int mostPreemptions = 2;

    /// Tells whether a worker is one of those in question.
    using Among = std::function<bool(Index worker)>;

    void started(RequestId id, Index worker, Instant now);
    /// The run ended, or it was stopped.
    void ended(RequestId id);

    /// Runs on these workers that were told to stop and still hold their slots.
    std::size_t stopping(const Among &among) const;
    /// Chooses up to `wanted` runs to stop. The youngest go first: they lose the least work.
    std::vector<Preempted> choose(const Among &among, std::size_t wanted);

private:
    struct Run
    {
        RequestId id{};
        Index worker = noIndex;
        Instant startedAt{};
        bool isStopping = false; // chosen once, and never again
    };

    std::vector<Run> runs; // oldest first
};

} // namespace sassafrasferry::policy
