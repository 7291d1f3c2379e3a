// When a caller that was refused should come back.
#pragma once

#include <sassafrasferry/policy/time.h>

#include <chrono>
#include <string_view>

namespace sassafrasferry::policy {

/// An outage of unknown length is expected to last as long again as it has lasted. Callers try a
/// few times only, so those that are refused early in a long outage must not spend their tries in
/// its first seconds. `caller` spreads those that were refused together.
std::chrono::seconds retryAfter(Duration outageAge, std::string_view caller);

} // namespace sassafrasferry::policy
