// What routing needs of a document, with names resolved to indices. One per document revision.
#pragma once

#include <sassafrasferry/model/document.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sassafrasferry::policy {

using Index = std::uint32_t;
constexpr Index noIndex = std::numeric_limits<Index>::max();

/// A worker as the document describes it.
struct WorkerSpec
{
    std::string name;
    model::Endpoint address;
    std::string dataCentre;
    std::string rack;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::uint32_t slotProcessors = 1; ///< processors that a request holds on it, rounded up
};

/// A team and its quota.
struct TeamSpec
{
    std::string name;
    std::uint32_t processors = 0; ///< its running requests may hold at once; 0: no limit
    std::uint32_t unit = 1; ///< the most that one of its requests holds
};

/// A pool and the workers in it, as indices into `RoutingTable::workers`.
struct PoolSpec
{
    std::string name;
    bool spare = false;
    std::vector<Index> workers;
};

/// A service with its pools resolved.
struct ServiceSpec
{
    std::string name;
    Index pool = noIndex;
    Index overflow = noIndex; ///< a spare pool, or noIndex
    bool idempotent = true;
    model::RequestClass requestClass = model::RequestClass::Normal;
    std::chrono::milliseconds deadline{10000};
    std::chrono::milliseconds runTime{100};
    double availability = 0.75;
    bool startRefusal = true;
    Index team = noIndex; ///< that owns its section, or noIndex if no team is described
};

/// The table for one document revision. Immutable once compiled.
struct RoutingTable
{
    std::int64_t revision = 0;
    std::vector<WorkerSpec> workers;
    std::vector<PoolSpec> pools;
    std::vector<ServiceSpec> services;
    std::vector<TeamSpec> teams;
    std::unordered_map<std::string, Index> serviceIndex;
    std::unordered_map<std::string, Index> workerIndex;

    /// The service with that name, or nullptr.
    const ServiceSpec *service(const std::string &name) const;
    /// The worker with that name, or nullptr.
    const WorkerSpec *worker(const std::string &name) const;
};

/// A VM that serves in another pool than the document's, since it is lent.
struct Placement
{
    std::string vm;
    std::string pool;

    auto operator<=>(const Placement &) const = default;
};

/// Compiles a document that has no findings. A VM that is placed in a pool that the document does
/// not have is in none.
RoutingTable compileRoutingTable(const model::Document &document,
                                 const std::vector<Placement> &placements = {});

} // namespace sassafrasferry::policy
