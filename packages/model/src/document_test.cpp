// Checks that span the sections of a document.
#include <sassafrasferry/model/document.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::model;

namespace {

const std::string hash(64, 'a');

const std::string fleet = "[sections.fleet]\nteam = \"ops\"\n[sections.fleet.teams.ops]\n"
                          "tokenHash = \""
                          + hash + "\"\n";

const std::string billing = R"([sections.billing]
team = "ops"
[[sections.billing.pools.invoicing.vms]]
name = "w1"
address = "127.0.0.1:9001"
dataCentre = "a"
rack = "r1"
[sections.billing.services.invoice]
pool = "invoicing"
idempotent = false
class = "urgent"
)";

struct Case
{
    std::string title;
    std::string extra;
    std::string keyPath;
    std::string message;
};

} // namespace

TEST_CASE("a sound document has no findings")
{
    Findings findings;
    const auto document =
        parseDocument({{"fleet", fleet, 1}, {"billing", billing, 2}}, 2, findings);
    CHECK(toString(findings).empty());
    REQUIRE(document.services.size() == 1);
    CHECK_FALSE(document.services[0].idempotent);
    CHECK(document.services[0].requestClass == RequestClass::Urgent);
    CHECK(document.pool("invoicing")->vms.at(0).slots == 8);
}

TEST_CASE("each fault of a document is a finding")
{
    const auto fault = GENERATE(values<Case>({
        {"VM in two pools",
         "[[sections.billing.pools.other.vms]]\nname = \"w1\"\naddress = \"127.0.0.1:9002\"\n"
         "dataCentre = \"a\"\nrack = \"r1\"\n",
         "sections.billing.pools.other.vms[0].name", "VM \"w1\" is already in pool \"invoicing\""},
        {"address twice",
         "[[sections.billing.pools.other.vms]]\nname = \"w2\"\naddress = \"127.0.0.1:9001\"\n"
         "dataCentre = \"a\"\nrack = \"r1\"\n",
         "sections.billing.pools.other.vms[0].address", "is already the address of VM \"w1\""},
        {"unknown pool", "[sections.billing.services.x]\npool = \"none\"\n",
         "sections.billing.services.x.pool", "no such pool"},
        {"overflow into a pool that is not spare",
         "[sections.billing.services.x]\npool = \"invoicing\"\noverflow = \"invoicing\"\n",
         "sections.billing.services.x.overflow", "no such spare pool"},
        {"unknown pool of a wave", "[sections.billing.waves.w]\npools = [\"none\"]\n",
         "sections.billing.waves.w.pools", "no such pool"},
        {"out of range",
         "[sections.billing.services.x]\npool = \"invoicing\"\navailability = 1.5\n",
         "sections.billing.services.x.availability", "must lie between"},
        {"lending twice", "[sections.billing.lending]\nmove = 1\n", "sections.billing.lending",
         "lending is already in section \"fleet\""},
        {"foreign section", "[sections.other]\nteam = \"ops\"\n", "sections.other",
         "does not belong into section \"billing\""},
    }));
    INFO(fault.title);
    Findings findings;
    const std::string lending = "[sections.fleet.lending]\ndemand = \"never\"\n";
    parseDocument({{"fleet", fleet + lending, 1}, {"billing", billing + fault.extra, 2}}, 2,
                  findings);
    REQUIRE_FALSE(findings.empty());
    CHECK(findings[0].keyPath == fault.keyPath);
    CHECK_THAT(findings[0].message, Catch::Contains(fault.message));
    CHECK(findings[0].place.file == "billing");
    CHECK(findings[0].place.line > 0);
}

TEST_CASE("a quota that no request fits is a finding where the quota stands")
{
    // Each request of the service would be refused with `quota-too-small`, and only its callers
    // would see why.
    struct Row
    {
        std::string processors; // of the team
        std::string vmProcessors;
        std::size_t findings;
    };
    const auto row = GENERATE(values<Row>({
        {"4", "32", 0}, {"3", "32", 1}, {"1", "0", 0}, {"0", "32", 0}, // no limit
    }));
    const auto text = "[sections.one]\nteam = \"ops\"\n[sections.one.teams.ops]\ntokenHash = \""
                      + std::string(64, '0') + "\"\nprocessors = " + row.processors
                      + "\n[[sections.one.pools.p.vms]]\nname = \"w\"\naddress = "
                        "\"127.0.0.1:1\"\ndataCentre = \"a\"\nrack = \"r\"\nprocessors = "
                      + row.vmProcessors + "\n[sections.one.services.x]\npool = \"p\"\n";
    Findings findings;
    parseDocument({{"one", text, 1}}, 1, findings);
    REQUIRE(findings.size() == row.findings);
    if (!findings.empty()) {
        CHECK(findings[0].keyPath == "sections.one.teams.ops.processors");
        CHECK(findings[0].message == "is less than one request holds of service \"x\": 4");
    }
}

TEST_CASE("a team that no section declares is a finding")
{
    Findings findings;
    parseDocument({{"billing", billing, 1}}, 1, findings);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].message == "no such team");
}
