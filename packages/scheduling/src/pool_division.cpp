// Divides the VMs among pools that together need more than there are.
#include <sassafrasferry/scheduling/pool_division.h>

#include <algorithm>

namespace sassafrasferry::scheduling {

namespace {

// Part of its share by which a pool may exceed it without giving up VMs.
constexpr std::size_t toleranceDivisor = 10;

} // namespace

std::vector<std::size_t> dividePools(const std::vector<PoolClaim> &pools, std::size_t vms)
{
    std::size_t floors = 0;
    std::size_t needsBeyond = 0;
    for (const auto &pool : pools) {
        floors += pool.floor;
        needsBeyond += pool.onTime - pool.floor;
    }
    const auto divisible = vms > floors ? vms - floors : 0;
    std::vector<std::size_t> kept;
    for (const auto &pool : pools) {
        if (needsBeyond <= divisible) {
            kept.push_back(pool.onTime);
            continue;
        }
        const auto share = pool.floor + (pool.onTime - pool.floor) * divisible / needsBeyond;
        const auto tolerated = share + std::max<std::size_t>(1, share / toleranceDivisor);
        kept.push_back(pool.count <= tolerated ? std::clamp(pool.count, share, pool.onTime)
                                               : share);
    }
    return kept;
}

} // namespace sassafrasferry::scheduling
