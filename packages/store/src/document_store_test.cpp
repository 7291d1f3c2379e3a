// Applying sections: races of operators, lost answers, outages.
#include <sassafrasferry/store/document_store.h>

#include <sassafrasferry/fakes/memory_tables.h>
#include <sassafrasferry/fakes/run.h>
#include <sassafrasferry/store/digest.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::store;
using fakes::MemoryTables;

namespace {

std::string fleetText()
{
    return "[sections.fleet]\nteam = \"ops\"\n[sections.fleet.teams.ops]\ntokenHash = \""
           + sha256("ops-token") + "\"\n[sections.fleet.teams.bill]\ntokenHash = \""
           + sha256("bill-token") + "\"\n";
}

std::string billingText(const std::string &comment)
{
    return "# " + comment + "\n[sections.billing]\nteam = \"bill\"\n";
}

struct Fixture
{
    http::asio::io_context context;
    MemoryTables tables;
    DocumentStore<MemoryTables> store{tables};

    ChangeResult apply(const SectionChange &change)
    {
        return fakes::run(this->context, this->store.apply(change, {}));
    }

    DocumentTexts load(const DocumentTexts &known = {})
    {
        return *fakes::run(this->context, this->store.load(known));
    }
};

SectionChange fleet()
{
    return {"fleet", fleetText(), 0, "op-fleet", "ops-token"};
}

struct RefusalCase
{
    std::string title;
    SectionChange change;
    ChangeState expected;
};

struct FaultCase
{
    std::string title;
    fakes::TableFaults faults;
    ChangeState expected;
    std::int64_t revision;
};

} // namespace

TEST_CASE("a change is accepted, and only what changed is read again")
{
    Fixture fixture;
    CHECK(fixture.apply(fleet()).state == ChangeState::Accepted);
    const auto before = fixture.load();
    const auto change = fixture.apply({"billing", billingText("one"), 0, "op1", "bill-token"});
    CHECK(change.state == ChangeState::Accepted);
    CHECK(change.revision == 2);
    const auto after = fixture.load(before);
    CHECK(after.revision == 2);
    CHECK(after.section("billing")->text == billingText("one"));
    CHECK(after.section("fleet")->text == fleetText());
}

TEST_CASE("an entry VM that is far behind reads the document whole")
{
    // It was cut off for hours. History comes in pages; were it to trust a single one, it would
    // miss the changes behind it, find that the revisions differ, and stay behind for good.
    Fixture fixture;
    fixture.apply(fleet());
    const auto known = fixture.load();
    std::int64_t revision = 0;
    for (std::size_t i = 0; i <= historyPage; ++i) {
        const auto text = billingText("change " + std::to_string(i));
        const auto change =
            fixture.apply({"billing", text, revision, "op" + std::to_string(i), "bill-token"});
        REQUIRE(change.state == ChangeState::Accepted);
        revision = change.revision;
    }
    const auto texts = fakes::run(fixture.context, fixture.store.load(known));
    REQUIRE(texts.ok());
    CHECK(texts->revision == revision);
    CHECK(texts->section("billing")->text == billingText("change " + std::to_string(historyPage)));
}

TEST_CASE("what is not accepted changes nothing, and says why")
{
    const auto row = GENERATE(values<RefusalCase>({
        {"wrong token", {"billing", billingText("x"), 0, "o", "ops-token"}, ChangeState::Forbidden},
        {"section of another team",
         {"fleet", fleetText(), 1, "o", "bill-token"},
         ChangeState::Forbidden},
        {"faulty text",
         {"billing", billingText("x") + "odd = 1\n", 0, "o", "bill-token"},
         ChangeState::Refused},
        {"stale base", {"fleet", fleetText(), 0, "o", "ops-token"}, ChangeState::Conflict},
    }));
    INFO(row.title);
    Fixture fixture;
    fixture.apply(fleet());
    const auto result = fixture.apply(row.change);
    CHECK(result.state == row.expected);
    CHECK(result.findings.empty() == (row.expected != ChangeState::Refused));
    CHECK(fixture.load().revision == 1);
}

TEST_CASE("of two operators who edit the same section one is accepted, one sees the other's text")
{
    Fixture fixture;
    fixture.apply(fleet());
    const auto first = fixture.apply({"billing", billingText("first"), 0, "o1", "bill-token"});
    const auto second = fixture.apply({"billing", billingText("second"), 0, "o2", "bill-token"});
    CHECK(first.state == ChangeState::Accepted);
    CHECK(second.state == ChangeState::Conflict);
    CHECK(second.currentText == billingText("first"));
    CHECK(second.revision == 2);
}

TEST_CASE("a change under each fault of the store")
{
    // The operator must not be told "refused" of a change that is in force. The answer to the
    // commit is lost; the next try finds the operation's row.
    const auto row = GENERATE(values<FaultCase>({
        {"none", {}, ChangeState::Accepted, 2},
        {"down", {true, 0, 0, 0}, ChangeState::Unavailable, 1},
        {"read fails", {false, 0, 0, 1}, ChangeState::Unavailable, 1},
        {"answer lost", {false, 1, 0, 0}, ChangeState::Accepted, 2},
        {"call lost", {false, 0, 1, 0}, ChangeState::Accepted, 2},
        {"calls lost for good", {false, 0, 100, 0}, ChangeState::Unknown, 1},
    }));
    INFO(row.title);
    Fixture fixture;
    fixture.apply(fleet());
    fixture.tables.faults = row.faults;
    const auto result = fixture.apply({"billing", billingText("x"), 0, "op1", "bill-token"});
    fixture.tables.faults = {};
    CHECK(result.state == row.expected);
    CHECK(fixture.load().revision == row.revision);
    const auto settled = fakes::run(fixture.context, fixture.store.operation("op1"));
    CHECK(*settled == (row.revision == 2 ? 2 : 0));
}

TEST_CASE("the same operation sent twice is applied once")
{
    Fixture fixture;
    fixture.apply(fleet());
    const SectionChange change{"billing", billingText("x"), 0, "op1", "bill-token"};
    CHECK(fixture.apply(change).revision == 2);
    CHECK(fixture.apply(change).revision == 2);
    CHECK(fixture.load().revision == 2);
}

TEST_CASE("a removed section is gone, and may be created anew")
{
    Fixture fixture;
    fixture.apply(fleet());
    fixture.apply({"billing", billingText("x"), 0, "op1", "bill-token"});
    const auto known = fixture.load();
    CHECK(fixture.apply({"billing", "", 2, "op2", "bill-token"}).state == ChangeState::Accepted);
    CHECK(fixture.load(known).section("billing") == nullptr);
    CHECK(fixture.apply({"billing", billingText("y"), 0, "op3", "bill-token"}).state
          == ChangeState::Accepted);
}
