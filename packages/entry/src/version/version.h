// One revision of the document as the entry VM uses it. Immutable: a request keeps the version it
// began with, however many come after.
#pragma once

#include <sassafrasferry/policy/routing_table.h>
#include <sassafrasferry/store/documents.h>

#include <absl/status/statusor.h>

#include <memory>
#include <mutex>

namespace sassafrasferry::entry {

/// A document revision, parsed and compiled.
struct Version
{
    store::DocumentTexts texts;
    model::Document document;
    policy::RoutingTable table;
};

using VersionPointer = std::shared_ptr<const Version>;

/// Parses and compiles texts; an error with all findings if they are not sound.
absl::StatusOr<VersionPointer> makeVersion(store::DocumentTexts texts);

/// The version in force. The control thread sets it, traffic threads take it.
class VersionHolder
{
public:
    VersionHolder();

    VersionPointer current() const;
    /// Takes a newer version. False, and nothing changes, if it is not newer: a revision never
    /// goes down, whatever order news arrives in.
    bool advance(VersionPointer version);

private:
    // Not std::atomic<std::shared_ptr>: in the library of g++ 12 its load unlocks without release,
    // which the thread sanitizer rightly reports.
    mutable std::mutex mutex;
    VersionPointer version;
};

} // namespace sassafrasferry::entry
