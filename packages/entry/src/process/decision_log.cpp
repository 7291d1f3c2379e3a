// Formats, logs and stores decision lines.
#include "decision_log.h"

#include <glog/logging.h>

namespace sassafrasferry::entry {

namespace {

// Some values are chosen by callers; a line feed in a value must not forge a log line.
std::string quoted(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"\n\r\t\\=") == std::string::npos)
        return value;
    std::string result = "\"";
    for (const char character : value) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '"' || character == '\\')
            result += '\\';
        result += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
    }
    return result + '"';
}

} // namespace

std::string toString(const DecisionLine &line)
{
    std::string text = "event=" + line.event;
    if (!line.requestId.empty())
        text += " request=" + quoted(line.requestId);
    for (const auto &field : line.fields)
        text += ' ' + field.key + '=' + quoted(field.value);
    return text;
}

void DecisionLog::write(const DecisionLine &line)
{
    auto text = toString(line);
    LOG(INFO) << text;
    if (line.requestId.empty())
        return;
    const std::lock_guard lock(this->mutex);
    if (this->entries.size() >= maxEntries)
        this->entries.pop_front();
    this->entries.push_back({line.requestId, std::move(text)});
}

std::vector<std::string> DecisionLog::linesOf(const std::string &requestId)
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> lines;
    for (const auto &item : this->entries) {
        if (item.requestId == requestId)
            lines.push_back(item.line);
    }
    return lines;
}

} // namespace sassafrasferry::entry
