// Which worker of a pool gets a request.
#pragma once

#include <sassafrasferry/model/vocabulary.h>
#include <sassafrasferry/policy/loans.h>
#include <sassafrasferry/policy/request_queue.h>
#include <sassafrasferry/policy/routing_table.h>
#include <sassafrasferry/policy/shares.h>
#include <sassafrasferry/policy/worker_health.h>

#include <random>
#include <string>
#include <vector>

namespace sassafrasferry::policy {

/// Why a worker was chosen; printed in the decision's log line.
enum class RouteReason {
    FreeShare, ///< A free slot of this entry VM's own share.
    Borrowed, ///< A slot lent by another entry VM.
    Trial, ///< Beyond the share; the worker may refuse.
    Probe, ///< An ejected worker's single chance to return.
    Baseline, ///< Chosen by one of the baseline policies.
};

constexpr auto enumNames(RouteReason)
{
    using model::EnumName;
    return std::array{EnumName{RouteReason::FreeShare, "free-share"},
                      EnumName{RouteReason::Borrowed, "borrowed"},
                      EnumName{RouteReason::Trial, "trial"}, EnumName{RouteReason::Probe, "probe"},
                      EnumName{RouteReason::Baseline, "baseline"}};
}

/// Why a worker gets no new work though the document lists it.
enum class LeavingSignal {
    None,
    List, ///< the platform's list says that it leaves
    Draining, ///< its row in the store says so
    Refusal, ///< the worker itself said so
    Closed, ///< its port refused a connection
};

constexpr auto enumNames(LeavingSignal)
{
    using model::EnumName;
    return std::array{EnumName{LeavingSignal::None, "none"}, EnumName{LeavingSignal::List, "list"},
                      EnumName{LeavingSignal::Draining, "draining"},
                      EnumName{LeavingSignal::Refusal, "refusal"},
                      EnumName{LeavingSignal::Closed, "closed"}};
}

/// What says that a worker is leaving. Each source speaks for itself alone: a list that no longer
/// names a VM must not put a VM back to use that has a row in the store.
struct LeavingMarks
{
    bool listed = false;
    bool draining = false;
    LeavingSignal own = LeavingSignal::None; ///< `Refusal` or `Closed`
    Instant ownUntil{}; ///< the worker is tried again after this

    /// The strongest signal that counts now.
    LeavingSignal signal(Instant now) const;
};

/// A worker as this entry VM uses it. Lives for the process, across document revisions.
struct WorkerState
{
    WorkerSpec spec;
    Index pool = noIndex; ///< noIndex once no revision lists it
    std::size_t ordinal = 0; ///< place within its pool
    std::uint32_t idleConnections = 0; ///< that this entry VM keeps open to it
    Share share;
    bool assigned = false; ///< belongs to this entry VM alone, under the `assigned` baseline
    std::uint32_t inUse = 0; ///< requests given to it and not finished
    Instant fullUntil{}; ///< after a refusal, when it may have a slot free again
    LoanBook lent;
    LoanBook borrowed;
    WorkerHealth health;
    LeavingMarks leaving;

    bool isLeaving(Instant now) const;
    /// Requests that this entry VM's part of the worker's connections allows at once. Idle ones are
    /// connections too: a worker closes what is beyond its limit, and a request on a connection
    /// that is closed so has an unknown outcome.
    std::uint32_t connectionBound() const;
    /// Slots this entry VM may fill now, by its share and by loans.
    std::uint32_t allowed(Instant now) const;
};

/// A worker that was chosen, and why.
struct Choice
{
    Index worker = noIndex;
    RouteReason reason = RouteReason::FreeShare;
};

/// Chooses among `candidates` (indices into `workers`) for one request.
class WorkerChoice
{
public:
    WorkerChoice(model::RoutingPolicy policy, std::uint64_t seed);

    /// The chosen worker, or `noIndex` if none may take the request now. `mayRefuse`: the request
    /// loses nothing but a round trip if the worker refuses it.
    Choice choose(const std::vector<WorkerState> &workers, const std::vector<Index> &candidates,
                  const Submission &request, bool mayRefuse, Instant now);

private:
    Choice chooseShare(const std::vector<WorkerState> &workers,
                       const std::vector<Index> &candidates, const Submission &request,
                       Instant now);
    Choice chooseTrial(const std::vector<WorkerState> &workers,
                       const std::vector<Index> &candidates, const Submission &request,
                       Instant now);
    Choice chooseBaseline(const std::vector<WorkerState> &workers,
                          const std::vector<Index> &candidates, const Submission &request,
                          Instant now);

    model::RoutingPolicy policy;
    std::minstd_rand random;
    std::size_t turn = 0; // rotates ties, and is the round robin's position
};

} // namespace sassafrasferry::policy
