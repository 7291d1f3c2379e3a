// Plans moves of VMs between pools and maintenance waves. Does no I/O and reads no clock: the
// caller passes the time in and sends the returned orders. Workers are emptied through the
// scheduler.
#pragma once

#include <sassafrasferry/scheduling/open_vm_order.h>
#include <sassafrasferry/scheduling/pool_sizing.h>

#include <map>
#include <set>

namespace sassafrasferry::scheduling {

/// State of a VM as reported by the platform.
enum class VmState {
    Up,
    Moving,
    Maintenance,
    Down,
};

/// A VM as listed by the platform.
struct Vm
{
    std::string name;
    std::string pool;
    VmState state = VmState::Up;
    std::string kind;
    std::string rack;
    Resources capacity;
    std::string worker; ///< id of the VM's current worker incarnation; empty: none
};

/// A maintenance wave as ordered by an operator.
struct Wave
{
    std::int64_t number = 0;
    std::vector<std::string> vms;
    Duration within{0}; ///< time limit for the maintenance of all VMs of the wave
    std::size_t atOnce = 1; ///< maximum number of VMs under maintenance at the same time
};

/// Progress of a wave.
struct WaveProgress
{
    Wave wave;
    Instant seenAt{}; ///< when this process learned of the wave
    std::set<std::string> done; ///< VMs whose maintenance has begun, or that can't be maintained
    bool completed = false;
    std::uint64_t changes = 0; ///< number of changes to `done` and `completed`
    /// By VM of the wave: number of successive lists without it that were requested after this
    /// process learned of the wave.
    std::map<std::string, std::size_t> absences;
};

/// Outcome of a call to the platform.
enum class FleetAnswer {
    Accepted, ///< the order was executed, now or by an earlier call
    Busy, ///< the VM is not up
    NotInWave,
    Impossible, ///< no such VM, or its kind is not allowed in the pool
    Refused, ///< the order was not executed and can be retried
    NoAnswer, ///< the order may have been executed or may yet be
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

/// Time limits and weights of the planner.
struct FleetPlannerOptions
{
    PoolSizingOptions sizing;
    /// Per planning round, since the platform limits calls per second.
    std::size_t maxOrdersPerRound = 12;
    /// Until the next order to a VM whose last order was not accepted.
    Duration retryDelay = std::chrono::milliseconds(400);
    /// Time that tasks without checkpoints get to finish before an evacuation stops them.
    Duration evacuationGracePeriod = std::chrono::milliseconds(2500);
    double waveTimeFraction = 0.75; ///< fraction of its time limit in which a wave should complete
    /// Expected time per VM to evacuate it, maintain it and return it to service.
    Duration maintenanceTime = std::chrono::milliseconds(6000);
    /// Largest fraction of a pool's workers that are evacuated for a wave at the same time.
    double maxEvacuatingPoolFraction = 0.34;
    /// Successive lists without a VM of a wave after which the VM counts as gone. The pages of one
    /// list are read one after another, so a VM that changes meanwhile can be missing from all.
    std::size_t absencesOfGoneVm = 2;
};

class FleetPlanner
{
public:
    explicit FleetPlanner(FleetPlannerOptions options);

    /// Applies the platform's list of VMs, which was requested at `askedAt`.
    void updateVms(const std::vector<Vm> &vms, Instant askedAt);
    void addWave(const Wave &wave, std::set<std::string> done, Instant now);
    /// Issues no order about the VM before `until`.
    void deferOrders(const std::string &vm, Instant until);
    /// Takes over an order of an earlier leader that the platform may still execute. The VM gets no
    /// work, and no order before `until`; then the order is sent again until it is answered.
    void adoptOrder(const OpenVmOrder &open, Scheduler &scheduler, Instant until);
    /// Gives work again to VMs whose adopted order has been executed or was never sent.
    void releaseSettledVms(Scheduler &scheduler);
    /// Orders that the platform may execute from now on, including adopted ones.
    std::vector<OpenVmOrder> openOrders() const;
    std::vector<FleetOrder> plan(Scheduler &scheduler, Instant now, UnixMilliseconds unixNow);
    /// True if the order can be sent now: the VM still holds nothing that would be lost with it, or
    /// an earlier call of the order is unanswered, so that the platform may execute it in any case.
    bool canSend(const FleetOrder &order, const Scheduler &scheduler, Instant now) const;
    void handleAnswer(const FleetOrder &order, FleetAnswer answer, Scheduler &scheduler,
                      Instant now);

    const std::map<std::int64_t, WaveProgress> &waves() const;
    /// True while a VM is not up or an order is in progress, so that the platform's list will
    /// change.
    bool hasPendingChanges() const;
    /// True while further lists have to show whether a VM of a wave exists.
    bool hasMissingWaveVms() const;
    std::vector<DecisionNote> takeNotes();

private:
    struct Entry
    {
        Vm vm;
        Instant vmChangedAt{}; ///< when an accepted order last changed `vm`
        Instant noOrderBefore{}; ///< no order is issued before this time
        /// Order that was planned, and whose call has not been answered or given up yet.
        std::optional<FleetOrder> orderInProgress;
        /// Worker incarnation that the current order ends, whenever the platform executes it.
        std::string workerToEnd;
        /// Order whose call got no answer, so that the platform may still execute it. It is sent
        /// again until it is answered.
        std::optional<FleetOrder> unansweredOrder;
        /// `unansweredOrder` is of an earlier leader, which may not have sent it, and this leader
        /// has not sent it either.
        bool isAdopted = false;
        bool listed = true;
        std::int64_t evacuatingForWave = 0; ///< wave that the worker is evacuated for; 0: none
        Instant evacuatingSince{};
    };

    /// Supply of VMs in a pool and the need for them.
    struct Pool
    {
        std::vector<Entry *> upVms;
        std::size_t count = 0; ///< VMs of the pool, including those that are moving to it
        PoolNeed need;
        std::vector<UnplacedNeed> unplaced; ///< of its waiting tasks
        bool standby = false;
    };

    struct Round;

    void repeatUnansweredOrders(Round &round);
    void computeNeeds(Round &round);
    void divideShortPools(Round &round);
    void keepPlaces(const std::string &service, Pool &pool, const std::vector<PlaceNeed> &waiting,
                    Round &round);
    void movePlaces(Round &round);
    std::size_t tasksOnArrivals(const PlaceNeed &need, const std::string &pool,
                                const Round &round) const;
    std::vector<Entry *> placesElsewhere(const PlaceNeed &need, const std::string &target,
                                         Round &round);
    void moveVmsByNeed(Round &round);
    void coverShortages(std::size_t PoolNeed::*desired, std::size_t PoolNeed::*minimum,
                        Round &round);
    void moveSurplusToStandby(Round &round);
    void cordonVms(Round &round);
    void planWave(WaveProgress &progress, Round &round);
    void completeWave(WaveProgress &progress);
    void countAbsences(Instant askedAt);
    bool isListed(const std::string &vm) const;
    bool isGone(const WaveProgress &progress, const std::string &vm, Scheduler &scheduler) const;
    std::size_t countUnderMaintenance(const WaveProgress &progress) const;
    bool canReceiveOrder(const Entry &entry, const Round &round) const;
    bool isEmpty(const Entry &entry, const Round &round) const;
    static bool isMaintenanceOpen(const Entry &entry);
    bool isMovable(const Entry &entry, const Round &round) const;
    void issueOrder(Entry &entry, FleetOrder order, Round &round);
    void settleOrder(Entry &entry, Scheduler &scheduler);
    Entry *findSpareVm(const std::string &pool, std::size_t PoolNeed::*minimum, Round &round);

    FleetPlannerOptions options;
    std::map<std::string, Entry> vms;
    std::map<std::int64_t, WaveProgress> waveTable;
    PoolSizing sizing;
    // "kind pool" pairs that the platform reported as impossible.
    std::set<std::string> impossibleMoves;
    std::vector<DecisionNote> notes;
};

} // namespace sassafrasferry::scheduling
