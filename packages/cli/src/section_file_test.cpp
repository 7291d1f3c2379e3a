// Section files keep text, comments and base revision in a round trip.
#include "section_file.h"

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::cli;

TEST_CASE("a written section file is read back with the same text and revision")
{
    const std::string text = "# ours\n[sections.billing]\nteam = \"bill\" # us\n";
    model::Findings findings;
    const auto file =
        readSectionFile("billing", writeSectionFile("billing", {text, 7}), "f", findings);
    CHECK(findings.empty());
    CHECK(file.baseRevision == 7);
    CHECK(file.text == text);
}

TEST_CASE("reading a section from a whole document returns only that section")
{
    model::Findings findings;
    const auto file = readSectionFile(
        "b", "[sections.a]\nteam = \"x\"\n[sections.b]\nteam = \"y\"\n", "f", findings);
    CHECK(findings.empty());
    CHECK(file.baseRevision == 0);
    CHECK(file.text == "[sections.b]\nteam = \"y\"\n");
}

TEST_CASE("a file that lacks the section or is not TOML yields a finding")
{
    const auto content = GENERATE(as<std::string>{}, "[sections.a]\nteam = \"x\"\n", "= =\n",
                                  "# revision x of section b\n[sections.b]\n");
    model::Findings findings;
    readSectionFile("b", content, "f", findings);
    CHECK_FALSE(findings.empty());
}
