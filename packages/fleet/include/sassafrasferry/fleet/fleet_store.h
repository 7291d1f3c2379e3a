// Reads and changes fleet rows. Every change by the control process is one transaction,
// conditional on the fence of the control lease and on the version of each row it depends on.
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
        parseRows(*vms, rows.vms, vmFrom, status);
        parseRows(*waves, rows.waves, waveFrom, status);
        parseRows(*budgets, rows.budgets, budgetFrom, status);
        if (!status.ok())
            co_return status;
        co_return rows;
    }

    /// Permits a wave or a loan to take a VM out of service. Ends in a conflict if the budget row
    /// has changed since it was read, or the VM already has a row.
    Awaitable<store::Commit> permit(VmRow vm, BudgetRow budget, store::Condition fence)
    {
        budget.out.push_back(vm.name);
        store::Transaction transaction = fencedTransaction(fence);
        transaction.conditions.push_back({vmKey(vm.name), store::absent});
        transaction.conditions.push_back({budgetKey(budget.pool), budget.version});
        transaction.puts.push_back({vmKey(vm.name), toJson(vm)});
        transaction.puts.push_back({budgetKey(budget.pool), toJson(budget)});
        return this->tables.commit(std::move(transaction));
    }

    /// Writes the next state of a VM.
    Awaitable<store::Commit> updateVm(VmRow vm, store::Condition fence)
    {
        store::Transaction transaction = fencedTransaction(fence);
        transaction.conditions.push_back({vmKey(vm.name), vm.version});
        transaction.puts.push_back({vmKey(vm.name), toJson(vm)});
        return this->tables.commit(std::move(transaction));
    }

    /// Writes the next state of a lent VM that enters or leaves service in the borrowing pool, and
    /// adds it to or removes it from that pool's budget. Updates the budget row, so that a delayed
    /// permit that counts on the borrowed VM conflicts once the VM leaves.
    Awaitable<store::Commit> setBorrowed(VmRow vm, BudgetRow borrower, store::Condition fence)
    {
        std::erase(borrower.borrowed, vm.name);
        if (vm.state == VmState::Lent)
            borrower.borrowed.push_back(vm.name);
        store::Transaction transaction = fencedTransaction(fence);
        transaction.conditions.push_back({vmKey(vm.name), vm.version});
        transaction.conditions.push_back({budgetKey(borrower.pool), borrower.version});
        transaction.puts.push_back({vmKey(vm.name), toJson(vm)});
        transaction.puts.push_back({budgetKey(borrower.pool), toJson(borrower)});
        return this->tables.commit(std::move(transaction));
    }

    /// Deletes the row and the budget entries of a VM that the document no longer has.
    Awaitable<store::Commit> removeVm(VmRow vm, std::vector<BudgetRow> budgets,
                                      store::Condition fence)
    {
        store::Transaction transaction = fencedTransaction(fence);
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

    /// Returns a VM to service: deletes its row, releases its permit from the budget, and records
    /// it as done in its wave, if any.
    Awaitable<store::Commit> returnToService(VmRow vm, BudgetRow budget, const WaveRow *wave,
                                             store::Condition fence)
    {
        store::Transaction transaction = fencedTransaction(fence);
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

    /// Writes the state of a wave. `fence` is null for changes made by operators.
    Awaitable<store::Commit> setWave(WaveRow wave, const store::Condition *fence)
    {
        store::Transaction transaction;
        if (fence)
            transaction = fencedTransaction(*fence);
        else
            transaction.puts.push_back(headUpdate());
        transaction.conditions.push_back({waveKey(wave.name), wave.version});
        transaction.puts.push_back({waveKey(wave.name), toJson(wave)});
        return this->tables.commit(std::move(transaction));
    }

private:
    static store::Put headUpdate()
    {
        return {fleetHeadKey(), Json::object()};
    }

    static store::Transaction fencedTransaction(const store::Condition &fence)
    {
        store::Transaction transaction;
        transaction.conditions.push_back(fence);
        transaction.puts.push_back(headUpdate());
        return transaction;
    }

    template<typename T, typename From>
    static void parseRows(const std::vector<store::Row> &rows, std::vector<T> &into, From from,
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
