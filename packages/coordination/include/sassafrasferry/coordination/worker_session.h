// The leader's talk with one worker: a hold that is always under way, and orders beside it.
#pragma once

#include <sassafrasferry/coordination/end_cursor.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/coordination/worker_calls.h>
#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <variant>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// What a session tells its leader.
struct SessionEvents
{
    std::function<void()> onChange; ///< the scheduler has something to plan for
    std::function<void(const std::string &why)> onFenced; ///< a newer leader is about
    std::function<bool()> mayOrder; ///< the lease was confirmed lately enough
};

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
        , fence(fence)
        , events(std::move(events))
        , nudge(executor)
    {}

    void begin()
    {
        spawn(this->executor, "hold " + this->id, [self = this->shared_from_this()] {
            return restarted("hold " + self->id, [self] { return self->holdLoop(); });
        });
    }

    /// Nothing is sent any more, and the scheduler is not touched.
    void stop()
    {
        this->stopped = true;
        this->nudge.notify();
    }

    void order(scheduling::StartOrder order)
    {
        this->push(std::move(order));
    }

    void order(scheduling::StopOrder order)
    {
        this->push(std::move(order));
    }

    void order(scheduling::PaceOrder order)
    {
        this->push(std::move(order));
    }

    /// Ends of this worker have been recorded.
    void recorded()
    {
        if (this->awaitsRecord)
            this->nudge.notify();
    }

    /// How long a new leader waits for one answer of one worker. All known tasks wait until every
    /// worker has answered once, so a lost answer is asked for again soon. With many workers the
    /// answers themselves take their time.
    static std::chrono::milliseconds surveyPatience(std::size_t workers)
    {
        const auto wanted = surveyPerWorker * static_cast<int>(workers);
        return std::clamp<std::chrono::milliseconds>(wanted, leastSurvey, mostSurvey);
    }

private:
    using Order =
        std::variant<scheduling::StartOrder, scheduling::StopOrder, scheduling::PaceOrder>;

    static constexpr std::chrono::milliseconds holdWait{1000};
    static constexpr std::chrono::milliseconds surveyPerWorker{3};
    static constexpr std::chrono::milliseconds leastSurvey{250};
    static constexpr std::chrono::milliseconds mostSurvey{800};
    static constexpr auto retryPause = std::chrono::milliseconds(100);
    // A hold answers at once while an end is not acknowledged, so it waits for the record.
    static constexpr auto recordWait = std::chrono::milliseconds(80);
    // Ends of a worker are gathered for as long as keeps the answers of all workers bearable.
    static constexpr auto gatherPerWorker = std::chrono::microseconds(200);
    static constexpr Duration mostGather = std::chrono::milliseconds(100);
    static constexpr std::size_t mostOrdersAtOnce = 2;

    Awaitable<void> holdLoop()
    {
        while (!this->stopped) {
            const auto *worker = this->scheduler.findWorker(this->id);
            if (!worker || worker->over)
                co_return;
            if (!this->events.mayOrder()) {
                co_await pause(retryPause);
                continue;
            }
            const bool isSurvey = !worker->surveyed;
            const auto asked = bootNow();
            HoldRequest request;
            request.fence = this->fence;
            request.acknowledged = this->cursor.next(*worker);
            request.until = this->scheduler.leaseUntil(this->id, asked);
            if (!isSurvey)
                request.wait = holdWait;
            else
                request.patience = surveyPatience(this->scheduler.listedWorkers());
            auto answer = co_await this->calls->hold(request);
            if (this->stopped)
                co_return;
            co_await this->take(std::move(answer), request.acknowledged, asked);
        }
    }

    Awaitable<void> take(HoldAnswer answer, std::int64_t acknowledged, Instant asked)
    {
        if (answer.answer == scheduling::OrderAnswer::Accepted) {
            this->noteReach(true, answer.answer);
            this->scheduler.report(answer.report, asked, bootNow());
            if (const auto *reported = this->scheduler.findWorker(this->id))
                this->cursor.answered(acknowledged, answer.report, *reported);
            this->events.onChange();
            const auto gather = this->scheduler.listedWorkers() * gatherPerWorker;
            if (!answer.report.ended.empty())
                co_await pause(std::min<Duration>(gather, mostGather));
            if (this->stopped)
                co_return;
            const auto *worker = this->scheduler.findWorker(this->id);
            if (worker && worker->endsSeen > worker->endsRecorded) {
                this->awaitsRecord = true;
                co_await this->nudge.wait(recordWait);
                this->awaitsRecord = false;
            }
            co_return;
        }
        this->cursor.failed();
        this->noteReach(false, answer.answer);
        if (answer.answer == scheduling::OrderAnswer::Fenced) {
            this->events.onFenced("worker " + this->id + " has heard a newer leader");
            co_return;
        }
        if (answer.answer == scheduling::OrderAnswer::OtherIncarnation) {
            this->scheduler.incarnationEnded(this->id, scheduling::EndEvidence::OtherIncarnation,
                                             bootNow());
            this->events.onChange();
        }
        co_await pause(retryPause);
    }

    void noteReach(bool reached, scheduling::OrderAnswer answer)
    {
        if (reached == this->reachable)
            return;
        this->reachable = reached;
        LOG(WARNING) << "event=worker-" << (reached ? "regained" : "lost") << " worker=" << this->id
                     << " answer=" << model::nameOf(answer);
    }

    void push(Order order)
    {
        this->orders.push_back(std::move(order));
        if (this->busy >= mostOrdersAtOnce)
            return;
        ++this->busy;
        spawn(
            this->executor, "orders " + this->id,
            [self = this->shared_from_this()] { return self->work(); },
            [self = this->shared_from_this()](const std::string &) { --self->busy; });
    }

    Awaitable<void> work()
    {
        while (!this->orders.empty() && !this->stopped) {
            auto order = std::move(this->orders.front());
            this->orders.pop_front();
            if (auto *start = std::get_if<scheduling::StartOrder>(&order))
                co_await this->send(*start);
            else if (auto *stop = std::get_if<scheduling::StopOrder>(&order))
                co_await this->send(*stop);
            else
                co_await this->send(std::get<scheduling::PaceOrder>(order));
        }
        --this->busy;
    }

    Awaitable<void> send(const scheduling::StartOrder &order)
    {
        const auto now = bootNow();
        auto answer = scheduling::OrderAnswer::NotSent;
        const auto until = this->scheduler.leaseUntil(this->id, now);
        if (until && now < order.expires && this->events.mayOrder())
            answer = co_await this->calls->start(order, *until, this->fence);
        if (this->stopped)
            co_return;
        this->scheduler.startAnswered(order, answer, bootNow());
        this->answered(answer);
    }

    Awaitable<void> send(const scheduling::StopOrder &order)
    {
        const auto answer = co_await this->calls->stop(order, this->fence);
        if (this->stopped)
            co_return;
        this->scheduler.stopAnswered(order, answer, bootNow());
        this->answered(answer);
    }

    Awaitable<void> send(const scheduling::PaceOrder &order)
    {
        const auto answer = co_await this->calls->pace(order, this->fence);
        if (!this->stopped)
            this->answered(answer);
    }

    void answered(scheduling::OrderAnswer answer)
    {
        if (answer == scheduling::OrderAnswer::Fenced)
            this->events.onFenced("worker " + this->id + " has heard a newer leader");
        else if (answer != scheduling::OrderAnswer::Accepted)
            this->events.onChange();
    }

    http::asio::any_io_executor executor;
    scheduling::Scheduler &scheduler; // outlives every call made before `stop`
    std::string id;
    std::unique_ptr<Worker> calls;
    std::int64_t fence;
    SessionEvents events;
    Wake nudge;
    EndCursor cursor;
    std::deque<Order> orders;
    std::size_t busy = 0; // coroutines that send orders
    bool awaitsRecord = false;
    bool reachable = true;
    bool stopped = false;
};

} // namespace sassafrasferry::coordination
