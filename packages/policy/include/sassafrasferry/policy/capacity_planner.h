// When a VM of the spare pool moves to a pool whose demand has outgrown it, and when it returns.
#pragma once

#include <sassafrasferry/model/names.h>
#include <sassafrasferry/policy/time.h>

#include <cstddef>
#include <vector>

namespace sassafrasferry::policy {

/// How moves are decided.
enum class MovePolicy {
    Outlasting, ///< only if the turn of demand is likely to outlast the move
    Always, ///< as soon as demand passes capacity, and back as soon as it does not
    Never,
};

constexpr auto enumNames(MovePolicy)
{
    using model::EnumName;
    return std::array{EnumName{MovePolicy::Outlasting, "outlasting"},
                      EnumName{MovePolicy::Always, "always"}, EnumName{MovePolicy::Never, "never"}};
}

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

} // namespace sassafrasferry::policy
