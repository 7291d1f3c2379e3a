// Chooses VMs that receive no new work, so that they become empty and can leave their pool.
#pragma once

#include <sassafrasferry/policy/time.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace sassafrasferry::scheduling {

using policy::Instant;

/// A VM that can leave its pool once nothing runs on it.
struct CordonCandidate
{
    std::string vm;
    std::int64_t usedCpu = 0; ///< thousandths of a core
    Instant emptyAt{}; ///< when its last task is expected to end; zero if it is not known
    bool cordoned = false; ///< cordoned by the previous choice
};

/// VMs that a pool can give up.
struct CordonPool
{
    std::size_t surplus = 0; ///< VMs above what the pool needs for all of its work
    std::size_t lateSurplus = 0; ///< VMs above what its on-time work needs; at least `surplus`
    std::vector<CordonCandidate> candidates;
};

/// Chooses the VMs to cordon. When tasks end at random on many VMs, each VM stays slightly used for
/// a long time. The surplus VMs of a pool are therefore chosen in advance, and new work goes to the
/// other VMs. While other pools lack `missing` VMs for work that can still be on time, pools also
/// give up VMs that serve late work. VMs that are already cordoned are preferred, then those
/// that are empty soonest, then the least used ones.
std::set<std::string> chooseCordons(std::vector<CordonPool> pools, std::size_t missing);

} // namespace sassafrasferry::scheduling
