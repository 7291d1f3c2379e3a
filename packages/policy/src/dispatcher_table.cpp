// What the dispatcher takes from a routing table and from the view of live entry VMs.
#include <sassafrasferry/policy/dispatcher.h>

namespace sassafrasferry::policy {

void Dispatcher::expect(const RoutingTable &table)
{
    for (const auto &spec : table.workers) {
        const auto [at, isNew] =
            this->workerIndex.emplace(spec.name, static_cast<Index>(this->workers.size()));
        if (!isNew)
            continue;
        this->workers.emplace_back();
        this->workers.back().spec = spec;
    }
}

void Dispatcher::adoptWorkers(const RoutingTable &table)
{
    this->expect(table);
    for (auto &worker : this->workers)
        worker.pool = noIndex;
    this->pools.clear();
    for (const auto &poolSpec : table.pools) {
        const auto poolIndex = static_cast<Index>(this->pools.size());
        PoolState pool{poolSpec.name, {}, {}, {}};
        for (const auto specIndex : poolSpec.workers) {
            const auto &spec = table.workers[specIndex];
            const auto [at, isNew] =
                this->workerIndex.emplace(spec.name, static_cast<Index>(this->workers.size()));
            if (isNew)
                this->workers.emplace_back();
            auto &worker = this->workers[at->second];
            worker.spec = spec;
            worker.pool = poolIndex;
            worker.ordinal = pool.workers.size();
            worker.idleConnections = static_cast<std::uint32_t>(this->settings.idleConnections);
            pool.workers.push_back(at->second);
        }
        this->pools.push_back(std::move(pool));
    }
}

void Dispatcher::adoptServices(const RoutingTable &table)
{
    for (auto &service : this->services)
        service.present = false;
    for (const auto &spec : table.services) {
        const auto [at, isNew] =
            this->serviceIndex.emplace(spec.name, static_cast<Index>(this->services.size()));
        if (isNew) {
            this->services.emplace_back();
            this->services.back().runTimes = RunTimes(spec.runTime);
            this->services.back().retries = RetryBudget(this->settings.retryBudget);
        }
        auto &service = this->services[at->second];
        service.spec = spec;
        service.present = true;
        service.team =
            spec.team == noIndex ? noIndex : this->teamIndex.at(table.teams[spec.team].name);
        this->pools[spec.pool].services.push_back(at->second);
        if (spec.overflow != noIndex && spec.overflow != spec.pool)
            this->pools[spec.overflow].services.push_back(at->second);
    }
}

Changes Dispatcher::adopt(const RoutingTable &table, Instant now)
{
    this->adoptWorkers(table);
    this->adoptTeams(table);
    this->adoptServices(table);
    this->recomputeShares();
    Changes changes;
    for (auto &service : this->services) {
        if (service.present)
            continue;
        for (const auto &request : service.queue.clear())
            changes.refusals.push_back(
                this->refuse(request.id, RefusalReason::UnknownService, Duration{}));
    }
    this->serveAll(changes, now);
    return changes;
}

Changes Dispatcher::setLive(const std::vector<std::string> &liveEntries, Instant now)
{
    Changes changes;
    if (liveEntries == this->live)
        return changes;
    this->live = liveEntries;
    this->recomputeShares();
    this->serveAll(changes, now);
    return changes;
}

void Dispatcher::recomputeShares()
{
    this->divideQuotas();
    for (auto &worker : this->workers) {
        worker.share = {};
        worker.assigned = false;
        if (worker.pool == noIndex || this->live.empty())
            continue;
        const Divisible divisible{worker.spec.name, worker.ordinal, worker.spec.slots,
                                  worker.spec.connections};
        worker.share = shareOf(divisible, this->entry, this->live);
        worker.assigned = this->live[worker.ordinal % this->live.size()] == this->entry;
    }
}

} // namespace sassafrasferry::policy
