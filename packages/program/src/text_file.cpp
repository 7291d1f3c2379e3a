// Reads text files.
#include <sassafrasferry/program/text_file.h>

#include <fstream>
#include <sstream>

namespace sassafrasferry::program {

std::optional<std::string> readText(const std::string &path, model::Findings &findings)
{
    std::ifstream file(path);
    if (!file) {
        findings.push_back({{path, 0, 0}, "", "cannot be read"});
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace sassafrasferry::program
