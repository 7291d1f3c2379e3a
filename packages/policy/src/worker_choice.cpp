// The choice of a worker, and the baselines it is measured against.
#include <sassafrasferry/policy/worker_choice.h>

#include <algorithm>

namespace sassafrasferry::policy {

namespace {

using model::RoutingPolicy;

bool isAvoided(const Submission &request, const WorkerState &worker)
{
    return std::find(request.avoid.begin(), request.avoid.end(), worker.spec.name)
           != request.avoid.end();
}

bool mayTake(const WorkerState &worker, Instant now)
{
    return now >= worker.fullUntil && !worker.isLeaving(now) && worker.health.accepts(now);
}

RouteReason reasonOf(const WorkerState &worker, Instant now)
{
    if (worker.health.state(now) == WorkerHealth::State::Probing)
        return RouteReason::Probe;
    return worker.inUse < worker.share.slots ? RouteReason::FreeShare : RouteReason::Borrowed;
}

// Larger is better: a worker that this request has not failed on, then a rack other than that of
// the last failure, then free slots. Failures are passed over only while there is another worker: a
// request that has failed on all of them would else wait at the head of its queue, in front of
// others that could run.
std::uint32_t rankOf(const WorkerState &worker, const Submission &request, std::uint32_t free)
{
    constexpr std::uint32_t rackWeight = 1U << 16;
    constexpr std::uint32_t freshWeight = 1U << 17;
    const bool isOtherRack = request.avoidRack.empty() || worker.spec.rack != request.avoidRack;
    const bool isFresh = !isAvoided(request, worker);
    return free + (isOtherRack ? rackWeight : 0) + (isFresh ? freshWeight : 0);
}

} // namespace

LeavingSignal LeavingMarks::signal(Instant now) const
{
    if (this->draining)
        return LeavingSignal::Draining;
    if (this->listed)
        return LeavingSignal::List;
    return now < this->ownUntil ? this->own : LeavingSignal::None;
}

bool WorkerState::isLeaving(Instant now) const
{
    return this->leaving.signal(now) != LeavingSignal::None;
}

std::uint32_t WorkerState::connectionBound() const
{
    const auto connections = this->share.connections;
    return connections > this->idleConnections ? connections - this->idleConnections
                                               : std::min(1U, connections);
}

std::uint32_t WorkerState::allowed(Instant now) const
{
    const auto sum = this->share.slots + this->borrowed.slots(now);
    const auto lentSlots = this->lent.slots(now);
    const auto bySlots = std::min(this->spec.slots, sum > lentSlots ? sum - lentSlots : 0);
    return std::min(bySlots, this->connectionBound());
}

WorkerChoice::WorkerChoice(RoutingPolicy policy, std::uint64_t seed)
    : policy(policy)
    , random(static_cast<std::minstd_rand::result_type>(seed))
{}

Choice WorkerChoice::choose(const std::vector<WorkerState> &workers,
                            const std::vector<Index> &candidates, const Submission &request,
                            bool mayRefuse, Instant now)
{
    if (candidates.empty())
        return {};
    ++this->turn;
    switch (this->policy) {
    case RoutingPolicy::LoansTrials:
    case RoutingPolicy::Trials: {
        const auto choice = this->chooseShare(workers, candidates, request, now);
        if (choice.worker != noIndex || !mayRefuse)
            return choice;
        return this->chooseTrial(workers, candidates, request, now);
    }
    case RoutingPolicy::Loans:
    case RoutingPolicy::FixedShares:
        return this->chooseShare(workers, candidates, request, now);
    case RoutingPolicy::LeastOutstanding:
    case RoutingPolicy::RoundRobin:
    case RoutingPolicy::Random:
    case RoutingPolicy::Assigned:
        return this->chooseBaseline(workers, candidates, request, now);
    }
    return {};
}

Choice WorkerChoice::chooseShare(const std::vector<WorkerState> &workers,
                                 const std::vector<Index> &candidates, const Submission &request,
                                 Instant now)
{
    Choice best;
    std::uint32_t bestRank = 0;
    const auto count = candidates.size();
    for (std::size_t i = 0; i < count; ++i) {
        const auto index = candidates[(i + this->turn) % count];
        const auto &worker = workers[index];
        const auto allowed = worker.allowed(now);
        if (worker.inUse >= allowed || !mayTake(worker, now))
            continue;
        const auto rank = rankOf(worker, request, allowed - worker.inUse);
        if (best.worker == noIndex || rank > bestRank) {
            best = {index, reasonOf(worker, now)};
            bestRank = rank;
        }
    }
    return best;
}

Choice WorkerChoice::chooseTrial(const std::vector<WorkerState> &workers,
                                 const std::vector<Index> &candidates, const Submission &request,
                                 Instant now)
{
    const auto count = candidates.size();
    for (std::size_t i = 0; i < count; ++i) {
        const auto index = candidates[(i + this->turn) % count];
        const auto &worker = workers[index];
        const bool hasRoom = worker.inUse < worker.spec.slots;
        const bool isFit = worker.health.state(now) == WorkerHealth::State::Fit;
        if (hasRoom && isFit && worker.connectionBound() > worker.inUse
            && !isAvoided(request, worker) && mayTake(worker, now))
            return {index, RouteReason::Trial};
    }
    return {};
}

Choice WorkerChoice::chooseBaseline(const std::vector<WorkerState> &workers,
                                    const std::vector<Index> &candidates, const Submission &request,
                                    Instant now)
{
    std::vector<Index> fit;
    for (const auto index : candidates) {
        const auto &worker = workers[index];
        const bool isOurs = this->policy != RoutingPolicy::Assigned || worker.assigned;
        if (isOurs && worker.inUse < worker.spec.slots && mayTake(worker, now))
            fit.push_back(index);
    }
    const auto avoided = [&](Index index) {
        return isAvoided(request, workers[index]);
    };
    if (!std::all_of(fit.begin(), fit.end(), avoided))
        std::erase_if(fit, avoided);
    if (fit.empty())
        return {};
    if (this->policy == RoutingPolicy::Random)
        return {fit[this->random() % fit.size()], RouteReason::Baseline};
    if (this->policy == RoutingPolicy::RoundRobin)
        return {fit[this->turn % fit.size()], RouteReason::Baseline};
    const auto least = std::min_element(fit.begin(), fit.end(), [&](Index a, Index b) {
        return workers[a].inUse < workers[b].inUse;
    });
    return {*least, RouteReason::Baseline};
}

} // namespace sassafrasferry::policy
