// Lends VMs of spare pools to other pools, for waves and for demand, and returns them.
#pragma once

#include <sassafrasferry/fleet/fleet_store.h>
#include <sassafrasferry/fleet/fleet_view.h>
#include <sassafrasferry/fleet/pool_view.h>
#include <sassafrasferry/policy/lending.h>

#include <optional>

namespace sassafrasferry::fleet {

/// Reconciles loans with the current needs: each step starts or ends some of them. Keeps no state
/// between steps.
///
/// A pool borrows from the spare pools that its services overflow to. A loan counts against the
/// availability budget of the spare pool for as long as its row exists. It takes the same permit as
/// a drain for a wave, so that loans and waves together cannot exceed the budget.
template<store::TableService Tables>
class VmLender
{
public:
    VmLender(FleetStore<Tables> &store, const FleetLog &log)
        : store(store)
        , log(log)
    {}

    /// Runs one step. Returns true if it may have changed rows, so that `rows` may be stale.
    Awaitable<bool> step(const FleetRows &rows, const FleetView &view, store::Condition fence)
    {
        const auto orders = ordersOf(rows, view);
        for (const auto &order : orders)
            co_await this->execute(order, rows, view, fence);
        co_return !orders.empty();
    }

private:
    // The number of loans that a pool should have for one purpose.
    struct Need
    {
        std::string pool;
        std::string wave; // empty: the loans are for demand
        std::string reason;
        std::size_t wanted = 0;
    };

    // A VM to lend or to return.
    struct Order
    {
        std::string vm;
        std::string from; // the pool that it belongs to now
        std::string to;
        std::string wave;
        std::string reason;
        bool isReturn = false;
    };

    static std::vector<const VmRow *> loansFor(const Need &need, const FleetRows &rows)
    {
        std::vector<const VmRow *> loans;
        for (const auto &vm : rows.vms) {
            const bool counts = vm.isLoan() && !vm.isReturning();
            if (counts && vm.borrower() == need.pool && vm.wave == need.wave)
                loans.push_back(&vm);
        }
        return loans;
    }

    static std::vector<const model::Pool *> sparesOf(const std::string &pool,
                                                     const model::Document &document)
    {
        std::vector<const model::Pool *> spares;
        for (const auto &service : document.services) {
            if (service.pool != pool || service.overflow.empty() || service.overflow == pool)
                continue;
            const auto *spare = document.pool(service.overflow);
            if (spare && std::find(spares.begin(), spares.end(), spare) == spares.end())
                spares.push_back(spare);
        }
        return spares;
    }

    static std::size_t lendableTo(const std::string &pool, const FleetRows &rows,
                                  const FleetView &view)
    {
        std::size_t sum = 0;
        for (const auto *spare : sparesOf(pool, view.document))
            sum += policy::lendable(poolView(*spare, rows, view));
        return sum;
    }

    static void addWaveNeeds(std::vector<Need> &needs, const FleetRows &rows, const FleetView &view)
    {
        for (const auto &wave : view.document.waves) {
            const auto row =
                std::find_if(rows.waves.begin(), rows.waves.end(),
                             [&](const WaveRow &item) { return item.name == wave.name; });
            if (row == rows.waves.end() || row->state != WaveState::Running)
                continue;
            for (const auto &name : wave.pools) {
                const auto *pool = view.document.pool(name);
                if (!pool)
                    continue;
                const auto state = poolView(*pool, wave, *row, rows, view);
                Need need{name, wave.name, "wave " + wave.name, 0};
                if (policy::planWave(state).verdict == policy::WaveVerdict::Finished)
                    continue;
                const auto has = loansFor(need, rows).size();
                const auto budget = policy::budgetOf(state.vms.size(), state.availability, 0);
                need.wanted =
                    policy::chooseBorrowed(budget, has + lendableTo(name, rows, view),
                                           wave.maintenance, view.document.lending->weights);
                needs.push_back(std::move(need));
            }
        }
    }

    static void addDemandNeeds(std::vector<Need> &needs, const FleetRows &rows,
                               const FleetView &view)
    {
        for (const auto &pool : view.document.pools) {
            Need need{pool.name, "", "demand", 0};
            const auto loans = loansFor(need, rows);
            need.wanted = loans.size();
            for (const auto &wish : view.wishes) {
                if (wish.pool != pool.name)
                    continue;
                // The wish does not yet include the capacity of VMs that are about to arrive.
                const auto coming = static_cast<std::size_t>(
                    std::count_if(loans.begin(), loans.end(),
                                  [](const VmRow *vm) { return vm->state != VmState::Lent; }));
                if (wish.wish == policy::MoveWish::Borrow)
                    need.wanted += wish.vms > coming ? wish.vms - coming : 0;
                else
                    need.wanted -= std::min(need.wanted, wish.vms);
            }
            needs.push_back(std::move(need));
        }
    }

    static std::vector<Need> needsOf(const FleetRows &rows, const FleetView &view)
    {
        std::vector<Need> needs;
        if (!view.document.lending)
            return needs;
        addWaveNeeds(needs, rows, view);
        if (view.document.lending->demand != model::MovePolicy::Never)
            addDemandNeeds(needs, rows, view);
        return needs;
    }

    // At most one order per pool, lending or borrowing: each order changes the rows that another
    // order for the same pool would be based on.
    static std::vector<Order> ordersOf(const FleetRows &rows, const FleetView &view)
    {
        const auto needs = needsOf(rows, view);
        std::vector<Order> orders;
        std::set<std::string> touched;
        const auto add = [&](std::optional<Order> order) {
            if (!order || touched.contains(order->from) || touched.contains(order->to))
                return;
            touched.insert(order->from);
            touched.insert(order->to);
            orders.push_back(std::move(*order));
        };
        for (const auto &need : needs) {
            if (loansFor(need, rows).size() < need.wanted)
                add(loanFor(need, rows, view));
        }
        for (const auto &vm : rows.vms)
            add(returnOf(vm, needs, rows, view));
        return orders;
    }

    static std::optional<Order> loanFor(const Need &need, const FleetRows &rows,
                                        const FleetView &view)
    {
        const auto *borrower = view.document.pool(need.pool);
        for (const auto *spare : sparesOf(need.pool, view.document)) {
            const auto vm =
                policy::chooseToLend(poolView(*spare, rows, view), poolView(*borrower, rows, view));
            if (vm)
                return Order{*vm, spare->name, need.pool, need.wave, need.reason, false};
        }
        return std::nullopt;
    }

    // The order to return a VM whose loan is no longer needed, or which has failed.
    static std::optional<Order> returnOf(const VmRow &vm, const std::vector<Need> &needs,
                                         const FleetRows &rows, const FleetView &view)
    {
        if (vm.state != VmState::Lent)
            return std::nullopt;
        const auto need = std::find_if(needs.begin(), needs.end(), [&](const Need &item) {
            return item.pool == vm.pool && item.wave == vm.wave;
        });
        const bool hasFailed = view.failed.contains(vm.name);
        if (need != needs.end() && loansFor(*need, rows).size() <= need->wanted && !hasFailed)
            return std::nullopt;
        const auto *borrower = view.document.pool(vm.pool);
        if (borrower && !hasFailed && !policy::mayGiveBack(poolView(*borrower, rows, view)))
            return std::nullopt;
        return Order{vm.name, vm.pool, vm.home, vm.wave, hasFailed ? "VM has failed" : "not needed",
                     true};
    }

    // If the commit fails, the next step decides again from fresh rows.
    Awaitable<void> execute(Order order, const FleetRows &rows, const FleetView &view,
                            store::Condition fence)
    {
        VmRow vm;
        if (const auto *row = rows.vm(order.vm))
            vm = *row;
        vm.name = order.vm;
        vm.pool = order.from;
        vm.target = order.to;
        vm.home = order.isReturn ? order.to : order.from;
        vm.wave = order.wave;
        vm.state = VmState::Draining;
        vm.order = view.now;
        vm.revision = view.document.revision;
        const auto budget = rows.budget(order.from);
        // Not a conditional expression: g++ 12 destroys its co_await operands twice.
        store::Commit commit;
        if (order.isReturn)
            commit = co_await this->store.setBorrowed(vm, budget, fence);
        else
            commit = co_await this->store.permit(vm, budget, fence);
        if (commit.state == store::CommitState::Committed)
            this->log({order.isReturn ? "take-back" : "lend", vm.name,
                       "from " + order.from + " to " + order.to + ": " + order.reason});
    }

    FleetStore<Tables> &store;
    const FleetLog &log;
};

} // namespace sassafrasferry::fleet
