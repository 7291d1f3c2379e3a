// The dispatcher's loans: what it wishes for, lends and borrows.
#include <sassafrasferry/policy/dispatcher.h>

#include <algorithm>

namespace sassafrasferry::policy {

namespace {

using model::RequestClass;
using model::RoutingPolicy;

constexpr std::size_t mostWished = 16;

std::uint32_t wishedSlots(std::size_t waiting)
{
    return static_cast<std::uint32_t>(std::min(waiting, mostWished));
}

} // namespace

std::vector<LoanWish> Dispatcher::loanWishes(Instant now) const
{
    std::vector<LoanWish> wishes;
    const bool usesLoans = this->settings.policy == RoutingPolicy::LoansTrials
                           || this->settings.policy == RoutingPolicy::Loans;
    if (!usesLoans)
        return wishes;
    for (const auto &pool : this->pools) {
        std::size_t count = 0;
        std::size_t urgent = 0;
        for (const auto index : pool.services) {
            const auto &service = this->services[index];
            count += this->quotaHasRoom(service, now) ? service.queue.size() : 0;
            urgent += this->overdueUrgent(service, now);
        }
        if (count > 0)
            wishes.push_back({pool.name, wishedSlots(count), wishedSlots(urgent)});
    }
    return wishes;
}

Lending Dispatcher::lend(const LoanWish &wish, Instant now)
{
    Lending lending{{wish.pool, {}, {}}, {}};
    const auto pool = std::find_if(this->pools.begin(), this->pools.end(),
                                   [&](const PoolState &state) { return state.name == wish.pool; });
    if (pool == this->pools.end())
        return lending;
    const auto waitingOnes = this->waitingClasses(*pool, now);
    const auto waits = [&](RequestClass requestClass) {
        return waitingOnes[static_cast<std::size_t>(requestClass)];
    };
    // What waits here comes first; only a peer's overdue urgent requests go before the rest of it.
    const bool isIdle = std::none_of(waitingOnes.begin(), waitingOnes.end(),
                                     [](bool waitsHere) { return waitsHere; });
    if (isIdle)
        this->lendIdle(*pool, wish.slots, lending.loan, now);
    if (lending.loan.items.empty() && !waits(RequestClass::Urgent)) {
        const auto index = static_cast<Index>(pool - this->pools.begin());
        this->lendPreempted(index, wish.urgent, lending, now);
    }
    return lending;
}

void Dispatcher::lendIdle(const PoolState &pool, std::uint32_t wanted, Loan &loan, Instant now)
{
    double runSeconds = 0;
    for (const auto index : pool.services)
        runSeconds = std::max(runSeconds, this->services[index].runTimes.meanSeconds());
    loan.term = loanTerm(runSeconds);
    std::uint32_t left = wanted;
    for (const auto index : pool.workers) {
        auto &worker = this->workers[index];
        const auto allowed = worker.allowed(now);
        if (left == 0 || worker.inUse >= allowed || worker.isLeaving(now))
            continue;
        const auto slots = std::min(left, allowed - worker.inUse);
        worker.lent.add(slots, now + loan.term, now);
        loan.items.push_back({worker.spec.name, slots});
        left -= slots;
    }
}

Changes Dispatcher::borrow(const Loan &loan, Instant now)
{
    Changes changes;
    for (const auto &item : loan.items) {
        const auto at = this->workerIndex.find(item.worker);
        if (at == this->workerIndex.end())
            continue;
        this->workers[at->second].borrowed.add(item.slots, now + usableTerm(loan.term), now);
    }
    this->serveAll(changes, now);
    return changes;
}

} // namespace sassafrasferry::policy
