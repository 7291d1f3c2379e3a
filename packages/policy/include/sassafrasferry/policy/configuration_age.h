// Whether a request may be routed by the configuration that an entry VM knows.
#pragma once

#include <sassafrasferry/policy/time.h>

namespace sassafrasferry::policy {

/// What an entry VM knows of the age of its configuration.
struct ConfigurationKnowledge
{
    Duration age{}; ///< since the store was asked the newest question that it answered
    bool isNewerArriving = false; ///< the store has announced changes, and their bytes arrive
};

/// The load: large configurations change faster than the link of a small entry VM carries them. A
/// configuration that is outdated beyond `maxLag` would serve queues that have been dropped, while
/// other entry VMs have the new one: the caller is sent to them. Without an answer of the store an
/// entry VM goes on with the configuration that it has, as the others may not have a newer one.
constexpr bool mayRoute(const ConfigurationKnowledge &known, Duration maxLag)
{
    return known.age <= maxLag || !known.isNewerArriving;
}

} // namespace sassafrasferry::policy
