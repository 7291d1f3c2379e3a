// Diff by longest common subsequence. Sections are a few hundred lines long, so the quadratic table
// is small.
#include "line_diff.h"

#include <algorithm>
#include <vector>

#include <absl/strings/str_split.h>

namespace sassafrasferry::cli {

namespace {

using Lines = std::vector<std::string>;
using Table = std::vector<std::vector<std::size_t>>;

Lines linesOf(const std::string &text)
{
    Lines lines = absl::StrSplit(text, '\n');
    if (!lines.empty() && lines.back().empty())
        lines.pop_back();
    return lines;
}

// table[i][j]: length of the longest common subsequence of a[i..] and b[j..].
Table commonLengths(const Lines &a, const Lines &b)
{
    Table table(a.size() + 1, std::vector<std::size_t>(b.size() + 1, 0));
    for (std::size_t i = a.size(); i-- > 0;) {
        for (std::size_t j = b.size(); j-- > 0;)
            table[i][j] =
                a[i] == b[j] ? table[i + 1][j + 1] + 1 : std::max(table[i + 1][j], table[i][j + 1]);
    }
    return table;
}

} // namespace

std::string lineDiff(const std::string &before, const std::string &after)
{
    const auto a = linesOf(before);
    const auto b = linesOf(after);
    const auto table = commonLengths(a, b);
    std::string diff;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() || j < b.size()) {
        if (i < a.size() && j < b.size() && a[i] == b[j]) {
            ++i;
            ++j;
        } else if (j == b.size() || (i < a.size() && table[i + 1][j] >= table[i][j + 1])) {
            diff += "-" + a[i++] + "\n";
        } else {
            diff += "+" + b[j++] + "\n";
        }
    }
    return diff;
}

} // namespace sassafrasferry::cli
