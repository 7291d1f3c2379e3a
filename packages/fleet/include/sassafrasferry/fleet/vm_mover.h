// Takes each VM that has a row one step on: through maintenance, a move, a loan or its return.
#pragma once

#include <sassafrasferry/fleet/fleet_store.h>
#include <sassafrasferry/fleet/fleet_view.h>
#include <sassafrasferry/fleet/vm_control.h>

namespace sassafrasferry::fleet {

/// Moves VMs on. Keeps nothing between steps.
///
/// A VM is drained by the platform only when every entry VM knows that it is out: one that does not
/// would go on sending to it, and the platform's "empty" would be true for a moment only.
template<store::TableService Tables, VmControl Control>
class VmMover
{
public:
    VmMover(FleetStore<Tables> &store, Control &control, const FleetLog &log)
        : store(store)
        , control(control)
        , log(log)
    {}

    /// What is due for a VM. `fence`: the control lease's condition.
    Awaitable<void> advance(VmRow vm, const FleetView &view, store::Condition fence)
    {
        if (isGone(vm, view)) {
            co_await this->forget(vm, fence);
            co_return;
        }
        if (vm.state == VmState::Lent)
            co_return;
        const auto report = co_await this->control.report(vm.name);
        if (!report.ok())
            co_return;
        switch (vm.state) {
        case VmState::Draining:
            co_await this->advanceDraining(vm, view, *report, fence);
            break;
        case VmState::InMaintenance:
        case VmState::BackFailing:
            co_await this->advanceMaintenance(vm, *report, fence);
            break;
        case VmState::Arriving:
            co_await this->advanceArriving(vm, view, *report, fence);
            break;
        case VmState::Lent:
            break;
        }
    }

private:
    // Only a document that is not older than the row can tell.
    static bool isGone(const VmRow &vm, const FleetView &view)
    {
        if (view.document.revision < vm.revision)
            return false;
        for (const auto &pool : view.document.pools) {
            for (const auto &item : pool.vms) {
                if (item.name == vm.name)
                    return false;
            }
        }
        return true;
    }

    static bool isKnown(const VmRow &vm, const FleetView &view)
    {
        return view.fleetVersionEverywhere >= vm.version;
    }

    Awaitable<void> forget(VmRow vm, store::Condition fence)
    {
        const auto fresh = co_await this->store.load();
        if (!fresh.ok())
            co_return;
        const auto commit = co_await this->store.forget(vm, fresh->budgets, fence);
        if (commit.state == store::CommitState::Committed)
            this->log({"vm-gone", vm.name, "the document no longer has it"});
    }

    // An order that failed is given again by the next step.
    void noteOrder(const std::string &vm, const absl::Status &status)
    {
        if (!status.ok())
            this->log({"order-failed", vm, std::string(status.message())});
    }

    Awaitable<void> advanceDraining(VmRow vm, const FleetView &view, VmReport report,
                                    store::Condition fence)
    {
        if (!isKnown(vm, view) || view.busy.contains(vm.name))
            co_return;
        if (report.drainedOrder < vm.order) {
            this->noteOrder(vm.name, co_await this->control.drain(vm.name, vm.order));
            co_return;
        }
        if (report.phase == VmPhase::Draining)
            co_return;
        if (vm.isLoan())
            co_await this->changePool(vm, report, fence);
        else if (!vm.target.empty())
            co_await this->endMove(vm, view, report, fence);
        else
            co_await this->beginMaintenance(vm, fence);
    }

    Awaitable<void> beginMaintenance(VmRow vm, store::Condition fence)
    {
        vm.state = VmState::InMaintenance;
        const auto commit = co_await this->store.advance(vm, fence);
        if (commit.state == store::CommitState::Committed)
            this->noteOrder(vm.name, co_await this->control.maintain(vm.name, vm.order));
    }

    // A move that a change of the document asked for.
    Awaitable<void> endMove(VmRow vm, const FleetView &view, VmReport report,
                            store::Condition fence)
    {
        // An entry VM that has not adopted the change yet would still use it in the old pool.
        if (view.revisionEverywhere < vm.revision)
            co_return;
        if (report.phase == VmPhase::Empty)
            this->noteOrder(vm.name, co_await this->control.resume(vm.name, vm.order));
        if (report.phase == VmPhase::Serving)
            co_await this->giveBack(vm, "moved to " + vm.target, fence);
    }

    Awaitable<void> changePool(VmRow vm, VmReport report, store::Condition fence)
    {
        if (report.phase != VmPhase::Empty)
            co_return;
        vm.pool = std::exchange(vm.target, std::string());
        vm.state = VmState::Arriving;
        const auto commit = co_await this->store.advance(vm, fence);
        if (commit.state == store::CommitState::Committed)
            this->log({"vm-changed-pool", vm.name, "is empty, now of " + vm.pool});
    }

    Awaitable<void> advanceArriving(VmRow vm, const FleetView &view, VmReport report,
                                    store::Condition fence)
    {
        // An entry VM that does not know yet would use it in the pool that it has left.
        if (!isKnown(vm, view))
            co_return;
        if (report.phase == VmPhase::Empty)
            this->noteOrder(vm.name, co_await this->control.resume(vm.name, vm.order));
        if (report.phase != VmPhase::Serving)
            co_return;
        if (vm.pool == vm.home) {
            co_await this->giveBack(vm, "back from its loan", fence);
            co_return;
        }
        const auto fresh = co_await this->store.load();
        if (!fresh.ok())
            co_return;
        vm.state = VmState::Lent;
        const auto commit = co_await this->store.setBorrowed(vm, fresh->budget(vm.pool), fence);
        if (commit.state == store::CommitState::Committed)
            this->log({"vm-lent", vm.name, "serves in " + vm.pool});
    }

    Awaitable<void> advanceMaintenance(VmRow vm, VmReport report, store::Condition fence)
    {
        if (report.maintainedOrder < vm.order) {
            if (report.phase != VmPhase::Maintaining)
                this->noteOrder(vm.name, co_await this->control.maintain(vm.name, vm.order));
            co_return;
        }
        if (report.phase != VmPhase::Serving)
            co_return;
        if (!report.isFailing) {
            co_await this->giveBack(vm, "maintained", fence);
        } else if (vm.state != VmState::BackFailing) {
            vm.state = VmState::BackFailing;
            const auto commit = co_await this->store.advance(vm, fence);
            if (commit.state == store::CommitState::Committed)
                this->log({"vm-back-failing", vm.name, "its check fails after maintenance"});
        }
    }

    Awaitable<void> giveBack(VmRow vm, std::string why, store::Condition fence)
    {
        // Rows may have changed since they were read, by the returns before this one.
        const auto fresh = co_await this->store.load();
        if (!fresh.ok())
            co_return;
        const WaveRow *wave = nullptr;
        for (const auto &row : fresh->waves) {
            if (row.name == vm.wave && !vm.isLoan())
                wave = &row;
        }
        const auto budget = fresh->budget(vm.pool);
        const auto commit = co_await this->store.returned(vm, budget, wave, fence);
        if (commit.state == store::CommitState::Committed)
            this->log({"vm-in-service", vm.name, why});
    }

    FleetStore<Tables> &store;
    Control &control;
    const FleetLog &log;
};

} // namespace sassafrasferry::fleet
