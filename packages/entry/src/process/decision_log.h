// One line for each decision, in the log and in a bounded memory that `explain` reads.
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

/// A decision: what happened, for which request (empty: none), and its fields.
struct DecisionLine
{
    std::string event;
    std::string requestId;
    std::vector<LogField> fields;
};

/// The line as it is logged: `event=E request=R key=value ...`. Values that hold spaces, quotes or
/// line feeds are quoted.
std::string toString(const DecisionLine &line);

/// Logs decisions and remembers the last of them.
class DecisionLog
{
public:
    void write(const DecisionLine &line);
    /// The remembered lines of a request, oldest first.
    std::vector<std::string> linesOf(const std::string &requestId);

private:
    static constexpr std::size_t mostRemembered = 20000;

    struct Remembered
    {
        std::string requestId;
        std::string line;
    };

    std::mutex mutex;
    std::deque<Remembered> remembered;
};

} // namespace sassafrasferry::entry
