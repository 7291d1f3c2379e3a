// File format in which an operator edits a section: a first line with the base revision, so that
// `apply` needs no flag for it, followed by the section's text.
#pragma once

#include <sassafrasferry/model/finding.h>

#include <cstdint>
#include <string>

namespace sassafrasferry::cli {

/// A section's text and the revision it was edited from.
struct SectionFile
{
    std::string text;
    std::int64_t baseRevision = 0; ///< 0 for a new section
};

/// Serializes a section to the file format.
std::string writeSectionFile(const std::string &section, const SectionFile &file);

/// Parses a file. Of a whole document only the part that defines `section` is returned. Findings
/// refer to `path`.
SectionFile readSectionFile(const std::string &section, const std::string &content,
                            const std::string &path, model::Findings &findings);

} // namespace sassafrasferry::cli
