// The book of loans.
#include <sassafrasferry/policy/loans.h>

#include <algorithm>

namespace sassafrasferry::policy {

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
