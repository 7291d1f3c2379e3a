// Moves between pools.
#include <sassafrasferry/policy/capacity_planner.h>

#include <algorithm>
#include <cmath>

namespace sassafrasferry::policy {

CapacityPlanner::CapacityPlanner(MovePolicy policy, CapacityTimes times)
    : policy(policy)
    , times(times)
{}

Duration CapacityPlanner::usualTurn() const
{
    // Before any turn has been seen to end, one is taken to last for good: a pool that is short
    // for the first time gets its VM.
    if (this->turns.empty())
        return Duration::max();
    auto sorted = this->turns;
    std::sort(sorted.begin(), sorted.end());
    return sorted[sorted.size() / 2];
}

MoveWish CapacityPlanner::observe(double demand, std::size_t borrowed, Instant now)
{
    const bool high = demand > this->times.high;
    const bool low = demand < this->times.low;
    if (high != this->isHigh || low != this->isLow) {
        if (this->isHigh && now - this->since >= this->times.steady) {
            this->turns.push_back(now - this->since);
            if (this->turns.size() > turnsRemembered)
                this->turns.erase(this->turns.begin());
        }
        this->isHigh = high;
        this->isLow = low;
        this->since = now;
    }
    switch (this->policy) {
    case MovePolicy::Never:
        return MoveWish::Stay;
    case MovePolicy::Always:
        if (high)
            return MoveWish::Borrow;
        return borrowed > 0 ? MoveWish::Return : MoveWish::Stay;
    case MovePolicy::Outlasting:
        return this->outlasting(borrowed, now);
    }
    return MoveWish::Stay;
}

MoveWish CapacityPlanner::outlasting(std::size_t borrowed, Instant now) const
{
    const auto held = now - this->since;
    if (held < this->times.steady)
        return MoveWish::Stay;
    if (this->isLow && borrowed > 0)
        return MoveWish::Return;
    if (!this->isHigh)
        return MoveWish::Stay;
    const auto usual = this->usualTurn();
    // A turn longer than the usual ones is expected to go on for as long as it has lasted.
    const auto left = held < usual ? usual - held : held;
    return left >= 2 * this->times.move ? MoveWish::Borrow : MoveWish::Stay;
}

DemandPlanner::DemandPlanner(MovePolicy policy, CapacityTimes times)
    : policy(policy)
    , times(times)
{}

DemandPlanner::Watched &DemandPlanner::watched(const std::string &pool)
{
    for (auto &item : this->pools) {
        if (item.pool == pool)
            return item;
    }
    this->pools.push_back({pool, CapacityPlanner(this->policy, this->times)});
    return this->pools.back();
}

std::vector<PoolWish> DemandPlanner::observe(const std::vector<PoolLoad> &loads, Instant now)
{
    std::vector<PoolWish> wishes;
    for (const auto &load : loads) {
        if (load.capacity <= 0 || load.slotsPerVm <= 0)
            continue;
        const auto wish = this->watched(load.pool).planner.observe(load.demand / load.capacity,
                                                                   load.borrowed, now);
        if (wish == MoveWish::Stay)
            continue;
        // As many as are lacking; back go as many as leave the demand between the two bounds, lest
        // the next look borrows them again.
        const double comfortable = load.demand / ((this->times.high + this->times.low) / 2);
        const double vms = wish == MoveWish::Borrow
                               ? std::ceil((load.demand - load.capacity) / load.slotsPerVm)
                               : std::floor((load.capacity - comfortable) / load.slotsPerVm);
        if (vms >= 1)
            wishes.push_back({load.pool, wish, static_cast<std::size_t>(vms)});
    }
    return wishes;
}

} // namespace sassafrasferry::policy
