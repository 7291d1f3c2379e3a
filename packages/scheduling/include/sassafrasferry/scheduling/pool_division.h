// Divides the VMs among pools that together need more than there are.
//
// Load pattern: the surge of one queue begins while another pool still holds most VMs and can keep
// all of them busy with on-time work. If pools gave up only what their on-time work doesn't need,
// the jobs of the first pool would nearly all be on time and those of the second nearly none.
#pragma once

#include <cstddef>
#include <vector>

namespace sassafrasferry::scheduling {

/// What a pool has and needs, in VMs.
struct PoolClaim
{
    std::size_t count = 0; ///< VMs of the pool, including those that are moving to it
    std::size_t floor = 0; ///< for its lasting work; never given up
    std::size_t onTime = 0; ///< for its lasting and on-time work; at least `floor`
};

/// The VMs that each pool keeps while others are short, at least its floor and at most its need for
/// on-time work. `vms`: of all pools, and of standby pools.
///
/// If the needs for on-time work fit into the VMs, each pool keeps its own need. Otherwise the VMs
/// beyond the floors are divided in proportion to the needs beyond them. A pool that exceeds its
/// share by less than a tenth keeps what it has, so that noise in the needs moves no VMs.
std::vector<std::size_t> dividePools(const std::vector<PoolClaim> &pools, std::size_t vms);

} // namespace sassafrasferry::scheduling
