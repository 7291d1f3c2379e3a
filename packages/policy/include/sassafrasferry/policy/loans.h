// Slots lent and borrowed between entry VMs for a short term. A loan ends by itself, so the death
// of either side leaves nothing to settle.
#pragma once

#include <sassafrasferry/policy/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasferry::policy {

/// A pool whose queue wants slots of other entry VMs.
struct LoanWish
{
    std::string pool;
    std::uint32_t slots = 0;
    std::uint32_t urgent = 0; ///< urgent requests that have waited too long
};

/// Slots of one worker that move from the lender to the borrower.
struct LoanItem
{
    std::string worker;
    std::uint32_t slots = 0;
};

/// A loan as it is sent to the borrower.
struct Loan
{
    std::string pool;
    std::vector<LoanItem> items;
    std::chrono::milliseconds term{};
};

/// How long a loan lasts for work with this mean run time.
std::chrono::milliseconds loanTerm(double meanRunSeconds);
/// How long the borrower starts work on a loan. The lender counts it again at the end of the term;
/// what starts in the last quarter would mostly still run then.
std::chrono::milliseconds usableTerm(std::chrono::milliseconds term);

/// What one entry VM has lent or borrowed of one worker.
class LoanBook
{
public:
    void add(std::uint32_t slots, Instant until, Instant now);
    /// Slots whose loan has not ended.
    std::uint32_t slots(Instant now) const;

private:
    struct Entry
    {
        std::uint32_t slots = 0;
        Instant until{};
    };
    std::vector<Entry> entries; // those that ended are dropped by the next add
};

} // namespace sassafrasferry::policy
