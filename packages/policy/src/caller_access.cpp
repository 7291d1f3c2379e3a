// Decides whether a call may be served, from the key it came with and the age of the configuration.
#include <sassafrasferry/policy/caller_access.h>

namespace sassafrasferry::policy {

Access decideAccess(KeyState key, Duration configurationAge, const KeyTimes &times)
{
    switch (key) {
    case KeyState::NotNeeded:
        return Access::Allowed;
    case KeyState::Missing:
    case KeyState::Malformed:
        return Access::Unauthenticated;
    case KeyState::Unknown:
        return configurationAge <= times.addition ? Access::Unauthenticated : Access::Unavailable;
    case KeyState::Held:
        return configurationAge <= times.removal ? Access::Allowed : Access::Unavailable;
    }
    return Access::Unavailable;
}

} // namespace sassafrasferry::policy
