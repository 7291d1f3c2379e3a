// The dispatcher's loans: what it wishes for, lends and borrows.
#include <sassafrasferry/policy/dispatcher.h>

#include <algorithm>

namespace sassafrasferry::policy {

namespace {

using model::RoutingPolicy;

constexpr Duration leastLoan = std::chrono::milliseconds(500);
constexpr std::uint32_t mostWished = 16;

} // namespace

std::vector<LoanWish> Dispatcher::loanWishes() const
{
    std::vector<LoanWish> wishes;
    const bool usesLoans = this->settings.policy == RoutingPolicy::LoansTrials
                           || this->settings.policy == RoutingPolicy::Loans;
    if (!usesLoans)
        return wishes;
    for (const auto &pool : this->pools) {
        std::size_t count = 0;
        for (const auto index : pool.services)
            count += this->services[index].queue.size();
        if (count > 0)
            wishes.push_back(
                {pool.name, static_cast<std::uint32_t>(std::min<std::size_t>(count, mostWished))});
    }
    return wishes;
}

Loan Dispatcher::lend(const LoanWish &wish, Instant now)
{
    Loan loan{wish.pool, {}, {}};
    const auto pool = std::find_if(this->pools.begin(), this->pools.end(),
                                   [&](const PoolState &state) { return state.name == wish.pool; });
    if (pool == this->pools.end())
        return loan;
    double runSeconds = 0;
    for (const auto index : pool->services) {
        if (this->services[index].queue.size() > 0)
            return loan; // this entry VM wants its slots itself
        runSeconds = std::max(runSeconds, this->services[index].runTimes.meanSeconds());
    }
    const auto term = std::max(leastLoan, fromSeconds(4 * runSeconds));
    loan.term = std::chrono::duration_cast<std::chrono::milliseconds>(term);
    std::uint32_t left = wish.slots;
    for (const auto index : pool->workers) {
        auto &worker = this->workers[index];
        const auto allowed = worker.allowed(now);
        if (left == 0 || worker.inUse >= allowed || worker.isLeaving(now))
            continue;
        const auto slots = std::min(left, allowed - worker.inUse);
        worker.lent.add(slots, now + term, now);
        loan.items.push_back({worker.spec.name, slots});
        left -= slots;
    }
    return loan;
}

Changes Dispatcher::borrow(const Loan &loan, Instant now)
{
    Changes changes;
    for (const auto &item : loan.items) {
        const auto at = this->workerIndex.find(item.worker);
        if (at == this->workerIndex.end())
            continue;
        // The lender takes its slots back at the end of the term; what starts in the last quarter
        // would mostly still run then, and the worker would refuse the lender.
        constexpr int quarters = 4;
        this->workers[at->second].borrowed.add(item.slots, now + loan.term * 3 / quarters, now);
    }
    this->serveAll(changes, now);
    return changes;
}

} // namespace sassafrasferry::policy
