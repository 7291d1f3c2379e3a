// Calls of simulated leaders to workers: they take time, may not arrive or be executed late, and
// their answers may be lost.
#pragma once

#include "event_queue.h"
#include "fault_rates.h"
#include "sim_random.h"
#include "sim_worker.h"

#include <functional>
#include <utility>
#include <vector>

namespace sassafrasferry::scheduling::tests {

/// The parts of the simulation outlive it.
class SimCalls
{
public:
    SimCalls(SimRandom &random, const FaultRates &faults, EventQueue &events,
             std::vector<SimWorker> &workers, const Instant &now)
        : random(random)
        , faults(faults)
        , events(events)
        , workers(workers)
        , now(now)
    {}

    /// Calls the worker at `index` with an order of the leader with the fence `leader`. `answered`
    /// is called in any case.
    void order(std::int64_t leader, std::size_t index, std::function<OrderAnswer(SimWorker &)> call,
               std::function<void(OrderReply)> answered)
    {
        if (this->random.chance(this->faults.lateOrder)) {
            this->carryOutLate(leader, index, call);
            this->answerAfter(timeout, {}, answered);
            return;
        }
        this->runAfter(this->travelTime(), [this, leader, index, call, answered] {
            auto &worker = this->workers[index];
            if (!worker.isReachableFor(leader, this->now)) {
                this->sendAgain(leader, index, call);
                this->answerAfter(timeout, {}, answered);
                return;
            }
            const auto answer = call(worker);
            const bool isLost = this->random.chance(this->faults.lostAnswer);
            this->answerAfter(isLost ? timeout : answerTime,
                              isLost ? OrderReply{} : OrderReply{answer, worker.clockAt(this->now)},
                              answered);
        });
    }

    /// Calls the worker at `index` with a hold of the leader that it answers after `wait`, or at
    /// once if runs have ended. The answer goes to `answered` if both arrive.
    template<typename Answer>
    void hold(std::int64_t leader, std::size_t index, Duration wait,
              std::function<Answer(SimWorker &)> call, std::function<Answer(SimWorker &)> report,
              std::function<void(const Answer &)> answered)
    {
        if (this->faults.lateHold > 0 && this->random.chance(this->faults.lateHold)) {
            this->carryOutLate(leader, index, call);
            return;
        }
        this->runAfter(this->travelTime(), [this, leader, index, wait, call, report, answered] {
            auto &worker = this->workers[index];
            if (!worker.isReachableFor(leader, this->now)) {
                this->sendAgain(leader, index, call);
                return;
            }
            if (this->now < worker.holdsLostUntil) {
                if (this->random.chance(lostHoldCarriedOut))
                    call(worker);
                return;
            }
            const auto answer = call(worker);
            if (wait == Duration::zero() || !answer || !worker.ends.empty()) {
                this->answerHold(answer, answered);
                return;
            }
            this->runAfter(wait, [this, leader, index, born = worker.born, report, answered] {
                auto &answering = this->workers[index];
                if (answering.isReachableFor(leader, this->now) && answering.born == born
                    && this->now >= answering.holdsLostUntil)
                    this->answerHold(report(answering), answered);
            });
        });
    }

private:
    static constexpr Duration timeout = 800ms;
    static constexpr Duration answerTime = 3ms;
    static constexpr Duration longestResend = 1s;
    static constexpr double lostHoldCarriedOut = 0.5; // share

    template<typename Call>
    void carryOutLate(std::int64_t leader, std::size_t index, Call call)
    {
        this->runAfter(this->random.between(Duration(2s), Duration(12s)),
                       [this, leader, index, born = this->workers[index].born, call] {
                           auto &worker = this->workers[index];
                           if (worker.isReachableFor(leader, this->now)
                               && (worker.born == born || this->faults.lateReachesNext))
                               call(worker);
                       });
    }

    // A connection that is opened while a process is down reaches the next one at its address.
    template<typename Call>
    void sendAgain(std::int64_t leader, std::size_t index, Call call)
    {
        const auto downUntil = this->workers[index].downUntil;
        if (this->now >= downUntil)
            return;
        const auto resentAfter = this->random.between(Duration(0), longestResend);
        this->runAfter(downUntil - this->now + resentAfter, [this, leader, index, call] {
            auto &next = this->workers[index];
            if (next.isReachableFor(leader, this->now))
                call(next);
        });
    }

    template<typename Answer>
    void answerHold(const Answer &answer, const std::function<void(const Answer &)> &answered)
    {
        if (this->random.chance(this->faults.lostAnswer))
            return;
        this->runAfter(this->travelTime(), [answer, answered] { answered(answer); });
    }

    Duration travelTime()
    {
        return this->random.between(Duration(1ms), Duration(20ms));
    }

    void runAfter(Duration delay, std::function<void()> callback)
    {
        this->events.add(this->now + delay, std::move(callback));
    }

    void answerAfter(Duration delay, const OrderReply &reply,
                     const std::function<void(OrderReply)> &answered)
    {
        this->runAfter(delay, [answered, reply] { answered(reply); });
    }

    SimRandom &random;
    const FaultRates &faults;
    EventQueue &events;
    std::vector<SimWorker> &workers;
    const Instant &now;
};

} // namespace sassafrasferry::scheduling::tests
