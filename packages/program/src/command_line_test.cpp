#include <sassafrasferry/program/command_line.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace sassafrasferry::program;

namespace {

constexpr const char *usage = R"(walker: a test.

Usage:
  walker --settings FILE
  walker (-h | --help)
  walker --version

Options:
  --settings FILE  Settings.
)";

struct Case
{
    std::vector<const char *> words;
    std::optional<int> exitCode;
};

const std::vector<Case> cases{
    {{"walker", "--settings", "a.toml"}, std::nullopt},
    {{"walker", "--help"}, exit_code::ok},
    {{"walker", "--version"}, exit_code::ok},
    {{"walker", "--settings"}, exit_code::usage},
    {{"walker", "--unknown"}, exit_code::usage},
    {{"walker"}, exit_code::usage},
};

} // namespace

TEST_CASE("A command line gives either arguments or an exit code")
{
    const auto row = GENERATE(from_range(cases));
    CAPTURE(row.words.size());
    const auto line =
        parseCommandLine("walker", usage, static_cast<int>(row.words.size()), row.words.data());
    CHECK(line.exitCode == row.exitCode);
    if (!row.exitCode)
        CHECK(line.arguments.at("--settings").asString() == "a.toml");
}
