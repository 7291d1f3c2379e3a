// Advances each VM that has a row through maintenance, a move, a loan or a return.
#pragma once

#include <sassafrasferry/fleet/fleet_store.h>
#include <sassafrasferry/fleet/fleet_view.h>
#include <sassafrasferry/fleet/vm_control.h>

namespace sassafrasferry::fleet {

/// The state machine of VM rows. Keeps no state between steps.
///
/// The platform is told to drain a VM only when every entry VM knows that it is out of service. An
/// entry VM that does not know would keep sending requests to the VM, and the "empty" that the
/// platform reports would soon be wrong.
template<store::TableService Tables, VmControl Control>
class VmMover
{
public:
    VmMover(FleetStore<Tables> &store, Control &control, const FleetLog &log)
        : store(store)
        , control(control)
        , log(log)
    {}

    /// Advances a VM by at most one state. `fence`: the condition of the control lease.
    Awaitable<void> advance(VmRow vm, const FleetView &view, store::Condition fence)
    {
        if (isRemovedFromDocument(vm, view)) {
            co_await this->removeVm(vm, fence);
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
    // A document older than the row does not show whether the VM has been removed.
    static bool isRemovedFromDocument(const VmRow &vm, const FleetView &view)
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

    static bool isKnownToAll(const VmRow &vm, const FleetView &view)
    {
        return view.minEntryFleetVersion >= vm.version;
    }

    Awaitable<void> removeVm(VmRow vm, store::Condition fence)
    {
        const auto fresh = co_await this->store.load();
        if (!fresh.ok())
            co_return;
        const auto commit = co_await this->store.removeVm(vm, fresh->budgets, fence);
        if (commit.state == store::CommitState::Committed)
            this->log({"vm-gone", vm.name, "removed: the document no longer has the VM"});
    }

    // Logs an order that failed; the next step sends it again.
    void logFailedOrder(const std::string &vm, const absl::Status &status)
    {
        if (!status.ok())
            this->log({"order-failed", vm, std::string(status.message())});
    }

    Awaitable<void> advanceDraining(VmRow vm, const FleetView &view, VmReport report,
                                    store::Condition fence)
    {
        if (!isKnownToAll(vm, view) || view.busy.contains(vm.name))
            co_return;
        if (report.drainedOrder < vm.order) {
            this->logFailedOrder(vm.name, co_await this->control.drain(vm.name, vm.order));
            co_return;
        }
        if (report.phase == VmPhase::Draining)
            co_return;
        if (vm.isLoan())
            co_await this->changePool(vm, report, fence);
        else if (!vm.target.empty())
            co_await this->completeMove(vm, view, report, fence);
        else
            co_await this->beginMaintenance(vm, fence);
    }

    Awaitable<void> beginMaintenance(VmRow vm, store::Condition fence)
    {
        vm.state = VmState::InMaintenance;
        const auto commit = co_await this->store.updateVm(vm, fence);
        if (commit.state == store::CommitState::Committed)
            this->logFailedOrder(vm.name, co_await this->control.maintain(vm.name, vm.order));
    }

    // Completes a move that a document change asked for.
    Awaitable<void> completeMove(VmRow vm, const FleetView &view, VmReport report,
                                 store::Condition fence)
    {
        // An entry VM that has not adopted the change yet would still use the VM in the old pool.
        if (view.minEntryRevision < vm.revision)
            co_return;
        if (report.phase == VmPhase::Empty)
            this->logFailedOrder(vm.name, co_await this->control.resume(vm.name, vm.order));
        if (report.phase == VmPhase::Serving)
            co_await this->returnToService(vm, "moved to pool " + vm.target, fence);
    }

    Awaitable<void> changePool(VmRow vm, VmReport report, store::Condition fence)
    {
        if (report.phase != VmPhase::Empty)
            co_return;
        vm.pool = std::exchange(vm.target, std::string());
        vm.state = VmState::Arriving;
        const auto commit = co_await this->store.updateVm(vm, fence);
        if (commit.state == store::CommitState::Committed)
            this->log({"vm-changed-pool", vm.name, "drained, and moved to pool " + vm.pool});
    }

    Awaitable<void> advanceArriving(VmRow vm, const FleetView &view, VmReport report,
                                    store::Condition fence)
    {
        // An entry VM with older rows would still use the VM in the pool that it has left.
        if (!isKnownToAll(vm, view))
            co_return;
        if (report.phase == VmPhase::Empty)
            this->logFailedOrder(vm.name, co_await this->control.resume(vm.name, vm.order));
        if (report.phase != VmPhase::Serving)
            co_return;
        if (vm.pool == vm.home) {
            co_await this->returnToService(vm, "returned from its loan", fence);
            co_return;
        }
        const auto fresh = co_await this->store.load();
        if (!fresh.ok())
            co_return;
        vm.state = VmState::Lent;
        const auto commit = co_await this->store.setBorrowed(vm, fresh->budget(vm.pool), fence);
        if (commit.state == store::CommitState::Committed)
            this->log({"vm-lent", vm.name, "in service in pool " + vm.pool});
    }

    Awaitable<void> advanceMaintenance(VmRow vm, VmReport report, store::Condition fence)
    {
        if (report.maintainedOrder < vm.order) {
            if (report.phase != VmPhase::Maintaining)
                this->logFailedOrder(vm.name, co_await this->control.maintain(vm.name, vm.order));
            co_return;
        }
        if (report.phase != VmPhase::Serving)
            co_return;
        if (!report.isFailing) {
            co_await this->returnToService(vm, "maintained", fence);
        } else if (vm.state != VmState::BackFailing) {
            vm.state = VmState::BackFailing;
            const auto commit = co_await this->store.updateVm(vm, fence);
            if (commit.state == store::CommitState::Committed)
                this->log({"vm-back-failing", vm.name, "the health check fails after maintenance"});
        }
    }

    Awaitable<void> returnToService(VmRow vm, std::string why, store::Condition fence)
    {
        // Earlier returns in the same step may have changed the rows.
        const auto fresh = co_await this->store.load();
        if (!fresh.ok())
            co_return;
        const WaveRow *wave = nullptr;
        for (const auto &row : fresh->waves) {
            if (row.name == vm.wave && !vm.isLoan())
                wave = &row;
        }
        const auto budget = fresh->budget(vm.pool);
        const auto commit = co_await this->store.returnToService(vm, budget, wave, fence);
        if (commit.state == store::CommitState::Committed)
            this->log({"vm-in-service", vm.name, why});
    }

    FleetStore<Tables> &store;
    Control &control;
    const FleetLog &log;
};

} // namespace sassafrasferry::fleet
