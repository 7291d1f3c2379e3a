// Division and loans of a quota.
#include <sassafrasferry/policy/team_quota.h>

#include <sassafrasferry/policy/shares.h>

#include <algorithm>

#include <xxhash.h>

namespace sassafrasferry::policy {

void TeamQuota::divide(const QuotaDivision &newDivision, const std::string &entry,
                       const std::vector<std::string> &live)
{
    this->division = newDivision;
    this->part = 0;
    const auto at = std::find(live.begin(), live.end(), entry);
    if (at == live.end())
        return;
    // Which entry VMs get the remainder differs from team to team, or one would get all of them.
    const auto &team = newDivision.team;
    const auto turn = XXH3_64bits(team.data(), team.size()) % live.size();
    const auto position = static_cast<std::size_t>(at - live.begin());
    const auto units = newDivision.processors / newDivision.unit;
    this->part = partOf(units, live.size(), (position + turn) % live.size()) * newDivision.unit;
}

bool TeamQuota::isLimited() const
{
    return this->division.processors > 0;
}

bool TeamQuota::isTooSmall() const
{
    return this->isLimited() && this->division.processors < this->division.unit;
}

bool TeamQuota::hasRoom(Instant now) const
{
    return !this->isLimited() || this->held + this->division.unit <= this->allowed(now);
}

std::uint32_t TeamQuota::allowed(Instant now) const
{
    const auto all = this->part + this->borrowed.slots(now);
    return all - std::min(all, this->lent.slots(now));
}

std::uint32_t TeamQuota::inUse() const
{
    return this->held;
}

std::uint32_t TeamQuota::unitSize() const
{
    return this->division.unit;
}

void TeamQuota::take(std::uint32_t processors)
{
    this->held += processors;
}

void TeamQuota::giveBack(std::uint32_t processors)
{
    this->held -= processors;
}

std::uint32_t TeamQuota::lend(std::uint32_t wanted, Instant until, Instant now)
{
    // Only of the own part: what is borrowed goes back to its lender, and could not be kept.
    const auto own = this->part - std::min(this->part, this->lent.slots(now));
    const auto free = own - std::min(own, this->held);
    const auto units = std::min(wanted, free) / this->division.unit;
    const auto processors = units * this->division.unit;
    if (processors > 0)
        this->lent.add(processors, until, now);
    return processors;
}

void TeamQuota::borrow(std::uint32_t processors, Instant until, Instant now)
{
    this->borrowed.add(processors, until, now);
}

} // namespace sassafrasferry::policy
