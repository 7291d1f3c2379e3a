// A document's routing table, with VMs that are lent.
#include <sassafrasferry/policy/routing_table.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::policy;

namespace {

struct PlacementCase
{
    std::string title;
    std::vector<Placement> placements;
    std::vector<std::size_t> sizes; // VMs of pools p and q
};

model::Document document()
{
    model::Document result;
    for (const auto *name : {"p", "q"}) {
        model::Pool pool{name, "s", false, {}};
        for (int i = 0; i < 2; ++i) {
            model::Vm vm;
            vm.name = name + std::to_string(i);
            pool.vms.push_back(vm);
        }
        result.pools.push_back(pool);
    }
    return result;
}

} // namespace

TEST_CASE("a lent VM is in one pool, the borrower's")
{
    const auto row = GENERATE(values<PlacementCase>({
        {"none lent", {}, {2, 2}},
        {"one lent", {{"q0", "p"}}, {3, 1}},
        {"to a pool that is gone", {{"q0", "gone"}}, {2, 1}},
        {"a VM that is gone", {{"gone", "p"}}, {2, 2}},
        {"both ways", {{"p0", "q"}, {"q0", "p"}}, {2, 2}},
    }));
    INFO(row.title);
    const auto table = compileRoutingTable(document(), row.placements);
    REQUIRE(table.pools.size() == 2);
    CHECK(table.pools[0].workers.size() == row.sizes[0]);
    CHECK(table.pools[1].workers.size() == row.sizes[1]);
    CHECK(table.workers.size() == 4);
    for (const auto &placement : row.placements) {
        for (const auto &pool : table.pools) {
            for (const auto index : pool.workers) {
                if (table.workers[index].name == placement.vm)
                    CHECK(pool.name == placement.pool);
            }
        }
    }
}
