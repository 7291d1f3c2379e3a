// When a caller that was refused should come back.
#include <sassafrasferry/policy/retry_advice.h>

#include <algorithm>

#include <xxhash.h>

namespace sassafrasferry::policy {

namespace {

constexpr std::chrono::seconds leastWait(1);
constexpr std::chrono::seconds mostWait(4);

} // namespace

std::chrono::seconds retryAfter(Duration outageAge, std::string_view caller)
{
    const auto expected =
        std::clamp(std::chrono::round<std::chrono::seconds>(outageAge), leastWait, mostWait);
    if (expected == leastWait)
        return expected;
    const auto spread = static_cast<unsigned>(expected / std::chrono::seconds(2)) + 1;
    const auto place = XXH64(caller.data(), caller.size(), 0) % spread;
    return expected + std::chrono::seconds(static_cast<int>(place));
}

} // namespace sassafrasferry::policy
