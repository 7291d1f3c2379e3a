// Reads and changes fleet rows. Every change is one transaction that carries the control lease's
// fence, and the version of each row it rests on.
#pragma once

#include <sassafrasferry/fleet/fleet_rows.h>

#include <algorithm>
#include <utility>

namespace sassafrasferry::fleet {

/// The fleet rows in the table service.
template<store::TableService Tables>
class FleetStore
{
public:
    explicit FleetStore(Tables &tables)
        : tables(tables)
    {}

    Awaitable<absl::StatusOr<FleetRows>> load()
    {
        FleetRows rows;
        const store::ScanRange allVms{"vms", ""};
        const auto vms = co_await this->tables.scan(allVms);
        const store::ScanRange allWaves{"waves", ""};
        const auto waves = co_await this->tables.scan(allWaves);
        const store::ScanRange allBudgets{"budgets", ""};
        const auto budgets = co_await this->tables.scan(allBudgets);
        for (const auto *part : {&vms, &waves, &budgets}) {
            if (!part->ok())
                co_return part->status();
        }
        absl::Status status;
        take(*vms, rows.vms, vmFrom, status);
        take(*waves, rows.waves, waveFrom, status);
        take(*budgets, rows.budgets, budgetFrom, status);
        if (!status.ok())
            co_return status;
        co_return rows;
    }

    /// Takes a VM out of service for a wave or a loan: the permit. Fails in a conflict if the
    /// budget row has changed since it was read, or the VM has a row already.
    Awaitable<store::Commit> permit(VmRow vm, BudgetRow budget, store::Condition fence)
    {
        budget.out.push_back(vm.name);
        store::Transaction transaction = fenced(fence);
        transaction.conditions.push_back({vmKey(vm.name), store::absent});
        transaction.conditions.push_back({budgetKey(budget.pool), budget.version});
        transaction.puts.push_back({vmKey(vm.name), toJson(vm)});
        transaction.puts.push_back({budgetKey(budget.pool), toJson(budget)});
        return this->tables.commit(std::move(transaction));
    }

    /// Writes a VM's next state.
    Awaitable<store::Commit> advance(VmRow vm, store::Condition fence)
    {
        store::Transaction transaction = fenced(fence);
        transaction.conditions.push_back({vmKey(vm.name), vm.version});
        transaction.puts.push_back({vmKey(vm.name), toJson(vm)});
        return this->tables.commit(std::move(transaction));
    }

    /// A lent VM is in service with its borrower, or leaves it: its next state, and the borrower's
    /// budget with the VM among the borrowed or not. On the budget's version, since a permit that
    /// rests on the borrowed VM and is still on its way must not pass once the VM goes.
    Awaitable<store::Commit> setBorrowed(VmRow vm, BudgetRow borrower, store::Condition fence)
    {
        std::erase(borrower.borrowed, vm.name);
        if (vm.state == VmState::Lent)
            borrower.borrowed.push_back(vm.name);
        store::Transaction transaction = fenced(fence);
        transaction.conditions.push_back({vmKey(vm.name), vm.version});
        transaction.conditions.push_back({budgetKey(borrower.pool), borrower.version});
        transaction.puts.push_back({vmKey(vm.name), toJson(vm)});
        transaction.puts.push_back({budgetKey(borrower.pool), toJson(borrower)});
        return this->tables.commit(std::move(transaction));
    }

    /// A VM that the document no longer has: its row goes, and so do its names in the budgets.
    Awaitable<store::Commit> forget(VmRow vm, std::vector<BudgetRow> budgets,
                                    store::Condition fence)
    {
        store::Transaction transaction = fenced(fence);
        transaction.conditions.push_back({vmKey(vm.name), vm.version});
        transaction.deletes.push_back(vmKey(vm.name));
        for (auto &budget : budgets) {
            const auto erased =
                std::erase(budget.out, vm.name) + std::erase(budget.borrowed, vm.name);
            if (erased == 0)
                continue;
            transaction.conditions.push_back({budgetKey(budget.pool), budget.version});
            transaction.puts.push_back({budgetKey(budget.pool), toJson(budget)});
        }
        return this->tables.commit(std::move(transaction));
    }

    /// A VM is in service again: its row goes, the budget gets its permit back, and its wave, if
    /// any, counts it as done.
    Awaitable<store::Commit> returned(VmRow vm, BudgetRow budget, const WaveRow *wave,
                                      store::Condition fence)
    {
        store::Transaction transaction = fenced(fence);
        transaction.conditions.push_back({vmKey(vm.name), vm.version});
        transaction.deletes.push_back(vmKey(vm.name));
        if (std::erase(budget.out, vm.name) > 0) {
            transaction.conditions.push_back({budgetKey(budget.pool), budget.version});
            transaction.puts.push_back({budgetKey(budget.pool), toJson(budget)});
        }
        if (wave) {
            auto next = *wave;
            next.done.push_back(vm.name);
            transaction.conditions.push_back({waveKey(next.name), next.version});
            transaction.puts.push_back({waveKey(next.name), toJson(next)});
        }
        return this->tables.commit(std::move(transaction));
    }

    /// Writes a wave's state. Operators' orders carry no fence.
    Awaitable<store::Commit> setWave(WaveRow wave, const store::Condition *fence)
    {
        store::Transaction transaction;
        if (fence)
            transaction = fenced(*fence);
        else
            transaction.puts.push_back(bump());
        transaction.conditions.push_back({waveKey(wave.name), wave.version});
        transaction.puts.push_back({waveKey(wave.name), toJson(wave)});
        return this->tables.commit(std::move(transaction));
    }

private:
    static store::Put bump()
    {
        return {fleetHeadKey(), Json::object()};
    }

    static store::Transaction fenced(const store::Condition &fence)
    {
        store::Transaction transaction;
        transaction.conditions.push_back(fence);
        transaction.puts.push_back(bump());
        return transaction;
    }

    template<typename T, typename From>
    static void take(const std::vector<store::Row> &rows, std::vector<T> &into, From from,
                     absl::Status &status)
    {
        for (const auto &row : rows) {
            auto item = from(row);
            if (item.ok())
                into.push_back(std::move(*item));
            else
                status = item.status();
        }
    }

    Tables &tables;
};

} // namespace sassafrasferry::fleet
