// Splitting and joining. The places of headers come from the TOML parser, never from a search of
// the text, so that a header inside a string is not taken for one.
#include <sassafrasferry/model/sections.h>

#include <sassafrasferry/model/toml_reader.h>

#include <algorithm>

#include <absl/strings/str_split.h>

namespace sassafrasferry::model {

namespace {

struct Header
{
    std::string name;
    std::size_t line = 0; // counts from 0
};

// The first line of each section: the least line of its table and of everything inside it, since
// `[sections.a.pools.b]` may stand without `[sections.a]`.
std::size_t firstLine(const toml::node &node)
{
    std::size_t least = node.source().begin.line;
    if (const auto *table = node.as_table()) {
        for (const auto &[key, inner] : *table) {
            const auto line = firstLine(inner);
            if (line != 0 && (least == 0 || line < least))
                least = line;
        }
    }
    return least;
}

std::size_t lastLine(const toml::node &node)
{
    std::size_t most = node.source().begin.line;
    if (const auto *table = node.as_table()) {
        for (const auto &[key, inner] : *table)
            most = std::max(most, lastLine(inner));
    } else if (const auto *array = node.as_array()) {
        for (const auto &inner : *array)
            most = std::max(most, lastLine(inner));
    }
    return most;
}

bool isComment(const std::string &line)
{
    const auto at = line.find_first_not_of(" \t");
    return at != std::string::npos && line[at] == '#';
}

} // namespace

std::vector<SectionText> splitSections(const std::string &text, const std::string &file,
                                       Findings &findings)
{
    const auto table = parseToml(text, file, findings);
    if (!table)
        return {};
    const auto *sections = table->get_as<toml::table>("sections");
    if (!sections || sections->empty()) {
        findings.push_back({{file, 1, 1}, "sections", "a document needs [sections.NAME] tables"});
        return {};
    }
    std::vector<Header> headers;
    std::vector<std::pair<std::size_t, std::size_t>> ranges;
    for (const auto &[key, node] : *sections)
        headers.push_back({std::string(key.str()), firstLine(node) - 1});
    std::sort(headers.begin(), headers.end(),
              [](const Header &a, const Header &b) { return a.line < b.line; });
    for (std::size_t i = 0; i + 1 < headers.size(); ++i) {
        if (lastLine(*sections->get(headers[i].name)) > headers[i + 1].line)
            findings.push_back({{file, static_cast<unsigned>(headers[i + 1].line + 1), 1},
                                "sections." + headers[i].name,
                                "the section continues after another one begins"});
    }
    const std::vector<std::string> lines = absl::StrSplit(text, '\n');
    for (auto &header : headers) {
        while (header.line > 0 && isComment(lines[header.line - 1]))
            --header.line;
    }
    headers.front().line = 0;
    std::vector<SectionText> result;
    for (std::size_t i = 0; i < headers.size(); ++i) {
        const auto end = i + 1 < headers.size() ? headers[i + 1].line : lines.size();
        SectionText section{headers[i].name, {}, 0};
        for (auto line = headers[i].line; line < end; ++line) {
            section.text += lines[line];
            if (line + 1 < lines.size())
                section.text += '\n';
        }
        result.push_back(std::move(section));
    }
    return result;
}

std::string joinSections(const std::vector<SectionText> &sections)
{
    std::string text;
    for (const auto &section : sections) {
        text += section.text;
        if (!text.empty() && text.back() != '\n')
            text += '\n';
    }
    return text;
}

} // namespace sassafrasferry::model
