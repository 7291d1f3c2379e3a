// Compares the pools of two documents to find the VMs that move.
#include <sassafrasferry/fleet/move_rows.h>

#include <map>

namespace sassafrasferry::fleet {

namespace {

std::map<std::string, std::string> poolsByVm(const model::Document &document)
{
    std::map<std::string, std::string> pools;
    for (const auto &pool : document.pools) {
        for (const auto &vm : pool.vms)
            pools.emplace(vm.name, pool.name);
    }
    return pools;
}

} // namespace

std::vector<VmMove> movesBetween(const model::Document &current, const model::Document &changed)
{
    const auto before = poolsByVm(current);
    std::vector<VmMove> moves;
    for (const auto &[vm, pool] : poolsByVm(changed)) {
        const auto at = before.find(vm);
        if (at != before.end() && at->second != pool)
            moves.push_back({vm, at->second, pool});
    }
    return moves;
}

std::vector<store::Put> moveRows(const model::Document &current, const model::Document &changed,
                                 std::int64_t order)
{
    std::vector<store::Put> puts;
    for (const auto &move : movesBetween(current, changed)) {
        VmRow row;
        row.name = move.vm;
        row.pool = move.from;
        row.target = move.to;
        row.order = order;
        row.revision = changed.revision;
        puts.push_back({vmKey(move.vm), toJson(row)});
    }
    return puts;
}

} // namespace sassafrasferry::fleet
