// A team's quota of processors, divided among the live entry VMs as slots are: each computes its
// part from the same view of who is live, and one that needs more borrows from its peers.
#pragma once

#include <sassafrasferry/policy/loans.h>
#include <sassafrasferry/policy/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasferry::policy {

/// A team whose requests wait for its quota.
struct QuotaWish
{
    std::string team;
    std::uint32_t processors = 0;
};

/// A part of a quota, lent for a term.
struct QuotaLoan
{
    std::string team;
    std::uint32_t processors = 0;
    std::chrono::milliseconds term{};
};

/// What a quota is divided by.
struct QuotaDivision
{
    std::string team;
    std::uint32_t processors = 0; ///< of the whole system; 0: no limit
    std::uint32_t unit = 1; ///< the most that one request of the team takes
};

/// What requests of one team may hold at once on this entry VM, in processors.
class TeamQuota
{
public:
    /// Takes this entry VM's part. Parts are whole units, so that each of them can run something;
    /// over all live entry VMs they never sum to more than the quota.
    void divide(const QuotaDivision &division, const std::string &entry,
                const std::vector<std::string> &live);

    bool isLimited() const;
    /// True if not even one request fits the whole quota.
    bool isTooSmall() const;
    /// True if one more request may start.
    bool hasRoom(Instant now) const;
    /// Processors that may be held now, by the part and by loans.
    std::uint32_t allowed(Instant now) const;
    std::uint32_t inUse() const;
    std::uint32_t unitSize() const;

    void take(std::uint32_t processors);
    void giveBack(std::uint32_t processors);
    /// Lends up to `wanted` processors, in whole units, until a moment; returns how many.
    std::uint32_t lend(std::uint32_t wanted, Instant until, Instant now);
    void borrow(std::uint32_t processors, Instant until, Instant now);

private:
    QuotaDivision division;
    std::uint32_t part = 0; // of this entry VM
    std::uint32_t held = 0; // by requests that run
    LoanBook lent;
    LoanBook borrowed;
};

} // namespace sassafrasferry::policy
