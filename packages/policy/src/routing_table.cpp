// Compiling a document into a routing table.
#include <sassafrasferry/policy/routing_table.h>

#include <algorithm>

namespace sassafrasferry::policy {

namespace {

WorkerSpec workerOf(const model::Vm &vm)
{
    return {vm.name,
            vm.address,
            vm.dataCentre,
            vm.rack,
            static_cast<std::uint32_t>(vm.slots),
            static_cast<std::uint32_t>(vm.connections),
            static_cast<std::uint32_t>(model::slotProcessors(vm))};
}

// The most that a request of a pool holds on any of its workers.
std::uint32_t unitOf(const RoutingTable &table, Index pool)
{
    std::uint32_t unit = 1;
    if (pool == noIndex)
        return unit;
    for (const auto worker : table.pools[pool].workers)
        unit = std::max(unit, table.workers[worker].slotProcessors);
    return unit;
}

bool isPlaced(const std::vector<Placement> &placements, const std::string &vm)
{
    return std::any_of(placements.begin(), placements.end(),
                       [&](const Placement &placement) { return placement.vm == vm; });
}

void resolveTeams(const model::Document &document, RoutingTable &table)
{
    std::unordered_map<std::string, Index> teams;
    for (const auto &team : document.teams) {
        teams.emplace(team.name, static_cast<Index>(table.teams.size()));
        table.teams.push_back({team.name, static_cast<std::uint32_t>(team.processors)});
    }
    for (std::size_t i = 0; i < table.services.size(); ++i) {
        const auto *section = document.section(document.services[i].section);
        const auto at = section ? teams.find(section->team) : teams.end();
        if (at == teams.end())
            continue;
        auto &service = table.services[i];
        auto &team = table.teams[at->second];
        service.team = at->second;
        team.unit = std::max(team.unit, unitOf(table, service.pool));
        team.unit = std::max(team.unit, unitOf(table, service.overflow));
    }
}

ServiceSpec serviceOf(const model::Service &service,
                      const std::unordered_map<std::string, Index> &pools)
{
    ServiceSpec spec;
    spec.name = service.name;
    spec.pool = pools.at(service.pool);
    spec.overflow = service.overflow.empty() ? noIndex : pools.at(service.overflow);
    spec.idempotent = service.idempotent;
    spec.requestClass = service.requestClass;
    spec.deadline = service.deadline;
    spec.runTime = service.runTime;
    spec.availability = service.availability;
    spec.startRefusal = service.startRefusal;
    return spec;
}

} // namespace

const ServiceSpec *RoutingTable::service(const std::string &name) const
{
    const auto at = this->serviceIndex.find(name);
    return at == this->serviceIndex.end() ? nullptr : &this->services[at->second];
}

const WorkerSpec *RoutingTable::worker(const std::string &name) const
{
    const auto at = this->workerIndex.find(name);
    return at == this->workerIndex.end() ? nullptr : &this->workers[at->second];
}

RoutingTable compileRoutingTable(const model::Document &document,
                                 const std::vector<Placement> &placements)
{
    RoutingTable table;
    table.revision = document.revision;
    std::unordered_map<std::string, Index> pools;
    for (const auto &pool : document.pools) {
        pools.emplace(pool.name, static_cast<Index>(table.pools.size()));
        PoolSpec spec{pool.name, pool.spare, {}};
        for (const auto &vm : pool.vms) {
            const auto index = static_cast<Index>(table.workers.size());
            if (!isPlaced(placements, vm.name))
                spec.workers.push_back(index);
            table.workerIndex.emplace(vm.name, index);
            table.workers.push_back(workerOf(vm));
        }
        table.pools.push_back(std::move(spec));
    }
    for (const auto &placement : placements) {
        const auto pool = pools.find(placement.pool);
        const auto worker = table.workerIndex.find(placement.vm);
        if (pool != pools.end() && worker != table.workerIndex.end())
            table.pools[pool->second].workers.push_back(worker->second);
    }
    for (const auto &service : document.services) {
        table.serviceIndex.emplace(service.name, static_cast<Index>(table.services.size()));
        table.services.push_back(serviceOf(service, pools));
    }
    resolveTeams(document, table);
    return table;
}

} // namespace sassafrasferry::policy
