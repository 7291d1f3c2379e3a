// Calls from the leaders of a `JobSimulation` to its workers.
#pragma once

#include "job_simulation.h"

namespace sassafrasferry::scheduling::tests {

inline void JobSimulation::hold(const std::shared_ptr<SimLeader> &leader)
{
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        const auto id = this->workers[i].id;
        const auto [entry, isNew] = leader->nextHoldAt.try_emplace(id, this->now);
        auto &next = entry->second;
        if (isNew && leader->fence > 1)
            next += this->random.between(Duration(0), this->times.firstHoldDelay);
        if (this->now < next || !leader->scheduler.findWorker(id))
            continue;
        next = this->now + this->times.holdInterval;
        const auto asked = this->now;
        const auto until = leader->scheduler.leaseUntil(id, this->now, this->leasesEndBy(*leader));
        const auto token = leader->scheduler.fenceFor(id);
        const auto *worker = leader->scheduler.findWorker(id);
        const bool isSurvey = !worker->hasReported || worker->fence.isRaised();
        const auto isAfterFailure = leader->holdNumbers[id] != leader->answeredHolds[id];
        if (isAfterFailure)
            leader->loseAcknowledgement(id);
        const auto ack = isAfterFailure ? 0 : leader->acknowledge(id, token, this->now);
        const bool isWaiting = !isSurvey && !isAfterFailure && ack == 0;
        const auto wait = isWaiting ? this->times.holdWait : Duration::zero();
        if (this->times.holdWait > Duration::zero())
            next = this->now + wait + this->times.holdTimeout + this->times.holdRetry;
        const auto number = ++leader->holdNumbers[id];
        const auto answered = [this, leader, asked, id, token,
                               number](std::optional<WorkerReport> report) {
            if (!leader->alive || leader->holdNumbers[id] != number)
                return;
            leader->answeredHolds[id] = number;
            leader->receiveAcknowledgement(id);
            if (this->times.holdWait > Duration::zero())
                leader->nextHoldAt[id] = this->now;
            if (report) {
                report->fence = token;
                leader->scheduler.report(*report, asked, this->now);
            } else if (token >= leader->scheduler.fenceFor(id)) {
                leader->alive = false; // the worker knows a newer leader
            }
        };
        this->calls.hold<std::optional<WorkerReport>>(
            leader->fence, i, wait,
            [this, token, ack, until](SimWorker &worker) {
                return worker.hold(token, ack, until, this->now, this->callbacksFor(worker));
            },
            [this, token](SimWorker &worker) {
                return worker.hold(token, 0, std::nullopt, this->now, this->callbacksFor(worker));
            },
            answered);
    }
}

inline void JobSimulation::sendOrders(const std::shared_ptr<SimLeader> &leader)
{
    auto orders = leader->scheduler.plan(this->now, 0);
    const auto interpret = [leader](const auto &order, OrderAnswer answer) {
        const bool isOwn =
            answer == OrderAnswer::Fenced && order.fence < leader->scheduler.fenceFor(order.worker);
        return isOwn ? OrderAnswer::Outdated : answer;
    };
    for (auto &start : orders.starts) {
        start.fence = leader->scheduler.fenceFor(start.worker);
        const auto index = static_cast<std::size_t>(std::stoul(start.worker.substr(1)));
        const auto until =
            leader->scheduler.leaseUntil(start.worker, this->now, this->leasesEndBy(*leader));
        if (!until || !leader->scheduler.isStartWanted(start)) {
            leader->scheduler.startAnswered(start, OrderAnswer::NotSent, this->now);
            continue;
        }
        leader->scheduler.startSent(start, this->now);
        this->calls.order(
            leader->fence, index,
            [this, start, until](SimWorker &worker) {
                return worker.start(start, *until, start.fence, this->now,
                                    this->callbacksFor(worker));
            },
            [this, leader, start, interpret, asked = this->now](const OrderReply &reply) {
                if (!leader->alive)
                    return;
                const auto origin =
                    leader->scheduler.readClock(start.worker, reply, asked, this->now);
                leader->scheduler.startAnswered(start, interpret(start, reply.answer), this->now,
                                                origin);
            });
    }
    for (auto &stop : orders.stops) {
        stop.fence = leader->scheduler.fenceFor(stop.worker);
        const auto index = static_cast<std::size_t>(std::stoul(stop.worker.substr(1)));
        this->calls.order(
            leader->fence, index,
            [this, stop](SimWorker &worker) {
                return worker.stop(stop, stop.fence, this->callbacksFor(worker));
            },
            [this, leader, stop, interpret, asked = this->now](const OrderReply &reply) {
                if (!leader->alive)
                    return;
                leader->scheduler.readClock(stop.worker, reply, asked, this->now);
                leader->scheduler.stopAnswered(stop, interpret(stop, reply.answer), this->now);
            });
    }
}

} // namespace sassafrasferry::scheduling::tests
