// Splits one long document into the texts of its sections, comments kept.
#pragma once

#include <sassafrasferry/model/document.h>

namespace sassafrasferry::model {

/// Splits a document at its `[sections.NAME]` headers. Comment lines directly above a header go
/// with it. A text before the first header, or a section in two places, is a finding.
std::vector<SectionText> splitSections(const std::string &text, const std::string &file,
                                       Findings &findings);

/// The sections one after the other, as one document.
std::string joinSections(const std::vector<SectionText> &sections);

} // namespace sassafrasferry::model
