// Writes one line per decision to the log and to a bounded in-memory buffer read by `explain`.
#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace sassafrasferry::entry {

/// One `key=value` field of a decision line.
struct LogField
{
    std::string key;
    std::string value;
};

/// A decision: its event, the id of its request (empty if none), and its fields.
struct DecisionLine
{
    std::string event;
    std::string requestId;
    std::vector<LogField> fields;
};

/// Formats the line for the log: `event=E request=R key=value ...`. Values that hold spaces, quotes
/// or line feeds are quoted.
std::string toString(const DecisionLine &line);

/// Logs decisions and keeps the most recent ones of requests. Thread-safe.
class DecisionLog
{
public:
    void write(const DecisionLine &line);
    /// The stored lines of a request, oldest first.
    std::vector<std::string> linesOf(const std::string &requestId);

private:
    static constexpr std::size_t maxEntries = 20000;

    struct Entry
    {
        std::string requestId;
        std::string line;
    };

    std::mutex mutex;
    std::deque<Entry> entries;
};

} // namespace sassafrasferry::entry
