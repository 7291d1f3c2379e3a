// Calls from the leaders of a `VmMoveSimulation` to workers and to the platform.
#pragma once

#include "vm_move_simulation.h"

namespace sassafrasferry::scheduling::tests {

inline std::optional<Duration> VmMoveSimulation::executionDelay(const std::string &id, bool isLate)
{
    if (isLate)
        return lateOrderDelay;
    if (!this->isHanging(id))
        return this->fleet.worker(id).isReachable(this->now) ? std::optional(Duration::zero())
                                                             : std::nullopt;
    if (this->droppingWorkers.count(id) != 0)
        return std::nullopt;
    return this->hangUntil.at(id) - this->now;
}

// A leader always has one pending hold at each worker. The hold is answered when a run ends or its
// time is up, and fails if the worker's incarnation ends.
inline void VmMoveSimulation::hold(const LeaderPointer &leader, const std::string &id)
{
    auto &next = leader->nextHoldAt[id];
    if (this->now < next)
        return;
    if (this->isAddressReused(id)) {
        next = this->now + retryDelay;
        leader->scheduler.incarnationEnded(id, EndEvidence::OtherIncarnation, this->now);
        return;
    }
    const auto until = leader->scheduler.leaseUntil(id, this->now);
    const auto acknowledged =
        leader->scheduler.canAcknowledge(id, this->now) ? leader->scheduler.acknowledged(id) : 0;
    const bool isLate = this->takePendingFault(MoveFault::HoldLate);
    const auto after = this->executionDelay(id, isLate);
    if (!after || *after > Duration::zero()) {
        next = this->now + (this->isHanging(id) || isLate ? callTimeout : retryDelay);
        if (after)
            this->runAfter(*after, [this, leader, id, acknowledged, until] {
                auto &worker = this->fleet.worker(id);
                if (worker.isReachable(this->now))
                    worker.hold(leader->fence, acknowledged, until, this->now,
                                this->callbacksFor(worker));
            });
        return;
    }
    auto &worker = this->fleet.worker(id);
    const auto report =
        worker.hold(leader->fence, acknowledged, until, this->now, this->callbacksFor(worker));
    if (!report) {
        leader->alive = false;
        return;
    }
    next = Instant::max();
    const bool isSurvey = !leader->scheduler.findWorker(id)->hasReported;
    this->awaitEnd(leader, *report, this->now,
                   this->now + (isSurvey ? Duration::zero() : holdWait));
}

inline void VmMoveSimulation::awaitEnd(const LeaderPointer &leader, const WorkerReport &report,
                                       Instant asked, Instant deadline)
{
    if (!report.ended.empty() || this->now >= deadline) {
        this->answerHold(leader, report, asked);
        return;
    }
    this->runAfter(
        tickTime, [this, leader, asked, deadline, id = report.worker, born = report.born] {
            if (!leader->alive)
                return;
            auto &worker = this->fleet.worker(id);
            leader->nextHoldAt[id] = this->now + retryDelay;
            if (!worker.isReachable(this->now) || worker.born != born || this->isHanging(id))
                return;
            const auto next =
                worker.hold(leader->fence, 0, std::nullopt, this->now, this->callbacksFor(worker));
            leader->alive = next.has_value();
            if (!next)
                return;
            leader->nextHoldAt[id] = Instant::max();
            this->awaitEnd(leader, *next, asked, deadline);
        });
}

inline void VmMoveSimulation::answerHold(const LeaderPointer &leader, const WorkerReport &report,
                                         Instant asked)
{
    for (const auto &end : report.ended)
        this->invariants.endReported(end, this->now);
    this->runAfter(answerTime, [this, leader, report, asked] {
        if (!leader->alive)
            return;
        const auto &worker = this->fleet.worker(report.worker);
        const bool isLost = !worker.isReachable(this->now) || worker.born != report.born;
        leader->nextHoldAt[report.worker] = this->now + (isLost ? retryDelay : Duration::zero());
        if (!isLost)
            leader->scheduler.report(report, asked, this->now);
    });
}

template<typename Call, typename Answered>
void VmMoveSimulation::exchange(const LeaderPointer &leader, const std::string &id, bool isLate,
                                bool isLost, Call call, Answered answered)
{
    const auto answer = [this, leader, answered](OrderAnswer result, Duration delay) {
        this->runAfter(delay, [leader, answered, result] {
            if (leader->alive)
                answered(result);
        });
    };
    if (this->isAddressReused(id)) {
        answer(OrderAnswer::OtherIncarnation, answerTime);
        return;
    }
    const auto after = this->executionDelay(id, isLate);
    if (after && *after == Duration::zero()) {
        const auto result = call(this->fleet.worker(id));
        answer(isLost ? OrderAnswer::NoAnswer : result, isLost ? callTimeout : answerTime);
        return;
    }
    if (after)
        this->runAfter(*after, [this, id, call] {
            auto &worker = this->fleet.worker(id);
            if (worker.isReachable(this->now))
                call(worker);
        });
    answer(OrderAnswer::NoAnswer, callTimeout);
}

inline void VmMoveSimulation::sendOrders(const LeaderPointer &leader)
{
    const auto orders = leader->scheduler.plan(this->now, 0);
    for (const auto &stop : orders.stops) {
        this->exchange(
            leader, stop.worker, this->takePendingFault(MoveFault::StopLate), false,
            [this, stop, fence = leader->fence](SimWorker &worker) {
                return worker.stop(stop, fence, this->callbacksFor(worker));
            },
            [this, leader, stop](OrderAnswer answer) {
                leader->scheduler.stopAnswered(stop, answer, this->now);
            });
    }
    for (const auto &start : orders.starts) {
        const auto until = leader->scheduler.leaseUntil(start.worker, this->now);
        if (!until) {
            leader->scheduler.startAnswered(start, OrderAnswer::NotSent, this->now);
            continue;
        }
        leader->scheduler.startSent(start, this->now);
        this->exchange(
            leader, start.worker, this->takePendingFault(MoveFault::StartLate),
            this->takePendingFault(MoveFault::StartUnanswered),
            [this, start, until, fence = leader->fence](SimWorker &worker) {
                return worker.start(start, *until, fence, this->now, this->callbacksFor(worker));
            },
            [this, leader, start](OrderAnswer answer) {
                leader->scheduler.startAnswered(start, answer, this->now);
            });
    }
}

inline void VmMoveSimulation::sendVmOrders(const LeaderPointer &leader)
{
    if (this->now - leader->vmsListedAt >= listPeriod) {
        leader->vmsListedAt = this->now;
        leader->planner.updateVms(this->listedVms(), this->now);
    }
    const auto orders = leader->planner.plan(leader->scheduler, this->now, 0);
    for (const auto &order : orders)
        leader->orderedAt[order.vm] = this->now;
    this->writeLease(*leader);
    for (const auto &order : orders)
        this->sendVmOrder(leader, order);
}

inline void VmMoveSimulation::sendVmOrder(const LeaderPointer &leader, const FleetOrder &order)
{
    const auto answer = [this, leader, order](FleetAnswer result, Duration delay) {
        this->runAfter(delay, [this, leader, order, result] {
            if (leader->alive)
                leader->planner.handleAnswer(order, result, leader->scheduler, this->now);
        });
    };
    if (this->takePendingFault(MoveFault::VmOrderLate)) {
        this->runAfter(lateVmOrderDelay,
                       [this, order, fence = leader->fence] { this->execute(order, fence); });
        answer(FleetAnswer::NoAnswer, callTimeout);
        return;
    }
    const bool isLost = this->takePendingFault(MoveFault::VmOrderUnanswered);
    const bool isSlow = !isLost && this->takePendingFault(MoveFault::VmOrderAnsweredLate);
    const auto result = this->execute(order, leader->fence);
    if (isLost)
        answer(FleetAnswer::NoAnswer, callTimeout);
    else
        answer(result, isSlow ? lateVmAnswer : tickTime);
}

inline FleetAnswer VmMoveSimulation::execute(const FleetOrder &order, std::int64_t fence)
{
    const auto vm = static_cast<std::size_t>(std::stoul(order.vm.substr(2)));
    auto &target = this->fleet.vms[vm];
    const bool isMove = order.action == FleetAction::Move;
    if (isMove ? target.pool == order.pool : this->fleet.maintained.count(order.vm) != 0)
        return FleetAnswer::Accepted;
    if (target.state != VmState::Up)
        return FleetAnswer::Busy;
    if (fence < this->leaders.back()->fence)
        ++this->ordersOfFormerLeaders;
    if (const auto *worker = this->fleet.workerAt(vm))
        this->checkOrderEndsNothing(*worker, order, fence);
    this->fleet.endWorker(vm, this->now, [](const TaskId &) {});
    target.state = isMove ? VmState::Moving : VmState::Maintenance;
    if (isMove) {
        target.pool = order.pool;
        ++this->moves;
    } else {
        this->fleet.maintained.insert(order.vm);
    }
    this->runAfter(isMove ? moveTime : maintenanceTime, [this, vm] {
        this->fleet.vms[vm].state = VmState::Up;
        if (this->fleet.vms[vm].pool != MoveFleet::standby)
            this->fleet.startWorker(vm, this->now);
    });
    return FleetAnswer::Accepted;
}

// A run of a later leader shows that it gave the VM work while this order could still be executed.
inline void VmMoveSimulation::checkOrderEndsNothing(const SimWorker &worker,
                                                    const FleetOrder &order, std::int64_t fence)
{
    const auto check = [&](const char *what, const TaskId &task, std::int64_t run) {
        if (run > (fence + 1) * runsPerTerm)
            this->invariants.violations.push_back("an order of leader " + std::to_string(fence)
                                                  + " about " + order.vm + " ended " + what
                                                  + " of a later leader: " + jobs::toString(task)
                                                  + " run " + std::to_string(run));
    };
    for (const auto &run : worker.runs)
        check("a run", run.first.task, run.first.number);
    for (const auto &end : worker.ends)
        check("a listed end", end.task, end.run);
}

} // namespace sassafrasferry::scheduling::tests
