// Compiling a document into a routing table.
#include <sassafrasferry/policy/routing_table.h>

namespace sassafrasferry::policy {

namespace {

WorkerSpec workerOf(const model::Vm &vm)
{
    return {vm.name,
            vm.address,
            vm.dataCentre,
            vm.rack,
            static_cast<std::uint32_t>(vm.slots),
            static_cast<std::uint32_t>(vm.connections)};
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

RoutingTable compileRoutingTable(const model::Document &document)
{
    RoutingTable table;
    table.revision = document.revision;
    std::unordered_map<std::string, Index> pools;
    for (const auto &pool : document.pools) {
        pools.emplace(pool.name, static_cast<Index>(table.pools.size()));
        PoolSpec spec{pool.name, pool.spare, {}};
        for (const auto &vm : pool.vms) {
            const auto index = static_cast<Index>(table.workers.size());
            spec.workers.push_back(index);
            table.workerIndex.emplace(vm.name, index);
            table.workers.push_back(workerOf(vm));
        }
        table.pools.push_back(std::move(spec));
    }
    for (const auto &service : document.services) {
        table.serviceIndex.emplace(service.name, static_cast<Index>(table.services.size()));
        table.services.push_back(serviceOf(service, pools));
    }
    return table;
}

} // namespace sassafrasferry::policy
