// When a VM of the spare pool moves to a pool whose demand has outgrown it, and when it returns.
#pragma once

#include <sassafrasferry/model/vocabulary.h>
#include <sassafrasferry/policy/time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace sassafrasferry::policy {

using model::MovePolicy;

/// Times and bounds of moves.
struct CapacityTimes
{
    Duration move = std::chrono::seconds(60); ///< from the decision to serving in the other pool
    Duration steady = std::chrono::seconds(10); ///< demand must have held this long
    double high = 1.0; ///< demand over capacity that calls for more VMs
    double low = 0.5; ///< below it borrowed VMs go back
};

/// What is wanted for one pool.
enum class MoveWish { Stay, Borrow, Return };

/// Watches one pool's demand and wishes for moves.
///
/// Turns of demand are remembered by how long they lasted. A move pays only if the turn it is made
/// for is still on when the VM has arrived and for as long again; the lower bound for returning
/// (hysteresis) keeps a demand that swings around the capacity from moving a VM to and fro.
class CapacityPlanner
{
public:
    CapacityPlanner(MovePolicy policy, CapacityTimes times);

    /// `demand`: work offered over the pool's capacity, 1 being just full. `borrowed`: VMs it has
    /// or awaits from the spare pool.
    MoveWish observe(double demand, std::size_t borrowed, Instant now);

private:
    Duration usualTurn() const;
    MoveWish outlasting(std::size_t borrowed, Instant now) const;

    static constexpr std::size_t turnsRemembered = 8;

    MovePolicy policy;
    CapacityTimes times;
    bool isHigh = false; // demand passes `high`
    bool isLow = false; // demand lies below `low`
    Instant since{}; // of the present state
    std::vector<Duration> turns; // lengths of past turns, newest last
};

/// One pool's load, as the holder of the control lease knows it.
struct PoolLoad
{
    std::string pool;
    double demand = 0; ///< slots that the work offered would keep busy
    double capacity = 0; ///< slots of its VMs in service, borrowed ones included
    double slotsPerVm = 8;
    std::size_t borrowed = 0; ///< VMs that it has or awaits for demand
};

/// What is wanted for one pool, and for how many VMs.
struct PoolWish
{
    std::string pool;
    MoveWish wish = MoveWish::Stay;
    std::size_t vms = 0;
};

/// Watches the demand of all pools. Lives as long as a process holds the control lease: the next
/// holder learns the usual turns anew.
class DemandPlanner
{
public:
    DemandPlanner(MovePolicy policy, CapacityTimes times);

    /// The wishes of pools that want something.
    std::vector<PoolWish> observe(const std::vector<PoolLoad> &loads, Instant now);

private:
    struct Watched
    {
        std::string pool;
        CapacityPlanner planner;
    };

    Watched &watched(const std::string &pool);

    MovePolicy policy;
    CapacityTimes times;
    std::vector<Watched> pools;
};

} // namespace sassafrasferry::policy
