// Printing of findings.
#include <sassafrasferry/model/finding.h>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::model {

std::string toString(const Finding &finding)
{
    const auto &place = finding.place;
    std::string text = absl::StrCat(place.file, ":", place.line, ":", place.column, ": ");
    if (!finding.keyPath.empty())
        absl::StrAppend(&text, finding.keyPath, ": ");
    return text + finding.message;
}

std::string toString(const Findings &findings)
{
    std::string text;
    for (const auto &finding : findings)
        absl::StrAppend(&text, toString(finding), "\n");
    return text;
}

} // namespace sassafrasferry::model
