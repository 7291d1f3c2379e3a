// The book of loans.
#include <sassafrasferry/policy/loans.h>

#include <algorithm>

namespace sassafrasferry::policy {

std::chrono::milliseconds loanTerm(double meanRunSeconds)
{
    constexpr Duration least = std::chrono::milliseconds(500);
    constexpr int meanRuns = 4;
    const auto term = std::max(least, fromSeconds(meanRuns * meanRunSeconds));
    return std::chrono::duration_cast<std::chrono::milliseconds>(term);
}

std::chrono::milliseconds usableTerm(std::chrono::milliseconds term)
{
    return term * 3 / 4;
}

void LoanBook::add(std::uint32_t slots, Instant until, Instant now)
{
    std::erase_if(this->entries, [&](const Entry &entry) { return entry.until <= now; });
    this->entries.push_back({slots, until});
}

std::uint32_t LoanBook::slots(Instant now) const
{
    std::uint32_t sum = 0;
    for (const auto &entry : this->entries)
        sum += now < entry.until ? entry.slots : 0;
    return sum;
}

} // namespace sassafrasferry::policy
