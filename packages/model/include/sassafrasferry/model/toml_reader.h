// Reads TOML tables into aggregates. Every finding is collected; reading goes on after each, so
// that an operator sees all of them at once.
#pragma once

#include <sassafrasferry/model/finding.h>
#include <sassafrasferry/model/names.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>

// The TOML library asserts on some malformed keys, as "[+". A text must not end the process, so
// its assertions throw. With NDEBUG it has none, and goes on to an error of its own.
#ifndef NDEBUG
namespace sassafrasferry::model {

/// What a failed assertion of the TOML library does; a function, as it asserts in expressions.
[[noreturn]] inline void throwMalformed()
{
    throw std::logic_error("the text is malformed in a way the TOML library cannot name");
}

} // namespace sassafrasferry::model

#define TOML_ASSERT(expression) \
    (static_cast<bool>(expression) ? static_cast<void>(0) : sassafrasferry::model::throwMalformed())
#endif
#include <toml++/toml.h>

namespace sassafrasferry::model {

/// Bounds of an integer setting, both included.
struct IntegerRange
{
    std::int64_t least = 0;
    std::int64_t most = INT64_MAX;
};

/// Bounds of a real setting, both included.
struct RealRange
{
    double least = 0;
    double most = 1;
};

/// Reads one table. Keys that were never asked for become findings in `finish()`.
///
/// ```
/// TomlReader reader(table, "settings.toml", "", findings);
/// reader.read("name", settings.name);
/// reader.finish();
/// ```
class TomlReader
{
public:
    TomlReader(const toml::table &table, std::string file, std::string path, Findings &findings);

    /// Reads a key into `value`; an absent key leaves the default. True if it was present.
    bool read(std::string_view key, std::string &value);
    bool read(std::string_view key, bool &value);
    bool read(std::string_view key, std::vector<std::string> &values);
    bool read(std::string_view key, std::int64_t &value, IntegerRange range);
    bool read(std::string_view key, double &value, RealRange range);
    bool read(std::string_view key, std::chrono::milliseconds &value, IntegerRange range);

    /// Reads the name of an enum value.
    template<NamedEnum Enum>
    bool readName(std::string_view key, Enum &value)
    {
        std::string name;
        if (!this->read(key, name))
            return false;
        if (const auto found = valueOf<Enum>(name))
            value = *found;
        else
            this->find(key, "must be one of " + allNames<Enum>() + ", not \"" + name + "\"");
        return true;
    }

    /// Calls `visit(name, reader)` for each sub-table of the table at `key`.
    void eachTable(std::string_view key,
                   const std::function<void(const std::string &, TomlReader &)> &visit);
    /// Calls `visit(reader)` for each table in the array at `key`.
    void eachElement(std::string_view key, const std::function<void(TomlReader &)> &visit);
    /// Calls `visit(reader)` if there is a table at `key`.
    void table(std::string_view key, const std::function<void(TomlReader &)> &visit);

    /// A finding if the key is absent.
    void require(std::string_view key);
    /// Records a finding at the place of a key, or of the table itself if the key is absent.
    void find(std::string_view key, std::string message);
    /// The finding that `find` would record, for checks that must wait for other sections.
    Finding findingAt(std::string_view key, std::string message) const;
    /// Records a finding for every key that was not read.
    void finish();

private:
    const toml::node *node(std::string_view key);
    std::string pathOf(std::string_view key) const;
    void visitTable(const toml::node &node, const std::string &nodePath,
                    const std::function<void(TomlReader &)> &visit);

    const toml::table &source;
    std::string file;
    std::string path;
    Findings &findings;
    std::set<std::string, std::less<>> known; // every key asked for so far
};

/// Parses a TOML text; a syntax error is a finding, and the result is empty.
std::unique_ptr<toml::table> parseToml(std::string_view text, const std::string &file,
                                       Findings &findings);

} // namespace sassafrasferry::model
