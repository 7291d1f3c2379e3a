// Membership and active operations under one lock.
#include "shared_membership.h"

namespace sassafrasferry::entry {

SharedMembership::SharedMembership(const std::string &self, std::uint64_t incarnation,
                                   const std::vector<std::string> &peers, policy::Duration timeout)
    : self(self)
    , incarnation(incarnation)
    , membership(self, peers, timeout, std::chrono::steady_clock::now())
{}

void SharedMembership::setActive(const std::string &operationId, bool isActive)
{
    const std::lock_guard lock(this->mutex);
    if (isActive)
        this->active.insert(operationId);
    else
        this->active.erase(operationId);
}

bool SharedMembership::isPossiblyActive(const policy::Claim &claim)
{
    const std::lock_guard lock(this->mutex);
    if (claim.entry == this->self)
        return claim.incarnation == this->incarnation && this->active.contains(claim.operationId);
    return this->membership.mayRun(claim.entry, claim.incarnation,
                                   std::chrono::steady_clock::now());
}

} // namespace sassafrasferry::entry
