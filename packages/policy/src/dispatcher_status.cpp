// The dispatcher as status pages show it.
#include <sassafrasferry/policy/dispatcher.h>

namespace sassafrasferry::policy {

std::vector<PoolStatus> Dispatcher::poolStatus(Instant now) const
{
    std::vector<PoolStatus> statuses;
    for (const auto &pool : this->pools) {
        PoolStatus status{pool.name, 0, 0, 0, 0};
        for (const auto index : pool.services) {
            const auto &service = this->services[index];
            if (this->pools[service.spec.pool].name == pool.name)
                status.waiting += service.queue.size();
        }
        for (const auto index : pool.workers) {
            status.inUse += this->workers[index].inUse;
            status.allowed += this->workers[index].allowed(now);
            status.slots += this->workers[index].spec.slots;
        }
        statuses.push_back(std::move(status));
    }
    return statuses;
}

std::vector<PoolDemand> Dispatcher::demand(Instant now) const
{
    std::vector<PoolDemand> demands;
    for (const auto &pool : this->pools) {
        PoolDemand demand{pool.name, 0, 0};
        for (const auto index : pool.workers)
            demand.capacity += this->workers[index].spec.slots;
        for (const auto index : pool.services) {
            const auto &service = this->services[index];
            if (this->pools[service.spec.pool].name == pool.name)
                demand.slots += service.offered.slots(now);
        }
        demands.push_back(std::move(demand));
    }
    return demands;
}

std::vector<WorkerStatus> Dispatcher::workerStatus(Instant now) const
{
    std::vector<WorkerStatus> statuses;
    for (const auto &worker : this->workers) {
        if (worker.pool == noIndex)
            continue;
        statuses.push_back({worker.spec.name, this->pools[worker.pool].name, worker.inUse,
                            worker.allowed(now), worker.health.state(now),
                            worker.leaving.signal(now)});
    }
    return statuses;
}

std::size_t Dispatcher::waiting() const
{
    std::size_t sum = 0;
    for (const auto &service : this->services)
        sum += service.queue.size();
    return sum;
}

} // namespace sassafrasferry::policy
