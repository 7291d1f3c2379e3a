// Orders about VMs that the platform may still execute: those of this leader that got no answer,
// and those that it adopted from an earlier leader.
#include "fleet_round.h"

#include <absl/strings/str_cat.h>

namespace sassafrasferry::scheduling {

void FleetPlanner::adoptOrder(const OpenVmOrder &open, Scheduler &scheduler, Instant until)
{
    const auto &order = open.order;
    this->deferOrders(order.vm, until);
    auto &entry = this->vms[order.vm];
    entry.unansweredOrder = order;
    entry.isAdopted = true;
    entry.workerToEnd = open.worker;
    scheduler.holdVm(order.vm);
    this->notes.push_back(
        {"order-adopted", order.vm,
         absl::StrCat("to=", order.pool, " wave=", order.wave, " worker=", open.worker)});
}

// An earlier leader gave the VM no work while the order was open. Work on it therefore shows that
// the order was answered or never sent. A worker of the target pool shows that a move was executed.
void FleetPlanner::releaseSettledVms(Scheduler &scheduler)
{
    for (auto &row : this->vms) {
        auto &entry = row.second;
        const auto *worker = entry.isAdopted ? scheduler.workerOf(row.first) : nullptr;
        if (!worker || !worker->hasReported || entry.orderInProgress)
            continue;
        const bool hasMoved = worker->listing.service == entry.unansweredOrder->pool;
        if (!hasMoved && worker->runs.empty())
            continue;
        this->notes.push_back({"order-settled", row.first,
                               absl::StrCat("evidence=", hasMoved ? "moved" : "work",
                                            " worker=", worker->listing.id)});
        scheduler.cancelEvacuation(worker->listing.id);
        this->settleOrder(entry, scheduler);
    }
}

void FleetPlanner::settleOrder(Entry &entry, Scheduler &scheduler)
{
    entry.unansweredOrder.reset();
    entry.isAdopted = false;
    scheduler.releaseVm(entry.vm.name);
}

std::vector<OpenVmOrder> FleetPlanner::openOrders() const
{
    std::vector<OpenVmOrder> orders;
    for (const auto &row : this->vms) {
        const auto &entry = row.second;
        const auto &order = entry.orderInProgress ? entry.orderInProgress : entry.unansweredOrder;
        if (order)
            orders.push_back({*order, entry.workerToEnd});
    }
    return orders;
}

// Work on a VM whose unanswered order may still be executed would be lost. The VM therefore stays
// empty and the same order is sent again; the platform accepts an order that it already executed.
// An adopted order may never have been sent, so the VM may still hold what the order would end.
void FleetPlanner::repeatUnansweredOrders(Round &round)
{
    for (auto &entry : this->vms) {
        auto &vm = entry.second;
        if (!vm.unansweredOrder || vm.orderInProgress || round.now < vm.noOrderBefore)
            continue;
        if (vm.isAdopted && !round.scheduler.isVmEmpty(entry.first, round.now))
            continue;
        const auto order = *vm.unansweredOrder;
        this->issueOrder(vm, order, round);
    }
}

// An unanswered order that this leader sent may be executed in any case, so it has to be sent again
// even if the VM is not empty any more.
bool FleetPlanner::canSend(const FleetOrder &order, const Scheduler &scheduler, Instant now) const
{
    const auto entry = this->vms.find(order.vm);
    const bool mayStillBeExecuted =
        entry != this->vms.end() && entry->second.unansweredOrder && !entry->second.isAdopted;
    return mayStillBeExecuted || scheduler.isVmEmpty(order.vm, now);
}

} // namespace sassafrasferry::scheduling
