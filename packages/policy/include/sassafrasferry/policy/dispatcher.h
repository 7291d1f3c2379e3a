// The dispatcher of one entry VM: admits requests, queues them, gives them to workers, and learns
// from what became of them. It has no clock, no thread and no I/O; callers serialise access.
#pragma once

#include <sassafrasferry/model/settings.h>
#include <sassafrasferry/policy/demand.h>
#include <sassafrasferry/policy/dispatcher_status.h>
#include <sassafrasferry/policy/grants.h>
#include <sassafrasferry/policy/hopeless_jobs.h>
#include <sassafrasferry/policy/loans.h>
#include <sassafrasferry/policy/preemption.h>
#include <sassafrasferry/policy/request_queue.h>
#include <sassafrasferry/policy/retry_budget.h>
#include <sassafrasferry/policy/routing_table.h>
#include <sassafrasferry/policy/run_times.h>
#include <sassafrasferry/policy/team_quota.h>
#include <sassafrasferry/policy/worker_choice.h>

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sassafrasferry::policy {

/// News about a worker that other entry VMs should hear.
struct LeavingNews
{
    std::string worker;
    LeavingSignal signal = LeavingSignal::None;
};

/// What an event changed for waiting requests, and what it taught about workers.
struct Changes
{
    std::vector<Grant> grants;
    std::vector<Refusal> refusals;
    std::vector<LeavingNews> news;
    std::vector<RequestId> preempted; ///< granted requests to be stopped now
};

/// What a wish of another entry VM led to.
struct Lending
{
    Loan loan;
    Changes changes;
};

/// The dispatcher.
class Dispatcher
{
public:
    Dispatcher(model::RoutingSettings settings, std::string entry, std::uint64_t seed);

    /// Learns the workers of a routing table without using them yet, so that they can be marked as
    /// leaving before `adopt` lets requests reach them.
    void expect(const RoutingTable &table);
    /// Takes a newer routing table. Requests of services that are gone are refused.
    Changes adopt(const RoutingTable &table, Instant now);
    /// Takes a new view of the live entry VMs.
    Changes setLive(const std::vector<std::string> &liveEntries, Instant now);

    /// A request arrives, or returns after a failure.
    Admission submit(Submission request, Instant now);
    /// A granted request ended; its slot is free.
    Changes finish(const RunReport &report, Instant now);
    /// The caller of a waiting request gave up. True if it was waiting.
    bool cancel(RequestId id);
    /// Refuses what can no longer be in time, and gives out slots that time has freed.
    Changes tick(Instant now);

    /// A job failed on a worker. True if it is hopeless from now on.
    bool jobFailed(JobFingerprint job, Index worker, Instant now);
    /// Takes one retry of the service's budget, if there is one left.
    bool takeRetry(const std::string &service);
    /// When a new try of a refused request makes sense, with jitter.
    Duration retryAfter(const std::string &service);

    /// A signal that a worker is leaving, or, `None`, that the list and the worker itself no longer
    /// say so. True if that changes whether it gets new work.
    bool setLeaving(const std::string &worker, LeavingSignal signal, Instant now);
    /// A worker has no row in the store any more.
    void drained(const std::string &worker);
    /// Workers with a row in the store on which requests of this entry VM still run.
    std::vector<std::string> busyDraining() const;

    /// Pools that wait for slots.
    std::vector<LoanWish> loanWishes(Instant now) const;
    /// Lends idle slots of a pool to another entry VM, and for its overdue urgent requests also
    /// slots of background requests, which are stopped. An empty loan lends nothing.
    Lending lend(const LoanWish &wish, Instant now);
    /// Takes slots that another entry VM has lent.
    Changes borrow(const Loan &loan, Instant now);

    /// Teams that wait for more of their quota.
    std::vector<QuotaWish> quotaWishes(Instant now) const;
    /// Lends unused quota of a team to another entry VM; zero processors lend nothing.
    QuotaLoan lendQuota(const QuotaWish &wish, Instant now);
    Changes borrowQuota(const QuotaLoan &loan, Instant now);

    /// The work offered to each pool by the requests of its own services.
    std::vector<PoolDemand> demand(Instant now) const;
    std::vector<TeamStatus> teamStatus(Instant now) const;
    std::vector<PoolStatus> poolStatus(Instant now) const;
    std::vector<WorkerStatus> workerStatus(Instant now) const;
    std::size_t waiting() const;

private:
    struct PoolState
    {
        std::string name;
        std::vector<Index> workers;
        std::vector<Index> services; // those that run or overflow here
        ClassTurns turns;
    };
    struct ServiceState
    {
        ServiceSpec spec;
        bool present = true;
        RequestQueue queue;
        RunTimes runTimes{Duration{}};
        RetryBudget retries{0};
        OfferedWork offered;
        std::uint32_t running = 0;
        Index team = noIndex;
    };
    struct TeamState
    {
        TeamSpec spec;
        TeamQuota quota;
    };
    // What a running request holds of its team's quota. Kept by request, since a change of the
    // document may give its service to another team while it runs.
    struct Charge
    {
        Index team = noIndex;
        std::uint32_t processors = 0;
    };
    // Which slots are counted: those that may be filled now, or the shares, lent or not.
    enum class SlotCount { Allowed, Owned };
    struct GiveUp
    {
        Instant at{};
        RequestId id{};
        Index service = noIndex;
        auto operator<=>(const GiveUp &) const = default;
    };

    ServiceState *findService(const std::string &name);
    void adoptWorkers(const RoutingTable &table);
    void adoptServices(const RoutingTable &table);
    void adoptTeams(const RoutingTable &table);
    void recomputeShares();
    void divideQuotas();
    const TeamState *limitingTeam(const ServiceState &service) const;
    bool quotaHasRoom(const ServiceState &service, Instant now) const;
    Duration quotaWait(const ServiceState &service, model::RequestClass requestClass,
                       Instant now) const;
    void charge(const ServiceState &service, const WorkerState &worker, RequestId id);
    void discharge(RequestId id);
    std::optional<Grant> tryGrant(Index service, const Submission &request, Instant now);
    std::optional<Grant> grantOn(Index pool, Index service, const Submission &request, Instant now);
    void serve(Index pool, Changes &changes, Instant now);
    void serveAll(Changes &changes, Instant now);
    Index nextService(const PoolState &pool, model::RequestClass requestClass, Instant now);
    std::array<bool, model::requestClassCount> waitingClasses(const PoolState &pool,
                                                              Instant now) const;
    std::uint32_t slotsOf(Index pool, SlotCount count, Instant now) const;
    double capacityFor(const ServiceState &service, SlotCount count, Instant now) const;
    Duration predictedWait(const ServiceState &service, model::RequestClass requestClass,
                           double capacity) const;
    bool isPreemptible(const ServiceState &service, const Submission &request) const;
    std::size_t overdueUrgent(const ServiceState &service, Instant now) const;
    std::vector<Preempted> preemptIn(Index pool, std::size_t wanted);
    void lendIdle(const PoolState &pool, std::uint32_t wanted, Loan &loan, Instant now);
    void lendPreempted(Index pool, std::uint32_t wanted, Lending &lending, Instant now);
    void makeRoom(Changes &changes, Instant now);
    bool mayEject(const WorkerState &worker, Instant now) const;
    void noteResult(WorkerState &worker, ServiceState *service, const RunReport &report,
                    Instant now);
    Duration jittered(Duration duration);
    Refusal refuse(RequestId id, RefusalReason reason, Duration retryAfter);

    model::RoutingSettings settings;
    std::string entry;
    std::vector<std::string> live;
    std::minstd_rand random;
    WorkerChoice choice;
    HopelessJobs hopeless;
    Preemption preemption;
    std::vector<WorkerState> workers; // grows only; indices in grants stay valid
    std::vector<PoolState> pools; // as in the newest table
    std::vector<ServiceState> services; // grows only
    std::vector<TeamState> teams; // grows only
    std::unordered_map<RequestId, Charge> charges; // of running requests of teams with a quota
    std::unordered_map<std::string, Index> teamIndex;
    std::unordered_map<std::string, Index> workerIndex;
    std::unordered_map<std::string, Index> serviceIndex;
    std::set<GiveUp> giveUps; // one for each waiting request; stale ones are dropped when due
};

} // namespace sassafrasferry::policy
