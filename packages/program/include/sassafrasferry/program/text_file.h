// Reads text files and settings files.
#pragma once

#include <sassafrasferry/model/finding.h>

#include <optional>
#include <string>

namespace sassafrasferry::program {

/// Returns the text of a file. If the file can't be read, adds a finding and returns nothing.
std::optional<std::string> readText(const std::string &path, model::Findings &findings);

/// Parsed settings and the findings of their parser.
template<typename Settings>
struct ReadSettings
{
    Settings settings;
    model::Findings findings;
};

/// Reads a settings file. `parse` is called with the text, the path and the findings to add to.
template<typename Parse>
auto readSettings(const std::string &path, Parse parse)
{
    ReadSettings<decltype(parse(path, path, std::declval<model::Findings &>()))> result;
    if (const auto text = readText(path, result.findings))
        result.settings = parse(*text, path, result.findings);
    return result;
}

} // namespace sassafrasferry::program
