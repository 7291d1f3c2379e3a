// Line-by-line difference between two texts.
#pragma once

#include <string>

namespace sassafrasferry::cli {

/// Returns removed lines prefixed with "-" and added lines prefixed with "+", without common lines.
/// Returns an empty string if the texts have equal lines.
std::string lineDiff(const std::string &before, const std::string &after);

} // namespace sassafrasferry::cli
