// The leader's session with one worker: a hold call that is always outstanding (a long poll that
// renews leases and returns a report), and orders in parallel to it.
#pragma once

#include <sassafrasferry/coordination/end_cursor.h>
#include <sassafrasferry/coordination/session_events.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/coordination/worker_calls.h>
#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <variant>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

template<WorkerCalls Worker>
class WorkerSession : public std::enable_shared_from_this<WorkerSession<Worker>>
{
public:
    WorkerSession(http::asio::any_io_executor executor, scheduling::Scheduler &scheduler,
                  std::string id, std::unique_ptr<Worker> calls, std::int64_t fence,
                  SessionEvents events)
        : executor(executor)
        , scheduler(scheduler)
        , id(std::move(id))
        , calls(std::move(calls))
        , events(std::move(events))
        , wake(executor)
    {
        scheduler.setFence(fence);
    }

    void begin()
    {
        spawn(this->executor, "hold " + this->id, [self = this->shared_from_this()] {
            return restarted("hold " + self->id, [self] { return self->holdLoop(); });
        });
    }

    /// Sends no further calls. The scheduler is not accessed afterwards.
    void stop()
    {
        if (!std::exchange(this->stopped, true))
            this->endAcknowledgement(false);
        this->wake.notify();
    }

    void order(scheduling::StartOrder order)
    {
        this->push<StartOrPace>(this->orders, std::move(order));
    }

    /// The scheduler repeats a stop until the run has ended, so one that still waits is not added
    /// again.
    void order(scheduling::StopOrder order)
    {
        const auto &waiting = this->stops.waiting;
        const bool isWaiting = std::any_of(waiting.begin(), waiting.end(), [&](const auto &other) {
            return other.task == order.task && other.run == order.run;
        });
        if (!isWaiting)
            this->push(this->stops, std::move(order));
    }

    void order(scheduling::PaceOrder order)
    {
        this->push<StartOrPace>(this->orders, std::move(order));
    }

    /// Called when ends of runs have been recorded.
    void onEndsRecorded()
    {
        if (this->isAwaitingRecord)
            this->wake.notify();
    }

    /// How long a new leader waits for one worker's answer to its first hold. All known tasks wait
    /// until every worker has answered once, so the call is repeated soon after a lost answer. The
    /// timeout grows with the number of workers, since processing their answers takes longer.
    static std::chrono::milliseconds surveyTimeout(std::size_t workers)
    {
        const auto wanted = surveyPerWorker * static_cast<int>(workers);
        return std::clamp<std::chrono::milliseconds>(wanted, minSurveyTimeout, maxSurveyTimeout);
    }

private:
    using StartOrPace = std::variant<scheduling::StartOrder, scheduling::PaceOrder>;

    template<typename Order>
    struct OrderQueue
    {
        std::deque<Order> waiting;
        std::size_t senders = 0; // number of coroutines that send its orders
    };

    static constexpr std::chrono::milliseconds holdWait{1000};
    static constexpr std::chrono::milliseconds surveyPerWorker{3};
    static constexpr std::chrono::milliseconds minSurveyTimeout{250};
    static constexpr std::chrono::milliseconds maxSurveyTimeout{800};
    static constexpr auto retryPause = std::chrono::milliseconds(100);
    // A hold returns at once while an end is unacknowledged, so the next one waits up to this long
    // for the end to be recorded.
    static constexpr auto recordWait = std::chrono::milliseconds(80);
    // Until a call with a higher token is answered, the worker gets no starts.
    static constexpr std::chrono::milliseconds unsettledWait{100};
    // While ends may not be acknowledged, holds return at once, so they are sent at this interval.
    static constexpr auto withheldWait = std::chrono::milliseconds(200);
    // After a hold that reported ends, the next one is delayed in proportion to the number of
    // workers, which limits the rate of answers from all workers together.
    static constexpr auto endBatchDelayPerWorker = std::chrono::microseconds(200);
    static constexpr Duration maxEndBatchDelay = std::chrono::milliseconds(100);
    static constexpr std::size_t maxSenders = 2; // of each queue

    Awaitable<void> holdLoop()
    {
        this->endAcknowledgement(false); // an error has ended the loop before
        while (!this->stopped) {
            const auto *worker = this->scheduler.findWorker(this->id);
            if (!worker || worker->hasEnded)
                co_return;
            if (!this->events.canOrder()) {
                co_await pause(retryPause);
                continue;
            }
            const auto asked = bootNow();
            HoldRequest request;
            request.fence = this->scheduler.fenceFor(this->id);
            const bool isSurvey = !worker->hasReported || worker->fence.isRaised();
            if (this->scheduler.canAcknowledge(this->id, asked))
                request.acknowledged = this->cursor.next(*worker);
            request.until = this->scheduler.leaseUntil(this->id, asked, this->events.leasesEndBy());
            if (isSurvey)
                request.answerTimeout = surveyTimeout(this->scheduler.listedWorkers());
            // After a failed hold, what runs at the worker must become known at once. Starts wait
            // for the answer to an acknowledgement.
            else if (this->reachable && request.acknowledged == 0)
                request.wait = worker->fence.isSettled() ? holdWait : unsettledWait;
            auto answer = co_await this->sendHold(request);
            if (this->stopped)
                co_return;
            if (asked < this->surveyedAt) {
                this->cursor.failed();
                continue;
            }
            answer.answer = this->interpret(answer.answer, request.fence);
            answer.report.fence = request.fence;
            co_await this->take(std::move(answer), request.acknowledged, asked);
        }
    }

    Awaitable<void> take(HoldAnswer answer, std::int64_t acknowledged, Instant asked)
    {
        if (answer.answer == scheduling::OrderAnswer::Accepted) {
            this->setReachable(true, answer.answer);
            this->scheduler.report(answer.report, asked, bootNow());
            if (const auto *reported = this->scheduler.findWorker(this->id))
                this->cursor.answered(acknowledged, answer.report, *reported);
            this->events.onChange();
            const auto batchDelay = this->scheduler.listedWorkers() * endBatchDelayPerWorker;
            if (!answer.report.ended.empty())
                co_await pause(std::min<Duration>(batchDelay, maxEndBatchDelay));
            if (this->stopped)
                co_return;
            const auto *worker = this->scheduler.findWorker(this->id);
            if (worker && worker->endsSeen > worker->endsRecorded)
                co_await this->waitFor(this->isAwaitingRecord, recordWait);
            if (!this->stopped && this->isWithheld())
                co_await this->waitFor(this->isAwaitingStarts, withheldWait);
            co_return;
        }
        this->cursor.failed();
        if (answer.answer == scheduling::OrderAnswer::Outdated)
            co_return;
        this->setReachable(false, answer.answer);
        if (answer.answer == scheduling::OrderAnswer::Fenced) {
            this->events.onFenced("worker " + this->id + " knows a leader with a higher fence");
            co_return;
        }
        if (answer.answer == scheduling::OrderAnswer::OtherIncarnation) {
            this->scheduler.incarnationEnded(this->id, scheduling::EndEvidence::OtherIncarnation,
                                             bootNow());
            this->events.onChange();
        }
        co_await pause(retryPause);
    }

    /// Notes the worker's clock in an answer. After a restart the outstanding hold may never be
    /// answered, so the present incarnation is asked beside it.
    scheduling::ClockOrigin readClock(const scheduling::OrderReply &reply, Instant asked)
    {
        const auto origin = this->scheduler.readClock(this->id, reply, asked, bootNow());
        if (origin == scheduling::ClockOrigin::Later)
            spawn(this->executor, "survey " + this->id,
                  [self = this->shared_from_this()] { return self->survey(); });
        return origin;
    }

    Awaitable<void> survey()
    {
        if (this->stopped)
            co_return;
        const auto asked = bootNow();
        HoldRequest request;
        request.fence = this->scheduler.fenceFor(this->id);
        request.answerTimeout = surveyTimeout(this->scheduler.listedWorkers());
        auto answer = co_await this->calls->hold(request);
        const auto *worker = this->stopped ? nullptr : this->scheduler.findWorker(this->id);
        if (!worker || worker->hasReported || answer.answer != scheduling::OrderAnswer::Accepted)
            co_return;
        this->surveyedAt = asked;
        answer.report.fence = request.fence;
        this->scheduler.report(answer.report, asked, bootNow());
        this->events.onChange();
    }

    Awaitable<HoldAnswer> sendHold(HoldRequest request)
    {
        if (request.acknowledged != 0) {
            this->isAcknowledging = true;
            this->scheduler.acknowledgementSent(this->id, request.fence);
        }
        auto answer = co_await this->calls->hold(request);
        if (!this->stopped)
            this->endAcknowledgement(answer.answer != scheduling::OrderAnswer::NoAnswer);
        co_return answer;
    }

    /// Notes the outcome of the acknowledgement under way, if there is one.
    void endAcknowledgement(bool isAnswered)
    {
        if (!std::exchange(this->isAcknowledging, false))
            return;
        this->scheduler.acknowledgementOver(this->id, isAnswered);
        for (std::size_t i = 0; i < maxSenders; ++i)
            this->beginSender(this->orders);
    }

    /// True if there are ends to acknowledge, and a start without an answer forbids it.
    bool isWithheld() const
    {
        const auto *worker = this->scheduler.findWorker(this->id);
        return worker && this->cursor.next(*worker) != 0
               && !this->scheduler.canAcknowledge(this->id, bootNow());
    }

    /// Waits until `wake` is notified. `isAwaiting` tells whether it is to be.
    Awaitable<void> waitFor(bool &isAwaiting, Duration limit)
    {
        isAwaiting = true;
        co_await this->wake.wait(limit);
        isAwaiting = false;
    }

    // A refusal shows another leader only if it comes from a worker, and not for a newer call of
    // this leader: anybody may answer at the address of an entry.
    scheduling::OrderAnswer interpret(scheduling::OrderAnswer answer, std::int64_t sent)
    {
        if (answer != scheduling::OrderAnswer::Fenced)
            return answer;
        if (sent < this->scheduler.fenceFor(this->id))
            return scheduling::OrderAnswer::Outdated;
        const auto *worker = this->scheduler.findWorker(this->id);
        return worker && worker->isIdentified ? answer : scheduling::OrderAnswer::NoAnswer;
    }

    void setReachable(bool isReachable, scheduling::OrderAnswer answer)
    {
        if (isReachable == this->reachable)
            return;
        this->reachable = isReachable;
        LOG(WARNING) << "event=worker-" << (isReachable ? "regained" : "lost")
                     << " worker=" << this->id << " answer=" << model::nameOf(answer);
    }

    template<typename Order>
    void push(OrderQueue<Order> &queue, Order order)
    {
        queue.waiting.push_back(std::move(order));
        this->beginSender(queue);
    }

    template<typename Order>
    void beginSender(OrderQueue<Order> &queue)
    {
        if (!this->canSend(queue) || queue.senders >= maxSenders)
            return;
        ++queue.senders;
        spawn(
            this->executor, "orders " + this->id,
            [self = this->shared_from_this(), &queue] { return self->sendAll(queue); },
            [self = this->shared_from_this(), &queue](const std::string &) { --queue.senders; });
    }

    // A start that is sent beside an acknowledgement could be carried out before it by a later
    // incarnation, which would then drop the end of the start's run.
    template<typename Order>
    bool canSend(const OrderQueue<Order> &queue) const
    {
        const bool isHeldBack = std::is_same_v<Order, StartOrPace> && this->isAcknowledging;
        return !queue.waiting.empty() && !isHeldBack && !this->stopped;
    }

    template<typename Order>
    Awaitable<void> sendAll(OrderQueue<Order> &queue)
    {
        while (this->canSend(queue)) {
            const auto order = std::move(queue.waiting.front());
            queue.waiting.pop_front();
            co_await this->send(order);
        }
        --queue.senders;
    }

    Awaitable<void> send(const StartOrPace &order)
    {
        if (const auto *start = std::get_if<scheduling::StartOrder>(&order))
            co_await this->send(*start);
        else
            co_await this->send(std::get<scheduling::PaceOrder>(order));
    }

    Awaitable<void> send(scheduling::StartOrder order)
    {
        const auto now = bootNow();
        order.fence = this->scheduler.fenceFor(this->id);
        scheduling::OrderReply reply{scheduling::OrderAnswer::NotSent, std::nullopt};
        // Shorter than the lease that holds grant, which it leaves unchanged.
        const auto latest = std::min(this->events.leasesEndBy(), this->events.startsValidUntil());
        const auto until = this->scheduler.leaseUntil(this->id, now, latest);
        // The order may have waited while its job or its worker changed.
        if (until && now < order.expires && this->scheduler.isStartWanted(order)
            && this->events.canStart()) {
            this->scheduler.startSent(order, now);
            reply = co_await this->calls->start(order, *until, order.fence);
        }
        if (this->stopped)
            co_return;
        const auto origin = this->readClock(reply, now);
        const auto answer = this->interpret(reply.answer, order.fence);
        this->scheduler.startAnswered(order, answer, bootNow(), origin);
        this->answered(answer);
        if (this->isAwaitingStarts && this->scheduler.canAcknowledge(this->id, bootNow()))
            this->wake.notify();
    }

    Awaitable<void> send(scheduling::StopOrder order)
    {
        const auto asked = bootNow();
        order.fence = this->scheduler.fenceFor(this->id);
        const auto reply = co_await this->calls->stop(order, order.fence);
        if (this->stopped)
            co_return;
        this->readClock(reply, asked);
        const auto answer = this->interpret(reply.answer, order.fence);
        this->scheduler.stopAnswered(order, answer, bootNow());
        this->answered(answer);
    }

    Awaitable<void> send(const scheduling::PaceOrder &order)
    {
        const auto fence = this->scheduler.fenceFor(this->id);
        const auto answer = co_await this->calls->pace(order, fence);
        if (!this->stopped)
            this->answered(this->interpret(answer, fence));
    }

    void answered(scheduling::OrderAnswer answer)
    {
        if (answer == scheduling::OrderAnswer::Fenced)
            this->events.onFenced("worker " + this->id + " knows a leader with a higher fence");
        else if (answer != scheduling::OrderAnswer::Accepted)
            this->events.onChange();
    }

    http::asio::any_io_executor executor;
    scheduling::Scheduler &scheduler; // outlives the session until `stop`, not accessed afterwards
    std::string id;
    std::unique_ptr<Worker> calls;
    SessionEvents events;
    Wake wake;
    EndCursor cursor;
    OrderQueue<StartOrPace> orders;
    // Stops have a queue of their own, so that none waits for the answers to starts.
    OrderQueue<scheduling::StopOrder> stops;
    bool isAwaitingRecord = false; // `holdLoop` waits until ends are recorded
    bool isAwaitingStarts = false; // `holdLoop` waits until no start is without an answer
    bool isAcknowledging = false; // a hold that acknowledges ends is under way
    Instant surveyedAt{}; // answers to holds that were sent earlier are out of date
    bool reachable = true;
    bool stopped = false;
};

} // namespace sassafrasferry::coordination
