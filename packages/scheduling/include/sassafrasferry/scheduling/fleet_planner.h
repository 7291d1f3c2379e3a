// Moves of VMs between pools, and maintenance waves. Pure: the time is handed in, orders are taken
// out, and the scheduler is asked to empty workers.
#pragma once

#include <sassafrasferry/scheduling/pool_sizing.h>

#include <map>
#include <set>

namespace sassafrasferry::scheduling {

/// Where the platform says that a VM stands.
enum class VmState {
    Up,
    Moving,
    Maintenance,
    Down,
};

/// A VM as the platform lists it.
struct Vm
{
    std::string name;
    std::string pool;
    VmState state = VmState::Up;
    std::string kind;
    std::string rack;
    Resources capacity;
    std::string worker; ///< the id of its present incarnation; empty: none
};

/// A maintenance wave as operators order it.
struct Wave
{
    std::int64_t number = 0;
    std::vector<std::string> vms;
    Duration within{0}; ///< all are to be maintained in this time
    std::size_t atOnce = 1; ///< under maintenance at the most
};

/// How far a wave has come.
struct WaveProgress
{
    Wave wave;
    Instant seenAt{};
    std::set<std::string> done; ///< whose maintenance has begun
    bool completed = false;
    std::uint64_t changes = 0; ///< of `done` and `completed`
};

enum class FleetAction {
    Move,
    Maintain,
};

/// A call to the platform. All that still runs on the VM ends with it.
struct FleetOrder
{
    FleetAction action = FleetAction::Move;
    std::string vm;
    std::string pool; ///< to move to
    std::int64_t wave = 0; ///< to maintain for
};

/// How such a call ended.
enum class FleetAnswer {
    Accepted, ///< done, or done before
    Busy, ///< the VM is not up
    NotInWave,
    Impossible, ///< no such VM, or not a pool for it
    Refused, ///< nothing was done; later
    NoAnswer, ///< it may have been done
};

constexpr auto enumNames(FleetAnswer)
{
    return std::array{
        model::EnumName{FleetAnswer::Accepted, "accepted"},
        model::EnumName{FleetAnswer::Busy, "busy"},
        model::EnumName{FleetAnswer::NotInWave, "not-in-wave"},
        model::EnumName{FleetAnswer::Impossible, "impossible"},
        model::EnumName{FleetAnswer::Refused, "refused"},
        model::EnumName{FleetAnswer::NoAnswer, "no-answer"},
    };
}

/// Times and weights of the planner.
struct FleetTerms
{
    PoolSizingTerms sizing;
    std::size_t mostOrders = 12; ///< a round; the platform bounds calls a second
    Duration retry = std::chrono::milliseconds(400); ///< of a VM whose order was not accepted
    Duration evacuationPatience = std::chrono::milliseconds(2500); ///< for tasks without checkpoint
    double waveShare = 0.75; ///< of its time, in which a wave should be through
    Duration maintenanceTime = std::chrono::milliseconds(6000); ///< emptying, maintenance, return
    double mostOfPool = 0.34; ///< of a pool's workers emptied for waves at a time
};

class FleetPlanner
{
public:
    explicit FleetPlanner(FleetTerms terms);

    /// The platform's list, as asked for at `askedAt`.
    void listVms(const std::vector<Vm> &vms, Instant askedAt);
    void addWave(const Wave &wave, std::set<std::string> done, Instant now);
    /// No order about a VM before then.
    void defer(const std::string &vm, Instant until);
    std::vector<FleetOrder> plan(Scheduler &scheduler, Instant now, UnixMilliseconds unixNow);
    /// Nothing has become known since the order was planned that would be lost by it.
    bool mayGive(const FleetOrder &order, const Scheduler &scheduler, Instant now) const;
    void answered(const FleetOrder &order, FleetAnswer answer, Scheduler &scheduler, Instant now);

    const std::map<std::int64_t, WaveProgress> &waves() const;
    /// True while something changes that the platform's list tells.
    bool isBusy() const;
    std::vector<DecisionNote> takeNotes();

private:
    struct Entry
    {
        Vm vm;
        Instant changedAt{}; ///< when an order changed what the list says
        Instant waitUntil{}; ///< no order before this
        bool ordered = false; ///< a call is under way
        /// The incarnation that the order under way ends, whenever it is carried out.
        std::string endingWorker;
        /// A call that had no answer, and so may be carried out yet: given again until it has one.
        std::optional<FleetOrder> unanswered;
        bool listed = true;
        std::int64_t leavingFor = 0; ///< the wave for which its worker is emptied; 0: none
        Instant leavingSince{};
    };

    /// What a pool has and wants.
    struct Pool
    {
        std::vector<Entry *> up;
        std::size_t count = 0; ///< with those that are on their way here
        PoolNeed need;
        bool standby = false;
    };

    struct Round;

    void repeatUnanswered(Round &round);
    void measure(Round &round);
    void moveToNeed(Round &round);
    void moveTo(std::size_t PoolNeed::*wanted, std::size_t PoolNeed::*kept, Round &round);
    void moveToStandby(Round &round);
    void cordonVms(Round &round);
    void planWave(WaveProgress &progress, Round &round);
    void finishWave(WaveProgress &progress);
    std::size_t underMaintenance(const WaveProgress &progress) const;
    bool isFree(const Entry &entry, const Round &round) const;
    bool isEmpty(const Entry &entry, const Round &round) const;
    bool mayMove(const Entry &entry, const Round &round) const;
    void order(Entry &entry, FleetOrder order, Round &round);
    Entry *spareFor(const std::string &pool, std::size_t PoolNeed::*kept, Round &round);

    FleetTerms terms;
    std::map<std::string, Entry> vms;
    std::map<std::int64_t, WaveProgress> waveTable;
    PoolSizing sizing;
    std::set<std::string> impossible; // "kind pool" that the platform refused
    std::vector<DecisionNote> notes;
};

} // namespace sassafrasferry::scheduling
