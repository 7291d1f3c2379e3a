// What a session with a worker tells its leader, and asks it.
#pragma once

#include <sassafrasferry/coordination/timing.h>

#include <functional>
#include <string>

namespace sassafrasferry::coordination {

/// Callbacks of a session into its leader.
struct SessionEvents
{
    std::function<void()> onChange; ///< called when the scheduler should plan again
    std::function<void(const std::string &why)> onFenced; ///< the worker knows a newer leader
    std::function<bool()> canOrder; ///< the lease was confirmed recently enough to give orders
    std::function<bool()> canStart; ///< the rows read are recent enough to start tasks
    /// Returns the latest end of a lease that may be granted now.
    std::function<Instant()> leasesEndBy = [] {
        return Instant::max();
    };
    /// Returns the latest moment at which a start that is sent now may take effect.
    std::function<Instant()> startsValidUntil = [] {
        return Instant::max();
    };
};

} // namespace sassafrasferry::coordination
