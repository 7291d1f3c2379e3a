// Making room for urgent requests that have waited too long.
#include <sassafrasferry/policy/dispatcher.h>

#include <algorithm>

namespace sassafrasferry::policy {

namespace {

using model::RequestClass;

constexpr std::chrono::milliseconds urgentLoan{2000};

} // namespace

bool Dispatcher::isPreemptible(const ServiceState &service, const Submission &request) const
{
    return this->settings.urgentPatience.count() > 0
           && request.requestClass == RequestClass::Background && service.spec.idempotent
           && request.preemptions < Preemption::mostPreemptions;
}

std::size_t Dispatcher::overdueUrgent(const ServiceState &service, Instant now) const
{
    // A slot would not help one that waits for its team's quota.
    if (this->settings.urgentPatience.count() == 0 || !this->quotaHasRoom(service, now))
        return 0;
    return service.queue.countSince(RequestClass::Urgent, now - this->settings.urgentPatience);
}

std::vector<Preempted> Dispatcher::preemptIn(Index pool, std::size_t wanted)
{
    return this->preemption.choose([&](Index worker) { return this->workers[worker].pool == pool; },
                                   wanted);
}

void Dispatcher::makeRoom(Changes &changes, Instant now)
{
    const bool isNeeded =
        std::any_of(this->services.begin(), this->services.end(), [&](const auto &service) {
            return service.present && this->overdueUrgent(service, now) > 0;
        });
    if (!isNeeded)
        return;
    // What is being stopped already will serve requests that wait: stopping one more run at every
    // tick until the first slot is free would empty the pool.
    std::vector<std::size_t> coming(this->pools.size());
    for (Index pool = 0; pool < this->pools.size(); ++pool)
        coming[pool] = this->preemption.stopping(
            [&](Index worker) { return this->workers[worker].pool == pool; });
    for (const auto &service : this->services) {
        if (!service.present)
            continue;
        auto wanted = this->overdueUrgent(service, now);
        for (const auto pool : {service.spec.pool, service.spec.overflow}) {
            if (pool == noIndex || wanted == 0)
                continue;
            const auto covered = std::min(wanted, coming[pool]);
            coming[pool] -= covered;
            wanted -= covered;
            const auto chosen = this->preemptIn(pool, wanted);
            wanted -= chosen.size();
            for (const auto &run : chosen)
                changes.preempted.push_back(run.id);
        }
    }
}

void Dispatcher::lendPreempted(Index pool, std::uint32_t wanted, Lending &lending, Instant now)
{
    for (const auto &run : this->preemptIn(pool, wanted)) {
        // Lent at once, or the stopped request would be back on its slot before the peer asks
        // again. If the peer is faster than the stop, the worker refuses it, and it tries again.
        auto &worker = this->workers[run.worker];
        worker.lent.add(1, now + urgentLoan, now);
        lending.loan.items.push_back({worker.spec.name, 1});
        lending.loan.term = urgentLoan;
        lending.changes.preempted.push_back(run.id);
    }
}

} // namespace sassafrasferry::policy
