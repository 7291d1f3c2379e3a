// Document revisions in the compiled form that the entry VM uses. A version is immutable, so a
// request keeps the version it started with when newer ones arrive.
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

/// Parses and compiles the texts. Returns an error with all findings if they are invalid.
absl::StatusOr<VersionPointer> makeVersion(store::DocumentTexts texts);

/// Holds the current version, which the control thread sets and traffic threads read.
class VersionHolder
{
public:
    VersionHolder();

    VersionPointer current() const;
    /// Makes a newer version the current one. Returns false without a change if it is not newer, so
    /// that the revision never decreases when updates arrive out of order.
    bool advance(VersionPointer version);

private:
    // A mutex instead of std::atomic<std::shared_ptr>, because load() of the latter in libstdc++ 12
    // unlocks without release ordering: a data race, reported by the thread sanitizer.
    mutable std::mutex mutex;
    VersionPointer version;
};

} // namespace sassafrasferry::entry
