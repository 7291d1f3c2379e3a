// Live entry VMs and active operations, shared by the control thread and the traffic threads.
#pragma once

#include <sassafrasferry/policy/claim.h>
#include <sassafrasferry/policy/membership.h>

#include <mutex>
#include <set>
#include <string>

namespace sassafrasferry::entry {

/// Membership and the operations of this entry VM, under one lock.
class SharedMembership
{
public:
    SharedMembership(const std::string &self, std::uint64_t incarnation,
                     const std::vector<std::string> &peers, policy::Duration timeout);

    template<typename Use>
    auto locked(Use use)
    {
        const std::lock_guard lock(this->mutex);
        return use(this->membership);
    }

    void setActive(const std::string &operationId, bool isActive);
    /// True if the request that made the claim may still be running on this or another entry VM.
    bool isPossiblyActive(const policy::Claim &claim);

private:
    std::mutex mutex;
    std::string self;
    std::uint64_t incarnation;
    policy::Membership membership;
    std::set<std::string> active; // operation ids of this process
};

} // namespace sassafrasferry::entry
