// The granting of slots, and what is learnt when they come back.
#include <sassafrasferry/policy/dispatcher.h>

#include <algorithm>

namespace sassafrasferry::policy {

namespace {

using model::RequestClass;

constexpr Duration lateRetryAfter = std::chrono::seconds(1);

LeavingSignal signalOf(RunResult result)
{
    if (result == RunResult::Leaving)
        return LeavingSignal::Refusal;
    if (result == RunResult::Unreachable)
        return LeavingSignal::Closed;
    return LeavingSignal::None;
}

} // namespace

Dispatcher::Dispatcher(model::RoutingSettings settings, std::string entry, std::uint64_t seed)
    : settings(settings)
    , entry(std::move(entry))
    , live{this->entry}
    , random(static_cast<std::minstd_rand::result_type>(seed))
    , choice(settings.policy, seed)
{}

Dispatcher::ServiceState *Dispatcher::findService(const std::string &name)
{
    const auto at = this->serviceIndex.find(name);
    if (at == this->serviceIndex.end() || !this->services[at->second].present)
        return nullptr;
    return &this->services[at->second];
}

std::optional<Grant> Dispatcher::tryGrant(Index service, const Submission &request, Instant now)
{
    const auto &spec = this->services[service].spec;
    auto grant = this->grantOn(spec.pool, service, request, now);
    if (!grant && spec.overflow != noIndex && spec.overflow != spec.pool) {
        grant = this->grantOn(spec.overflow, service, request, now);
        if (grant)
            grant->overflowed = true;
    }
    return grant;
}

std::optional<Grant> Dispatcher::grantOn(Index pool, Index service, const Submission &request,
                                         Instant now)
{
    auto &state = this->services[service];
    if (!this->quotaHasRoom(state, now))
        return std::nullopt;
    const auto chosen = this->choice.choose(this->workers, this->pools[pool].workers, request,
                                            state.spec.idempotent, now);
    if (chosen.worker == noIndex)
        return std::nullopt;
    auto &worker = this->workers[chosen.worker];
    ++worker.inUse;
    ++state.running;
    this->charge(state, worker, request.id);
    if (chosen.reason == RouteReason::Probe)
        worker.health.probeSent();
    Grant grant{request.id,       chosen.worker,       worker.spec.name,
                worker.spec.rack, worker.spec.address, chosen.reason};
    grant.preemptible = this->isPreemptible(state, request);
    if (grant.preemptible)
        this->preemption.started(request.id, chosen.worker, now);
    return grant;
}

std::array<bool, model::requestClassCount> Dispatcher::waitingClasses(const PoolState &pool,
                                                                      Instant now) const
{
    // Those whose team has no quota left wait for their own team, not for a slot.
    std::array<bool, model::requestClassCount> waitingOnes{};
    for (const auto index : pool.services) {
        if (!this->quotaHasRoom(this->services[index], now))
            continue;
        for (std::size_t i = 0; i < model::requestClassCount; ++i) {
            if (this->services[index].queue.size(static_cast<RequestClass>(i)) > 0)
                waitingOnes[i] = true;
        }
    }
    return waitingOnes;
}

Index Dispatcher::nextService(const PoolState &pool, RequestClass requestClass, Instant now)
{
    // The service with the fewest requests running goes first: a surge of one service cannot keep
    // another one, whose queue is short, from the slots they share.
    Index next = noIndex;
    for (const auto index : pool.services) {
        const auto &service = this->services[index];
        if (service.queue.size(requestClass) == 0 || !this->quotaHasRoom(service, now))
            continue;
        if (next == noIndex || service.running < this->services[next].running)
            next = index;
    }
    return next;
}

void Dispatcher::serve(Index poolIndex, Changes &changes, Instant now)
{
    auto &pool = this->pools[poolIndex];
    for (;;) {
        const auto waitingOnes = this->waitingClasses(pool, now);
        if (std::none_of(waitingOnes.begin(), waitingOnes.end(), [](bool any) { return any; }))
            return;
        const auto requestClass = pool.turns.next(waitingOnes);
        const auto service = this->nextService(pool, requestClass, now);
        auto &queue = this->services[service].queue;
        const auto *request = queue.front(requestClass);
        auto grant = this->grantOn(poolIndex, service, *request, now);
        if (!grant)
            return;
        grant->overflowed = this->services[service].spec.pool != poolIndex;
        queue.erase(grant->id);
        pool.turns.granted(requestClass, waitingOnes);
        changes.grants.push_back(std::move(*grant));
    }
}

void Dispatcher::serveAll(Changes &changes, Instant now)
{
    for (Index pool = 0; pool < this->pools.size(); ++pool)
        this->serve(pool, changes, now);
}

bool Dispatcher::mayEject(const WorkerState &worker, Instant now) const
{
    if (!this->settings.ejection || worker.pool == noIndex)
        return false;
    const auto &pool = this->pools[worker.pool];
    double availability = 0;
    for (const auto index : pool.services) {
        const auto &spec = this->services[index].spec;
        if (spec.pool == worker.pool)
            availability = std::max(availability, spec.availability);
    }
    std::size_t out = 0;
    for (const auto index : pool.workers) {
        const auto &other = this->workers[index];
        out += other.health.state(now) != WorkerHealth::State::Fit || other.isLeaving(now) ? 1 : 0;
    }
    const auto mayBeOut = static_cast<double>(pool.workers.size()) * (1 - availability);
    return static_cast<double>(out + 1) <= std::max(1.0, mayBeOut);
}

void Dispatcher::noteResult(WorkerState &worker, ServiceState *service, const RunReport &report,
                            Instant now)
{
    const auto usual = service ? service->runTimes.median() : Duration{};
    switch (report.result) {
    case RunResult::Succeeded:
        worker.health.succeeded();
        this->hopeless.succeeded(report.job);
        if (service)
            service->runTimes.add(report.runTime);
        break;
    case RunResult::Failed:
        worker.health.failed(report.job, usual, now, this->mayEject(worker, now));
        break;
    case RunResult::Refused:
        // A slot frees after about one run time divided by the slots.
        worker.fullUntil = now + usual / std::max(1U, worker.spec.slots);
        worker.health.probeEnded();
        break;
    case RunResult::Leaving:
    case RunResult::Unreachable:
    case RunResult::Cancelled:
        worker.health.probeEnded();
        break;
    }
}

Changes Dispatcher::finish(const RunReport &report, Instant now)
{
    auto &worker = this->workers[report.worker];
    auto *service = this->findService(report.service);
    --worker.inUse;
    this->preemption.ended(report.id);
    this->discharge(report.id);
    // A service that has left the document still counts what it has running.
    const auto known = this->serviceIndex.find(report.service);
    if (known != this->serviceIndex.end())
        --this->services[known->second].running;
    this->noteResult(worker, service, report, now);
    Changes changes;
    const auto signal = signalOf(report.result);
    if (signal != LeavingSignal::None && this->setLeaving(worker.spec.name, signal, now))
        changes.news.push_back({worker.spec.name, signal});
    if (worker.pool != noIndex)
        this->serve(worker.pool, changes, now);
    return changes;
}

bool Dispatcher::cancel(RequestId id)
{
    for (auto &service : this->services) {
        if (service.queue.erase(id))
            return true;
    }
    return false;
}

Changes Dispatcher::tick(Instant now)
{
    Changes changes;
    this->serveAll(changes, now);
    this->makeRoom(changes, now);
    while (!this->giveUps.empty() && this->giveUps.begin()->at <= now) {
        const auto due = *this->giveUps.begin();
        this->giveUps.erase(this->giveUps.begin());
        auto &service = this->services[due.service];
        if (service.queue.erase(due.id))
            changes.refusals.push_back(
                this->refuse(due.id, RefusalReason::DeadlineUnreachable, lateRetryAfter));
    }
    return changes;
}

bool Dispatcher::jobFailed(JobFingerprint job, Index worker, Instant now)
{
    if (!this->settings.hopelessJobs)
        return false;
    const auto &state = this->workers[worker];
    return this->hopeless.failed(job, state.spec.name, state.health.servesWell(), now);
}

bool Dispatcher::takeRetry(const std::string &service)
{
    auto *state = this->findService(service);
    return state && state->retries.take();
}

} // namespace sassafrasferry::policy
