// A finding is one thing wrong with a settings file or a document, with its place.
#pragma once

#include <string>
#include <vector>

namespace sassafrasferry::model {

/// Where in a text a finding was made. Lines and columns count from 1; 0 means unknown.
struct Place
{
    std::string file;
    unsigned line = 0;
    unsigned column = 0;
};

/// One thing wrong: its place, the dotted key path, and what is expected instead.
struct Finding
{
    Place place;
    std::string keyPath;
    std::string message;
};

using Findings = std::vector<Finding>;

/// One line for a finding: `file:line:column: key.path: message`.
std::string toString(const Finding &finding);

/// All findings, a line each.
std::string toString(const Findings &findings);

} // namespace sassafrasferry::model
