// Admission: whether a request can be served in time, and when a refused one may come back.
#include <sassafrasferry/policy/dispatcher.h>

#include <algorithm>

namespace sassafrasferry::policy {

namespace {

using model::AdmissionPolicy;
using model::RequestClass;

constexpr Duration leastRetryAfter = std::chrono::seconds(1);
constexpr Duration noWorkersRetryAfter = std::chrono::seconds(5);

} // namespace

std::uint32_t Dispatcher::slotsOf(Index pool, SlotCount count, Instant now) const
{
    std::uint32_t sum = 0;
    for (const auto index : this->pools[pool].workers) {
        const auto &worker = this->workers[index];
        if (!worker.isLeaving(now) && worker.health.state(now) == WorkerHealth::State::Fit)
            sum += count == SlotCount::Allowed ? worker.allowed(now) : worker.share.slots;
    }
    return sum;
}

double Dispatcher::capacityFor(const ServiceState &service, SlotCount count, Instant now) const
{
    double capacity = this->slotsOf(service.spec.pool, count, now);
    if (service.spec.overflow == noIndex)
        return capacity;
    std::size_t contenders = 1;
    for (const auto index : this->pools[service.spec.overflow].services) {
        const auto &other = this->services[index];
        contenders += &other != &service && other.queue.size() > 0 ? 1 : 0;
    }
    const double spare = this->slotsOf(service.spec.overflow, count, now);
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
    request.arrived = now;
    if (!request.isRetry) {
        service->retries.firstAttempt();
        service->offered.add(fromSeconds(service->runTimes.meanSeconds()), now);
    }
    // Nobody of the same class is waiting, so taking a free slot passes nobody over.
    if (service->queue.sizeUpTo(request.requestClass) == 0 || request.isRetry) {
        if (auto grant = this->tryGrant(at->second, request, now))
            return *grant;
    }
    double capacity = this->capacityFor(*service, SlotCount::Allowed, now);
    Duration untilReturned{};
    if (capacity <= 0) {
        // All may be lent. They come back by themselves; told "no workers", the caller would be
        // sent away for seconds by a pool with free slots.
        capacity = this->capacityFor(*service, SlotCount::Owned, now);
        untilReturned = loanTerm(service->runTimes.meanSeconds());
    }
    if (capacity <= 0)
        return this->refuse(request.id, RefusalReason::NoWorkers, noWorkersRetryAfter);
    const auto *team = this->limitingTeam(*service);
    if (team && team->quota.isTooSmall())
        return this->refuse(request.id, RefusalReason::QuotaTooSmall, Duration{});
    const auto slotWait =
        untilReturned + this->predictedWait(*service, request.requestClass, capacity);
    const auto quotaWait = this->quotaWait(*service, request.requestClass, now);
    const auto wait = std::max(slotWait, quotaWait);
    const bool decidesByDeadline = this->settings.admission == AdmissionPolicy::Deadline;
    const auto run = decidesByDeadline ? service->runTimes.median() : Duration{};
    const auto queueBound = static_cast<std::size_t>(this->settings.queueBound);
    if (this->settings.admission != AdmissionPolicy::Unbounded
        && service->queue.size() >= queueBound)
        return this->refuse(request.id, RefusalReason::QueueFull, wait);
    if (decidesByDeadline && now + wait + run > request.deadline)
        return this->refuse(request.id,
                            quotaWait > slotWait ? RefusalReason::QuotaReached
                                                 : RefusalReason::DeadlineUnreachable,
                            std::max(leastRetryAfter, now + wait + run - request.deadline));
    this->giveUps.insert({request.deadline - run, request.id, at->second});
    const Queued queued{service->queue.sizeUpTo(request.requestClass), wait};
    service->queue.push(std::move(request));
    return queued;
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

} // namespace sassafrasferry::policy
