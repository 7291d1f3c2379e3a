// The calls of the leaders of a `MoveOrderWorld` to workers and to the platform.
#pragma once

#include "move_order_world.h"

namespace sassafrasferry::scheduling::tests {

inline std::optional<Duration> MoveOrderWorld::carriedOutAfter(const std::string &id, bool isLate)
{
    if (isLate)
        return lateness;
    if (!this->isHanging(id))
        return this->fleet.worker(id).isReached(this->now) ? std::optional(Duration::zero())
                                                           : std::nullopt;
    if (this->dropsCalls.count(id) != 0)
        return std::nullopt;
    return this->hangUntil.at(id) - this->now;
}

// One hold is always under way; it is answered at an end or when its time is over, or fails with
// the worker's incarnation.
inline void MoveOrderWorld::hold(const LeaderPointer &leader, const std::string &id)
{
    auto &next = leader->holdAt[id];
    if (this->now < next)
        return;
    if (this->isReused(id)) {
        next = this->now + retry;
        leader->scheduler.incarnationEnded(id, EndEvidence::OtherIncarnation, this->now);
        return;
    }
    const auto until = leader->scheduler.leaseUntil(id, this->now);
    const auto acknowledged = leader->scheduler.acknowledged(id);
    const bool isLate = this->takeArmed(MoveFault::HoldLate);
    const auto after = this->carriedOutAfter(id, isLate);
    if (!after || *after > Duration::zero()) {
        next = this->now + (this->isHanging(id) || isLate ? patience : retry);
        if (after)
            this->later(*after, [this, leader, id, acknowledged, until] {
                auto &worker = this->fleet.worker(id);
                if (worker.isReached(this->now))
                    worker.hold(leader->fence, acknowledged, until, this->now,
                                this->eventsOf(worker));
            });
        return;
    }
    auto &worker = this->fleet.worker(id);
    const auto report =
        worker.hold(leader->fence, acknowledged, until, this->now, this->eventsOf(worker));
    if (!report) {
        leader->alive = false;
        return;
    }
    next = Instant::max();
    const bool isSurvey = !leader->scheduler.findWorker(id)->surveyed;
    this->awaitEnd(leader, *report, this->now,
                   this->now + (isSurvey ? Duration::zero() : holdWait));
}

inline void MoveOrderWorld::awaitEnd(const LeaderPointer &leader, const WorkerReport &report,
                                     Instant asked, Instant deadline)
{
    if (!report.ended.empty() || this->now >= deadline) {
        this->answerHold(leader, report, asked);
        return;
    }
    this->later(tickTime, [this, leader, asked, deadline, id = report.worker, born = report.born] {
        if (!leader->alive)
            return;
        auto &worker = this->fleet.worker(id);
        leader->holdAt[id] = this->now + retry;
        if (!worker.isReached(this->now) || worker.born != born || this->isHanging(id))
            return;
        const auto next =
            worker.hold(leader->fence, 0, std::nullopt, this->now, this->eventsOf(worker));
        leader->alive = next.has_value();
        if (!next)
            return;
        leader->holdAt[id] = Instant::max();
        this->awaitEnd(leader, *next, asked, deadline);
    });
}

inline void MoveOrderWorld::answerHold(const LeaderPointer &leader, const WorkerReport &report,
                                       Instant asked)
{
    for (const auto &end : report.ended)
        this->promises.listed(end, this->now);
    this->later(answerTime, [this, leader, report, asked] {
        if (!leader->alive)
            return;
        const auto &worker = this->fleet.worker(report.worker);
        const bool isLost = !worker.isReached(this->now) || worker.born != report.born;
        leader->holdAt[report.worker] = this->now + (isLost ? retry : Duration::zero());
        if (!isLost)
            leader->scheduler.report(report, asked, this->now);
    });
}

template<typename Call, typename Answered>
void MoveOrderWorld::exchange(const LeaderPointer &leader, const std::string &id, bool isLate,
                              bool isLost, Call call, Answered answered)
{
    const auto answer = [this, leader, answered](OrderAnswer result, Duration delay) {
        this->later(delay, [leader, answered, result] {
            if (leader->alive)
                answered(result);
        });
    };
    if (this->isReused(id)) {
        answer(OrderAnswer::OtherIncarnation, answerTime);
        return;
    }
    const auto after = this->carriedOutAfter(id, isLate);
    if (after && *after == Duration::zero()) {
        const auto result = call(this->fleet.worker(id));
        answer(isLost ? OrderAnswer::NoAnswer : result, isLost ? patience : answerTime);
        return;
    }
    if (after)
        this->later(*after, [this, id, call] {
            auto &worker = this->fleet.worker(id);
            if (worker.isReached(this->now))
                call(worker);
        });
    answer(OrderAnswer::NoAnswer, patience);
}

inline void MoveOrderWorld::order(const LeaderPointer &leader)
{
    const auto orders = leader->scheduler.plan(this->now, 0);
    for (const auto &stop : orders.stops) {
        this->exchange(
            leader, stop.worker, this->takeArmed(MoveFault::StopLate), false,
            [this, stop, fence = leader->fence](SimWorker &worker) {
                return worker.stop(stop, fence, this->eventsOf(worker));
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
        this->exchange(
            leader, start.worker, this->takeArmed(MoveFault::StartLate),
            this->takeArmed(MoveFault::StartUnanswered),
            [this, start, until, fence = leader->fence](SimWorker &worker) {
                return worker.start(start, *until, fence, this->now, this->eventsOf(worker));
            },
            [this, leader, start](OrderAnswer answer) {
                leader->scheduler.startAnswered(start, answer, this->now);
            });
    }
}

inline void MoveOrderWorld::orderVms(const LeaderPointer &leader)
{
    if (this->now - leader->listedAt >= listPeriod) {
        leader->listedAt = this->now;
        leader->planner.listVms(this->listedVms(), this->now);
    }
    for (const auto &order : leader->planner.plan(leader->scheduler, this->now, 0)) {
        const auto vm = static_cast<std::size_t>(std::stoul(order.vm.substr(2)));
        const bool isLost = this->takeArmed(MoveFault::VmOrderUnanswered);
        const bool isSlow = !isLost && this->takeArmed(MoveFault::VmOrderAnsweredLate);
        const auto answer =
            isLost ? (this->carryOut(order, vm), FleetAnswer::NoAnswer) : this->carryOut(order, vm);
        this->later(isLost   ? patience
                    : isSlow ? lateVmAnswer
                             : tickTime,
                    [this, leader, order, answer] {
                        if (leader->alive)
                            leader->planner.answered(order, answer, leader->scheduler, this->now);
                    });
    }
}

inline FleetAnswer MoveOrderWorld::carryOut(const FleetOrder &order, std::size_t vm)
{
    auto &target = this->fleet.vms[vm];
    const bool isMove = order.action == FleetAction::Move;
    if (isMove ? target.pool == order.pool : this->fleet.maintained.count(order.vm) != 0)
        return FleetAnswer::Accepted;
    if (target.state != VmState::Up)
        return FleetAnswer::Busy;
    this->fleet.endWorker(vm, this->now, [](const TaskId &) {});
    target.state = isMove ? VmState::Moving : VmState::Maintenance;
    if (isMove) {
        target.pool = order.pool;
        ++this->moves;
    } else {
        this->fleet.maintained.insert(order.vm);
    }
    this->later(isMove ? moveTime : maintenance, [this, vm] {
        this->fleet.vms[vm].state = VmState::Up;
        if (this->fleet.vms[vm].pool != MoveFleet::standby)
            this->fleet.join(vm, this->now);
    });
    return FleetAnswer::Accepted;
}

} // namespace sassafrasferry::scheduling::tests
