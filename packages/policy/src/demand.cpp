// Measuring, telling and summing demand.
#include <sassafrasferry/policy/demand.h>

#include <algorithm>
#include <cmath>

namespace sassafrasferry::policy {

namespace {

std::int64_t secondOf(Instant at)
{
    return std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count();
}

const PoolDemand *find(const std::vector<PoolDemand> &demands, const std::string &pool)
{
    const auto at = std::find_if(demands.begin(), demands.end(),
                                 [&](const PoolDemand &demand) { return demand.pool == pool; });
    return at == demands.end() ? nullptr : &*at;
}

bool matters(double before, const PoolDemand &demand, std::size_t entries)
{
    constexpr double tolerance = 0.1; // of the pool's capacity, by all entry VMs together
    const double part = demand.capacity / static_cast<double>(std::max<std::size_t>(1, entries));
    return std::abs(demand.slots - before) > tolerance * part;
}

} // namespace

void OfferedWork::add(Duration runTime, Instant now)
{
    const auto number = secondOf(now);
    auto &second = this->ring[static_cast<std::size_t>(number) % this->ring.size()];
    if (second.number != number)
        second = {number, {}};
    second.work += runTime;
}

double OfferedWork::slots(Instant now) const
{
    const auto current = secondOf(now);
    double sum = 0;
    for (const auto &second : this->ring) {
        const auto age = current - second.number;
        if (age >= 1 && age <= static_cast<std::int64_t>(lookBack))
            sum += seconds(second.work);
    }
    return sum / static_cast<double>(lookBack);
}

DemandReport DemandTold::due(const std::vector<PoolDemand> &current, const std::string &newHolder,
                             std::size_t entries)
{
    DemandReport report;
    report.isWhole = newHolder != this->holder || ++this->rounds >= roundsToAll;
    if (report.isWhole) {
        this->told.clear();
        this->rounds = 0;
        this->holder = newHolder;
    }
    for (const auto &demand : current) {
        const auto *before = find(this->told, demand.pool);
        if (matters(before ? before->slots : 0, demand, entries))
            report.pools.push_back(demand);
    }
    for (const auto &demand : report.pools) {
        std::erase_if(this->told, [&](const PoolDemand &item) { return item.pool == demand.pool; });
        this->told.push_back(demand);
    }
    return report;
}

void DemandHeard::heard(const std::string &entry, const DemandReport &report)
{
    std::erase_if(this->items, [&](const Item &item) {
        return item.entry == entry && (report.isWhole || find(report.pools, item.demand.pool));
    });
    for (const auto &demand : report.pools)
        this->items.push_back({entry, demand});
}

double DemandHeard::slots(const std::string &pool, const std::vector<std::string> &entries) const
{
    double sum = 0;
    for (const auto &item : this->items) {
        const bool counts = std::find(entries.begin(), entries.end(), item.entry) != entries.end();
        if (counts && item.demand.pool == pool)
            sum += item.demand.slots;
    }
    return sum;
}

} // namespace sassafrasferry::policy
