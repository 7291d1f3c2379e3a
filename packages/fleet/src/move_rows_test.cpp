// Tests that the rows of moved VMs are written atomically with the document change.
#include <sassafrasferry/fleet/move_rows.h>

#include <sassafrasferry/fakes/memory_tables.h>
#include <sassafrasferry/fakes/run.h>
#include <sassafrasferry/fleet/fleet_rows.h>
#include <sassafrasferry/store/digest.h>
#include <sassafrasferry/store/document_store.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::fleet;
using fakes::MemoryTables;
using store::ChangeState;
using store::DocumentStore;

namespace {

// A fleet of two pools; `pools` names the pool of each VM, w0 first.
std::string textOf(const std::vector<std::string> &pools)
{
    std::string text =
        "[sections.fleet]\nteam = \"ops\"\n[sections.fleet.teams.ops]\ntokenHash = \""
        + store::sha256("token") + "\"\n";
    for (std::size_t i = 0; i < pools.size(); ++i) {
        const auto number = std::to_string(i);
        text += "[[sections.fleet.pools." + pools[i] + ".vms]]\nname = \"w" + number
                + "\"\naddress = \"127.0.0.1:100" + number
                + "\"\ndataCentre = \"dc\"\nrack = \"r\"\n";
    }
    return text;
}

const std::vector<std::string> before{"p", "p", "q"};
const std::vector<std::string> after{"p", "q", "q"};
const std::vector<std::string> later{"p", "p", "q"}; // w1 is moved back

struct World
{
    boost::asio::io_context context{1};
    MemoryTables tables;
    DocumentStore<MemoryTables> store{tables};
    int operations = 0;

    store::ChangeResult apply(const std::vector<std::string> &pools, std::int64_t base)
    {
        const DocumentStore<MemoryTables>::ExtraRowsOf moves = [](const model::Document &current,
                                                                  const model::Document &changed) {
            DocumentStore<MemoryTables>::ExtraRows rows;
            rows.fresh = moveRows(current, changed, 7);
            rows.touched.push_back({fleetHeadKey(), Json::object()});
            return rows;
        };
        const store::SectionChange change{"fleet", textOf(pools), base,
                                          "op" + std::to_string(++this->operations), "token"};
        return fakes::run(this->context, this->store.apply(change, {}, moves));
    }

    std::vector<store::Row> rows(const RowKey &key)
    {
        return this->tables.readNow({key});
    }
};

} // namespace

TEST_CASE("a change that moves a VM writes its row in the same transaction")
{
    // If the row were written later, an entry VM could use the VM in its new pool while it still
    // has work of the old one. Every reader of the revision must therefore find the row.
    World world;
    REQUIRE(world.apply(before, 0).state == ChangeState::Accepted);
    CHECK(world.tables.scanNow({"vms", ""}).empty());
    REQUIRE(world.apply(after, 1).state == ChangeState::Accepted);
    const auto rows = world.rows(vmKey("w1"));
    REQUIRE(rows.size() == 1);
    const auto row = vmFrom(rows[0]);
    CHECK(row->pool == "p");
    CHECK(row->target == "q");
    CHECK(row->state == VmState::Draining);
    CHECK(row->revision == 2);
    CHECK(row->order == 7);
    CHECK(rows[0].version == world.rows({"document", "head"})[0].version);
    CHECK(rows[0].version == world.rows(fleetHeadKey())[0].version);
    CHECK(world.tables.scanNow({"vms", ""}).size() == 1);
}

TEST_CASE("a VM that is out of service is not moved by a second change")
{
    // An operator moves w1 back while it drains or is in maintenance. If the change were accepted,
    // the row would name the wrong pool. It is refused, and nothing changes.
    World world;
    world.apply(before, 0);
    world.apply(after, 1);
    const auto refused = world.apply(later, 2);
    CHECK(refused.state == ChangeState::Refused);
    REQUIRE(refused.findings.size() == 1);
    CHECK(refused.findings[0].keyPath == "w1");
    world.tables.commitNow({{}, {}, {vmKey("w1")}});
    CHECK(world.apply(later, 2).state == ChangeState::Accepted);
}

TEST_CASE("a change that moves a VM is applied once when its commit response is lost")
{
    World world;
    world.apply(before, 0);
    world.tables.faults.lostAnswers = 1;
    CHECK(world.apply(after, 1).state == ChangeState::Accepted);
    CHECK(world.rows(vmKey("w1")).size() == 1);
}
