// Builds the planners' input for a pool.
#include <sassafrasferry/fleet/pool_view.h>

#include <algorithm>

namespace sassafrasferry::fleet {

namespace {

policy::WaveVmState stateOf(const std::string &name, const std::vector<std::string> &done,
                            const FleetRows &rows, const FleetView &view)
{
    if (const auto *row = rows.vm(name)) {
        if (row->isLoan())
            return policy::WaveVmState::Lent;
        switch (row->state) {
        case VmState::InMaintenance:
            return policy::WaveVmState::InMaintenance;
        case VmState::BackFailing:
            return policy::WaveVmState::BackFailing;
        case VmState::Draining:
        case VmState::Arriving:
        case VmState::Lent:
            return policy::WaveVmState::Draining;
        }
    }
    if (view.failed.contains(name))
        return policy::WaveVmState::Failed;
    const bool isDone = std::find(done.begin(), done.end(), name) != done.end();
    return isDone ? policy::WaveVmState::Done : policy::WaveVmState::Pending;
}

policy::WavePool makePoolView(const model::Pool &pool, const std::vector<std::string> &done,
                              const FleetRows &rows, const FleetView &view)
{
    policy::WavePool result;
    result.name = pool.name;
    result.availability = 0;
    for (const auto &service : view.document.services) {
        if (service.pool == pool.name)
            result.availability = std::max(result.availability, service.availability);
    }
    for (const auto &vm : pool.vms)
        result.vms.push_back({vm.name, vm.dataCentre, vm.rack, stateOf(vm.name, done, rows, view)});
    for (const auto &name : rows.budget(pool.name).borrowed)
        result.borrowed += view.failed.contains(name) ? 0 : 1;
    return result;
}

} // namespace

policy::WavePool poolView(const model::Pool &pool, const FleetRows &rows, const FleetView &view)
{
    return makePoolView(pool, {}, rows, view);
}

policy::WavePool poolView(const model::Pool &pool, const model::Wave &wave, const WaveRow &row,
                          const FleetRows &rows, const FleetView &view)
{
    auto result = makePoolView(pool, row.done, rows, view);
    result.haltAfter = static_cast<std::size_t>(wave.haltAfter);
    return result;
}

} // namespace sassafrasferry::fleet
