// How much work is offered to a pool: measured by each entry VM, told to the holder of the control
// lease, and summed there.
#pragma once

#include <sassafrasferry/policy/time.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasferry::policy {

/// Work offered over the last seconds, whether it was admitted or not.
class OfferedWork
{
public:
    /// A request arrived that will take `runTime`.
    void add(Duration runTime, Instant now);
    /// Slots that the work of the last whole seconds would keep busy.
    double slots(Instant now) const;

private:
    static constexpr std::size_t lookBack = 4; // seconds

    struct Second
    {
        std::int64_t number = -1; // since the clock's epoch
        Duration work{};
    };

    std::array<Second, lookBack + 1> ring{}; // the last one is not whole yet
};

/// Work offered to one pool, in slots.
struct PoolDemand
{
    std::string pool;
    double slots = 0;
    double capacity = 0; ///< slots of the whole pool; not told
};

/// What an entry VM has to say of its demand.
struct DemandReport
{
    std::vector<PoolDemand> pools;
    bool isWhole = false; ///< pools that it does not name have none; else they are as before
};

/// What one entry VM tells the holder of the lease: pools whose demand has changed enough to
/// matter since it was last told, and all of them now and then, since a message may be lost.
///
/// All entry VMs together may so be wrong by a tenth of a pool's capacity, however many they are.
/// A bound on each one's change alone would hide the small parts of sixty, or tell noise.
class DemandTold
{
public:
    /// The report that is due now to `holder`; empty and not whole if none is. `current` names
    /// every pool.
    DemandReport due(const std::vector<PoolDemand> &current, const std::string &newHolder,
                     std::size_t entries);

private:
    static constexpr int roundsToAll = 150;

    std::string holder;
    std::vector<PoolDemand> told;
    int rounds = 0; // since all were told
};

/// What the entry VMs have told.
class DemandHeard
{
public:
    void heard(const std::string &entry, const DemandReport &report);
    /// The work offered to a pool through the entry VMs named.
    double slots(const std::string &pool, const std::vector<std::string> &entries) const;

private:
    struct Item
    {
        std::string entry;
        PoolDemand demand;
    };

    std::vector<Item> items;
};

} // namespace sassafrasferry::policy
