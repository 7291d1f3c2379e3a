// A document split into sections and joined again is the same text.
#include <sassafrasferry/model/sections.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::model;

TEST_CASE("splitting keeps every byte, and comments go with the header below them")
{
    const std::string text = "# the fleet\n[sections.fleet]\nteam = \"ops\" # owner\n\n"
                             "# invoices\n# weigh most\n[sections.billing]\nteam = \"ops\"\n"
                             "[sections.billing.services.x]\npool = \"[sections.no]\"\n";
    Findings findings;
    const auto sections = splitSections(text, "d.toml", findings);
    CHECK(toString(findings).empty());
    REQUIRE(sections.size() == 2);
    CHECK(sections[0].name == "fleet");
    CHECK(sections[1].name == "billing");
    CHECK(sections[1].text.rfind("# invoices\n# weigh most\n[sections.billing]", 0) == 0);
    CHECK(joinSections(sections) == text);
}

TEST_CASE("a section in two places is a finding")
{
    Findings findings;
    splitSections("[sections.a]\nteam = \"x\"\n[sections.b]\nteam = \"x\"\n"
                  "[sections.a.services.s]\npool = \"p\"\n",
                  "d.toml", findings);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].keyPath == "sections.a");
}
