// Decides whether a call may be served, from the key it came with and the age of the configuration.
#pragma once

#include <sassafrasferry/model/names.h>
#include <sassafrasferry/policy/time.h>

#include <array>
#include <string_view>

namespace sassafrasferry::policy {

/// The key of a call, looked up in the known configuration.
enum class KeyState {
    NotNeeded, ///< the queue takes calls without a key
    Missing,
    Malformed, ///< not exactly one header of the expected form
    Unknown, ///< no customer holds it
    Held, ///< a customer holds it
};

constexpr auto enumNames(KeyState)
{
    return std::array{
        model::EnumName{KeyState::NotNeeded, "not-needed"},
        model::EnumName{KeyState::Missing, "missing"},
        model::EnumName{KeyState::Malformed, "malformed"},
        model::EnumName{KeyState::Unknown, "unknown"},
        model::EnumName{KeyState::Held, "held"},
    };
}

enum class Access {
    Allowed,
    Unauthenticated,
    Unavailable, ///< the configuration is too old to tell
};

constexpr auto enumNames(Access)
{
    return std::array{
        model::EnumName{Access::Allowed, "allowed"},
        model::EnumName{Access::Unauthenticated, "unauthenticated"},
        model::EnumName{Access::Unavailable, "unavailable"},
    };
}

/// Within which time a change of the keys has to be in force after the store acknowledged it.
struct KeyTimes
{
    Duration addition = std::chrono::milliseconds(2000);
    Duration removal = Duration::max(); ///< without bound unless set
};

/// `configurationAge`: every change that the store acknowledged longer ago is known. A caller that
/// is refused for an old configuration may try another entry VM, so the bounds hold on entry VMs
/// that are cut off from the store, too.
Access decideAccess(KeyState key, Duration configurationAge, const KeyTimes &times);

/// A call about a job is answered as if there were none unless this is true. Jobs that came without
/// a key belong to nobody.
inline bool mayKnowJob(std::string_view customer, std::string_view jobCustomer)
{
    return jobCustomer.empty() || jobCustomer == customer;
}

} // namespace sassafrasferry::policy
