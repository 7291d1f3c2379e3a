// Teams' quotas: who may start, and what is lent between entry VMs.
#include <sassafrasferry/policy/dispatcher.h>

#include <algorithm>

namespace sassafrasferry::policy {

namespace {

constexpr std::uint32_t mostWishedUnits = 16;

} // namespace

void Dispatcher::adoptTeams(const RoutingTable &table)
{
    for (auto &team : this->teams)
        team.spec.processors = 0; // a team that is gone limits nobody
    for (const auto &spec : table.teams) {
        const auto [at, isNew] =
            this->teamIndex.emplace(spec.name, static_cast<Index>(this->teams.size()));
        if (isNew)
            this->teams.emplace_back();
        this->teams[at->second].spec = spec;
    }
}

void Dispatcher::divideQuotas()
{
    for (auto &team : this->teams) {
        const QuotaDivision division{team.spec.name, team.spec.processors, team.spec.unit};
        team.quota.divide(division, this->entry, this->live);
    }
}

const Dispatcher::TeamState *Dispatcher::limitingTeam(const ServiceState &service) const
{
    if (service.team == noIndex || !this->teams[service.team].quota.isLimited())
        return nullptr;
    return &this->teams[service.team];
}

bool Dispatcher::quotaHasRoom(const ServiceState &service, Instant now) const
{
    const auto *team = this->limitingTeam(service);
    return !team || team->quota.hasRoom(now);
}

Duration Dispatcher::quotaWait(const ServiceState &service, model::RequestClass requestClass,
                               Instant now) const
{
    const auto *team = this->limitingTeam(service);
    if (!team)
        return {};
    std::size_t ahead = 0;
    for (const auto &other : this->services)
        ahead += other.team == service.team ? other.queue.sizeUpTo(requestClass) : 0;
    // At least one at a time: an entry VM without a part of its own borrows.
    const auto atOnce = std::max(1U, team->quota.allowed(now) / team->quota.unitSize());
    return fromSeconds(static_cast<double>(ahead + 1) * service.runTimes.meanSeconds() / atOnce);
}

void Dispatcher::charge(const ServiceState &service, const WorkerState &worker, RequestId id)
{
    if (!this->limitingTeam(service))
        return;
    this->teams[service.team].quota.take(worker.spec.slotProcessors);
    this->charges[id] = {service.team, worker.spec.slotProcessors};
}

void Dispatcher::discharge(RequestId id)
{
    const auto at = this->charges.find(id);
    if (at == this->charges.end())
        return;
    this->teams[at->second.team].quota.giveBack(at->second.processors);
    this->charges.erase(at);
}

std::vector<QuotaWish> Dispatcher::quotaWishes(Instant now) const
{
    std::vector<QuotaWish> wishes;
    std::vector<std::uint32_t> waitingOf(this->teams.size());
    for (const auto &service : this->services) {
        if (service.present && !this->quotaHasRoom(service, now))
            waitingOf[service.team] += static_cast<std::uint32_t>(service.queue.size());
    }
    for (Index i = 0; i < this->teams.size(); ++i) {
        const auto units = std::min(waitingOf[i], mostWishedUnits);
        if (units > 0)
            wishes.push_back({this->teams[i].spec.name, units * this->teams[i].spec.unit});
    }
    return wishes;
}

QuotaLoan Dispatcher::lendQuota(const QuotaWish &wish, Instant now)
{
    QuotaLoan loan{wish.team, 0, {}};
    const auto at = this->teamIndex.find(wish.team);
    if (at == this->teamIndex.end())
        return loan;
    double runSeconds = 0;
    for (const auto &service : this->services) {
        if (service.team != at->second)
            continue;
        if (service.queue.size() > 0)
            return loan; // this entry VM wants its part itself
        runSeconds = std::max(runSeconds, service.runTimes.meanSeconds());
    }
    loan.term = loanTerm(runSeconds);
    loan.processors = this->teams[at->second].quota.lend(wish.processors, now + loan.term, now);
    return loan;
}

Changes Dispatcher::borrowQuota(const QuotaLoan &loan, Instant now)
{
    Changes changes;
    const auto at = this->teamIndex.find(loan.team);
    if (at == this->teamIndex.end())
        return changes;
    this->teams[at->second].quota.borrow(loan.processors, now + usableTerm(loan.term), now);
    this->serveAll(changes, now);
    return changes;
}

std::vector<TeamStatus> Dispatcher::teamStatus(Instant now) const
{
    std::vector<TeamStatus> statuses;
    for (Index i = 0; i < this->teams.size(); ++i) {
        const auto &team = this->teams[i];
        if (!team.quota.isLimited())
            continue;
        TeamStatus status{team.spec.name, 0, team.quota.inUse(), team.quota.allowed(now),
                          team.spec.processors};
        for (const auto &service : this->services)
            status.waiting += service.present && service.team == i ? service.queue.size() : 0;
        statuses.push_back(std::move(status));
    }
    return statuses;
}

} // namespace sassafrasferry::policy
