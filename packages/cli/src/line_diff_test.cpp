// Tests of the line diff.
#include "line_diff.h"

#include <catch2/catch.hpp>

using sassafrasferry::cli::lineDiff;

namespace {

struct Case
{
    std::string before;
    std::string after;
    std::string diff;
};

} // namespace

TEST_CASE("the diff lists removed and added lines")
{
    const auto row = GENERATE(values<Case>({
        {"a\nb\n", "a\nb\n", ""},
        {"a\nb\nc\n", "a\nc\n", "-b\n"},
        {"a\nc\n", "a\nb\nc\n", "+b\n"},
        {"a\nb\n", "a\nx\n", "-b\n+x\n"},
        {"", "a\n", "+a\n"},
    }));
    CHECK(lineDiff(row.before, row.after) == row.diff);
}
