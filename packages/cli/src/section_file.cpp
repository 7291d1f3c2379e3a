// Reads and writes section files.
#include "section_file.h"

#include <sassafrasferry/model/sections.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace sassafrasferry::cli {

namespace {

const std::string revisionPrefix = "# revision ";

} // namespace

std::string writeSectionFile(const std::string &section, const SectionFile &file)
{
    return absl::StrCat(revisionPrefix, file.baseRevision, " of section ", section,
                        "; apply reads this line\n", file.text);
}

SectionFile readSectionFile(const std::string &section, const std::string &content,
                            const std::string &path, model::Findings &findings)
{
    SectionFile file;
    auto text = content;
    if (text.rfind(revisionPrefix, 0) == 0) {
        const auto lineEnd = std::min(text.find('\n'), text.size() - 1);
        const auto numberEnd = text.find(' ', revisionPrefix.size());
        const auto number = text.substr(revisionPrefix.size(), numberEnd - revisionPrefix.size());
        if (!absl::SimpleAtoi(number, &file.baseRevision))
            findings.push_back(
                {{path, 1, 1}, "", "the first line contains no valid revision number"});
        text.erase(0, lineEnd + 1);
    }
    auto sections = model::splitSections(text, path, findings);
    for (auto &found : sections) {
        if (found.name == section)
            file.text = std::move(found.text);
    }
    if (findings.empty() && file.text.empty())
        findings.push_back({{path, 1, 1}, "", "has no table [sections." + section + "]"});
    return file;
}

} // namespace sassafrasferry::cli
