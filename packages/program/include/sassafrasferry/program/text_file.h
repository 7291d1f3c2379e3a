// Files that a program reads whole, and settings in them.
#pragma once

#include <sassafrasferry/model/finding.h>

#include <optional>
#include <string>

namespace sassafrasferry::program {

/// The text of a file; nothing if it can't be read, which adds a finding.
std::optional<std::string> readText(const std::string &path, model::Findings &findings);

/// Settings, and all that is wrong with them.
template<typename Settings>
struct ReadSettings
{
    Settings settings;
    model::Findings findings;
};

/// Reads a settings file. `Parse` takes the text, the path and the findings, to which it adds.
template<typename Parse>
auto readSettings(const std::string &path, Parse parse)
{
    ReadSettings<decltype(parse(path, path, std::declval<model::Findings &>()))> result;
    if (const auto text = readText(path, result.findings))
        result.settings = parse(*text, path, result.findings);
    return result;
}

} // namespace sassafrasferry::program
