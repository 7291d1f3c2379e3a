// Admission, queueing and the granting of slots.
#include <sassafrasferry/policy/dispatcher.h>

#include <algorithm>

namespace sassafrasferry::policy {

namespace {

using model::AdmissionPolicy;
using model::RequestClass;
using model::RoutingPolicy;

constexpr double medianQuantile = 0.5;
constexpr Duration leastRetryAfter = std::chrono::seconds(1);
constexpr Duration noWorkersRetryAfter = std::chrono::seconds(5);
constexpr Duration leavingMark = std::chrono::seconds(5);
constexpr Duration closedMark = std::chrono::seconds(1);

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

void Dispatcher::expect(const RoutingTable &table)
{
    for (const auto &spec : table.workers) {
        const auto [at, isNew] =
            this->workerIndex.emplace(spec.name, static_cast<Index>(this->workers.size()));
        if (!isNew)
            continue;
        this->workers.emplace_back();
        this->workers.back().spec = spec;
    }
}

void Dispatcher::adoptWorkers(const RoutingTable &table)
{
    this->expect(table);
    for (auto &worker : this->workers)
        worker.pool = noIndex;
    this->pools.clear();
    for (const auto &poolSpec : table.pools) {
        const auto poolIndex = static_cast<Index>(this->pools.size());
        PoolState pool{poolSpec.name, {}, {}, {}};
        for (const auto specIndex : poolSpec.workers) {
            const auto &spec = table.workers[specIndex];
            const auto [at, isNew] =
                this->workerIndex.emplace(spec.name, static_cast<Index>(this->workers.size()));
            if (isNew)
                this->workers.emplace_back();
            auto &worker = this->workers[at->second];
            worker.spec = spec;
            worker.pool = poolIndex;
            worker.ordinal = pool.workers.size();
            worker.idleConnections = static_cast<std::uint32_t>(this->settings.idleConnections);
            pool.workers.push_back(at->second);
        }
        this->pools.push_back(std::move(pool));
    }
}

void Dispatcher::adoptServices(const RoutingTable &table)
{
    for (auto &service : this->services)
        service.present = false;
    for (const auto &spec : table.services) {
        const auto [at, isNew] =
            this->serviceIndex.emplace(spec.name, static_cast<Index>(this->services.size()));
        if (isNew) {
            this->services.emplace_back();
            this->services.back().runTimes = RunTimes(spec.runTime);
            this->services.back().retries = RetryBudget(this->settings.retryBudget);
        }
        auto &service = this->services[at->second];
        service.spec = spec;
        service.present = true;
        this->pools[spec.pool].services.push_back(at->second);
        if (spec.overflow != noIndex && spec.overflow != spec.pool)
            this->pools[spec.overflow].services.push_back(at->second);
    }
}

Changes Dispatcher::adopt(const RoutingTable &table, Instant now)
{
    this->adoptWorkers(table);
    this->adoptServices(table);
    this->recomputeShares();
    Changes changes;
    for (auto &service : this->services) {
        if (service.present)
            continue;
        for (const auto &request : service.queue.clear())
            changes.refusals.push_back(
                this->refuse(request.id, RefusalReason::UnknownService, Duration{}));
    }
    this->serveAll(changes, now);
    return changes;
}

Changes Dispatcher::setLive(const std::vector<std::string> &liveEntries, Instant now)
{
    Changes changes;
    if (liveEntries == this->live)
        return changes;
    this->live = liveEntries;
    this->recomputeShares();
    this->serveAll(changes, now);
    return changes;
}

void Dispatcher::recomputeShares()
{
    for (auto &worker : this->workers) {
        worker.share = {};
        worker.assigned = false;
        if (worker.pool == noIndex || this->live.empty())
            continue;
        const Divisible divisible{worker.spec.name, worker.ordinal, worker.spec.slots,
                                  worker.spec.connections};
        worker.share = shareOf(divisible, this->entry, this->live);
        worker.assigned = this->live[worker.ordinal % this->live.size()] == this->entry;
    }
}

std::uint32_t Dispatcher::capacityOf(Index pool, Instant now) const
{
    std::uint32_t sum = 0;
    for (const auto index : this->pools[pool].workers) {
        const auto &worker = this->workers[index];
        if (!worker.isLeaving(now) && worker.health.state(now) == WorkerHealth::State::Fit)
            sum += worker.allowed(now);
    }
    return sum;
}

double Dispatcher::capacityFor(const ServiceState &service, Instant now) const
{
    double capacity = this->capacityOf(service.spec.pool, now);
    if (service.spec.overflow == noIndex)
        return capacity;
    std::size_t contenders = 1;
    for (const auto index : this->pools[service.spec.overflow].services) {
        const auto &other = this->services[index];
        contenders += &other != &service && other.queue.size() > 0 ? 1 : 0;
    }
    const double spare = this->capacityOf(service.spec.overflow, now);
    return capacity + spare / static_cast<double>(contenders);
}

Duration Dispatcher::predictedWait(const ServiceState &service, RequestClass requestClass,
                                   double capacity) const
{
    std::size_t ahead = 0;
    for (const auto index : this->pools[service.spec.pool].services) {
        const auto &other = this->services[index];
        if (other.spec.pool == service.spec.pool)
            ahead += other.queue.sizeUpTo(requestClass);
    }
    const double waitSeconds =
        static_cast<double>(ahead + 1) * service.runTimes.meanSeconds() / capacity;
    return fromSeconds(waitSeconds);
}

Duration Dispatcher::jittered(Duration duration)
{
    // Without jitter, all who were refused in one moment would return in one moment.
    std::uniform_real_distribution<double> stretch(1.0, 1.5);
    return fromSeconds(seconds(std::max(duration, leastRetryAfter)) * stretch(this->random));
}

Refusal Dispatcher::refuse(RequestId id, RefusalReason reason, Duration retryAfter)
{
    if (retryAfter == Duration{})
        return {id, reason, Duration{}};
    return {id, reason, this->jittered(retryAfter)};
}

Admission Dispatcher::submit(Submission request, Instant now)
{
    const auto at = this->serviceIndex.find(request.service);
    auto *service = this->findService(request.service);
    if (!service)
        return this->refuse(request.id, RefusalReason::UnknownService, Duration{});
    if (this->settings.hopelessJobs && this->hopeless.isHopeless(request.job, now))
        return this->refuse(request.id, RefusalReason::HopelessJob, Duration{});
    if (!request.isRetry)
        service->retries.firstAttempt();
    // Nobody of the same class is waiting, so taking a free slot passes nobody over.
    if (service->queue.sizeUpTo(request.requestClass) == 0 || request.isRetry) {
        if (auto grant = this->tryGrant(at->second, request, now))
            return *grant;
    }
    const double capacity = this->capacityFor(*service, now);
    if (capacity <= 0)
        return this->refuse(request.id, RefusalReason::NoWorkers, noWorkersRetryAfter);
    const auto wait = this->predictedWait(*service, request.requestClass, capacity);
    const bool decidesByDeadline = this->settings.admission == AdmissionPolicy::Deadline;
    const auto run = decidesByDeadline ? service->runTimes.quantile(medianQuantile) : Duration{};
    const auto queueBound = static_cast<std::size_t>(this->settings.queueBound);
    if (this->settings.admission != AdmissionPolicy::Unbounded
        && service->queue.size() >= queueBound)
        return this->refuse(request.id, RefusalReason::QueueFull, wait);
    if (decidesByDeadline && now + wait + run > request.deadline)
        return this->refuse(request.id, RefusalReason::DeadlineUnreachable,
                            std::max(leastRetryAfter, now + wait + run - request.deadline));
    this->giveUps.insert({request.deadline - run, request.id, at->second});
    const Queued queued{service->queue.sizeUpTo(request.requestClass), wait};
    service->queue.push(std::move(request));
    return queued;
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
    const auto chosen = this->choice.choose(this->workers, this->pools[pool].workers, request,
                                            state.spec.idempotent, now);
    if (chosen.worker == noIndex)
        return std::nullopt;
    auto &worker = this->workers[chosen.worker];
    ++worker.inUse;
    ++state.running;
    if (chosen.reason == RouteReason::Probe)
        worker.health.probeSent();
    return Grant{
        request.id,    chosen.worker, worker.spec.name, worker.spec.rack, worker.spec.address,
        chosen.reason, false};
}

std::array<bool, model::requestClassCount> Dispatcher::waitingClasses(const PoolState &pool) const
{
    std::array<bool, model::requestClassCount> waitingOnes{};
    for (const auto index : pool.services) {
        for (std::size_t i = 0; i < model::requestClassCount; ++i) {
            if (this->services[index].queue.size(static_cast<RequestClass>(i)) > 0)
                waitingOnes[i] = true;
        }
    }
    return waitingOnes;
}

Index Dispatcher::nextService(const PoolState &pool, RequestClass requestClass)
{
    // The service with the fewest requests running goes first: a surge of one service cannot keep
    // another one, whose queue is short, from the slots they share.
    Index next = noIndex;
    for (const auto index : pool.services) {
        const auto &service = this->services[index];
        if (service.queue.size(requestClass) == 0)
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
        const auto waitingOnes = this->waitingClasses(pool);
        if (std::none_of(waitingOnes.begin(), waitingOnes.end(), [](bool any) { return any; }))
            return;
        const auto requestClass = pool.turns.next(waitingOnes);
        const auto service = this->nextService(pool, requestClass);
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
    const auto usual = service ? service->runTimes.quantile(medianQuantile) : Duration{};
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
    while (!this->giveUps.empty() && this->giveUps.begin()->at <= now) {
        const auto due = *this->giveUps.begin();
        this->giveUps.erase(this->giveUps.begin());
        auto &service = this->services[due.service];
        if (service.queue.erase(due.id))
            changes.refusals.push_back(
                this->refuse(due.id, RefusalReason::DeadlineUnreachable, leastRetryAfter));
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

Duration Dispatcher::retryAfter(const std::string &service)
{
    auto *state = this->findService(service);
    if (!state)
        return this->jittered(leastRetryAfter);
    const auto backlog = static_cast<double>(state->queue.size() + 1);
    const auto running = std::max(1U, state->running);
    return this->jittered(fromSeconds(backlog * state->runTimes.meanSeconds() / running));
}

bool Dispatcher::setLeaving(const std::string &workerName, LeavingSignal signal, Instant now)
{
    const auto at = this->workerIndex.find(workerName);
    if (at == this->workerIndex.end())
        return false;
    auto &worker = this->workers[at->second];
    auto &marks = worker.leaving;
    const bool was = worker.isLeaving(now);
    switch (signal) {
    case LeavingSignal::None:
        marks.listed = false;
        marks.own = LeavingSignal::None;
        break;
    case LeavingSignal::List:
        marks.listed = true;
        break;
    case LeavingSignal::Draining:
        marks.draining = true;
        break;
    case LeavingSignal::Refusal:
    case LeavingSignal::Closed:
        marks.own = signal;
        marks.ownUntil = now + (signal == LeavingSignal::Refusal ? leavingMark : closedMark);
        break;
    }
    return was != worker.isLeaving(now);
}

void Dispatcher::drained(const std::string &workerName)
{
    const auto at = this->workerIndex.find(workerName);
    if (at != this->workerIndex.end())
        this->workers[at->second].leaving.draining = false;
}

} // namespace sassafrasferry::policy
