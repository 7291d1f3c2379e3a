// Chooses VMs that receive no new work, so that they become empty and can leave their pool.
#include <sassafrasferry/scheduling/cordon.h>

#include <algorithm>
#include <tuple>

namespace sassafrasferry::scheduling {

namespace {

bool isPreferred(const CordonCandidate &a, const CordonCandidate &b)
{
    return std::tie(b.cordoned, a.emptyAt, a.usedCpu, a.vm)
           < std::tie(a.cordoned, b.emptyAt, b.usedCpu, b.vm);
}

std::size_t extraLateSurplus(const CordonPool &pool)
{
    return pool.lateSurplus > pool.surplus ? pool.lateSurplus - pool.surplus : 0;
}

} // namespace

std::set<std::string> chooseCordons(std::vector<CordonPool> pools, std::size_t missing)
{
    std::sort(pools.begin(), pools.end(), [](const CordonPool &a, const CordonPool &b) {
        return extraLateSurplus(a) > extraLateSurplus(b);
    });
    for (const auto &pool : pools)
        missing -= std::min({missing, pool.surplus, pool.candidates.size()});
    std::set<std::string> result;
    for (auto &pool : pools) {
        const auto extra = std::min(missing, extraLateSurplus(pool));
        missing -= extra;
        std::sort(pool.candidates.begin(), pool.candidates.end(), isPreferred);
        const auto count = std::min(pool.surplus + extra, pool.candidates.size());
        for (std::size_t i = 0; i < count; ++i)
            result.insert(pool.candidates[i].vm);
    }
    return result;
}

} // namespace sassafrasferry::scheduling
