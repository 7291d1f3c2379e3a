// A section as a file that an operator edits: its text under a line that names the revision it
// came from, so that applying it needs no other flag.
#pragma once

#include <sassafrasferry/model/finding.h>

#include <cstdint>
#include <string>

namespace sassafrasferry::cli {

/// A section's text and the revision it was edited from.
struct SectionFile
{
    std::string text;
    std::int64_t baseRevision = 0; ///< 0: the section is new
};

/// The text of a file for a section.
std::string writeSectionFile(const std::string &section, const SectionFile &file);

/// Reads a file. If it is a whole document, only the section's own part is taken. Findings name
/// `path`.
SectionFile readSectionFile(const std::string &section, const std::string &content,
                            const std::string &path, model::Findings &findings);

} // namespace sassafrasferry::cli
