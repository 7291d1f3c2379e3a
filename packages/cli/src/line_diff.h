// The difference between two texts, line by line.
#pragma once

#include <string>

namespace sassafrasferry::cli {

/// Lines of `before` that are gone with "-" in front, lines of `after` that are new with "+", and
/// equal lines left out. Empty if the texts are equal.
std::string lineDiff(const std::string &before, const std::string &after);

} // namespace sassafrasferry::cli
