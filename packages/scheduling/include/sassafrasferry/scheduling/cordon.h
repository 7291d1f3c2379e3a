// Which VMs get no new work, so that they become empty and can leave their pool.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace sassafrasferry::scheduling {

/// A VM that may leave its pool once nothing runs on it.
struct CordonCandidate
{
    std::string vm;
    std::int64_t usedCpu = 0; ///< thousandths of a core
    bool cordoned = false; ///< since the last choice
};

/// What a pool can do without.
struct CordonPool
{
    std::size_t surplus = 0; ///< VMs above what it wants
    std::size_t lateSurplus = 0; ///< VMs above what its on-time work needs; at least `surplus`
    std::vector<CordonCandidate> candidates;
};

/// Work that ends on many VMs at random leaves each of them a little used for long. So the VMs that
/// a pool has too many of are chosen beforehand, and its new work goes to the others. While other
/// pools lack VMs for work that can be on time (`missing`), pools give up those that serve late
/// work as well. VMs with the least on them go first, and a choice is kept.
std::set<std::string> chooseCordons(std::vector<CordonPool> pools, std::size_t missing);

} // namespace sassafrasferry::scheduling
