// A scripted worker, the client that a session calls it with, and a session with both.
#pragma once

#include <sassafrasferry/coordination/worker_session.h>

#include <boost/asio/io_context.hpp>

#include <set>

namespace sassafrasferry::coordination {

using scheduling::OrderAnswer;
using scheduling::OrderReply;

inline constexpr const char *workerId = "w";
inline constexpr std::int64_t firstBorn = 100;

/// A worker that can restart and keep its id. `onHold` determines its answers. It lists its ends
/// until they are acknowledged.
struct ScriptedWorker
{
    std::int64_t born = firstBorn;
    std::int64_t clock = 1000;
    std::vector<scheduling::ListedEnd> ends;
    std::vector<std::int64_t> acknowledged; ///< by each hold, in order
    std::vector<std::optional<std::int64_t>> leaseEnds; ///< by each hold, by the worker's clock
    std::vector<std::chrono::milliseconds> waits; ///< of each hold
    std::vector<std::int64_t> fences; ///< of each hold
    std::vector<std::int64_t> unread; ///< numbers of ends that were dropped without being listed
    std::set<std::pair<std::int64_t, std::int64_t>> listed; ///< listed ends: born and number
    std::function<OrderAnswer(std::size_t call)> onHold; ///< called before each hold takes effect
    std::chrono::milliseconds waitTime{1}; ///< until a hold that may wait is answered
    std::vector<std::string> starts; ///< jobs of the starts that were sent, in order
    std::vector<std::int64_t> startFences; ///< of each start
    OrderAnswer startAnswer = OrderAnswer::Accepted;
    std::chrono::milliseconds startTime{0}; ///< until a start is answered
    std::vector<std::int64_t> stops; ///< numbers of the runs of the stops that were sent, in order
    std::chrono::milliseconds stopTime{0}; ///< until a stop is answered
    OrderAnswer stopAnswer = OrderAnswer::Accepted;
    std::optional<std::int64_t> replyClock; ///< reading of its clock in answers to starts and stops

    HoldAnswer execute(const HoldRequest &request)
    {
        std::erase_if(this->ends, [&](const scheduling::ListedEnd &end) {
            const bool isAcknowledged = end.number <= request.acknowledged;
            if (isAcknowledged && this->listed.count({this->born, end.number}) == 0)
                this->unread.push_back(end.number);
            return isAcknowledged;
        });
        HoldAnswer answer;
        answer.answer = OrderAnswer::Accepted;
        answer.report = {workerId, this->born, ++this->clock, {}, this->ends};
        for (const auto &end : this->ends)
            this->listed.insert({this->born, end.number});
        return answer;
    }

    void restart()
    {
        ++this->born;
        this->clock = 1000;
        this->ends.clear();
    }

    void endRun(std::int64_t number)
    {
        this->ends.push_back({number,
                              {"unknown", 0, 0, static_cast<std::size_t>(number)},
                              1,
                              jobs::RunEnd::Done,
                              ""});
    }
};

/// The session's client of a scripted worker.
struct ScriptedCalls
{
    ScriptedWorker *worker;

    Awaitable<HoldAnswer> hold(HoldRequest request)
    {
        this->worker->acknowledged.push_back(request.acknowledged);
        this->worker->leaseEnds.push_back(request.until);
        this->worker->waits.push_back(request.wait);
        this->worker->fences.push_back(request.fence);
        co_await pause(request.wait.count() > 0 ? this->worker->waitTime
                                                : std::chrono::milliseconds(1));
        const auto answer = this->worker->onHold(this->worker->acknowledged.size());
        auto result = HoldAnswer{};
        if (answer == OrderAnswer::Accepted)
            result = this->worker->execute(request);
        else
            result.answer = answer;
        co_return result;
    }

    Awaitable<OrderReply> start(const scheduling::StartOrder &order, std::int64_t,
                                std::int64_t fence)
    {
        this->worker->starts.push_back(order.task.job);
        this->worker->startFences.push_back(fence);
        co_await pause(this->worker->startTime);
        co_return OrderReply{this->worker->startAnswer, this->worker->replyClock};
    }

    Awaitable<OrderReply> stop(const scheduling::StopOrder &order, std::int64_t)
    {
        this->worker->stops.push_back(order.run);
        co_await pause(this->worker->stopTime);
        co_return OrderReply{this->worker->stopAnswer, this->worker->replyClock};
    }

    Awaitable<OrderAnswer> pace(const scheduling::PaceOrder &, std::int64_t)
    {
        co_return OrderAnswer::Accepted;
    }
};

/// Runs a session with a scripted worker.
struct SessionFixture
{
    explicit SessionFixture(ScriptedWorker &worker, Duration leaseLimit = std::chrono::hours(1))
        : scheduler(scheduling::SchedulerTimes{}, 0, bootNow() - takeover)
    {
        scheduling::WorkerListing listing;
        listing.id = workerId;
        listing.vm = "vm";
        listing.born = firstBorn;
        this->scheduler.listWorker(listing, bootNow());
        this->scheduler.setAllWorkersKnown();
        SessionEvents events{[] {}, [this](const std::string &) { ++this->depositions; },
                             [] { return true; },
                             [] {
                                 return true;
                             }};
        events.leasesEndBy = [limit = bootNow() + leaseLimit] {
            return limit;
        };
        this->session = std::make_shared<WorkerSession<ScriptedCalls>>(
            this->context.get_executor(), this->scheduler, workerId,
            std::make_unique<ScriptedCalls>(ScriptedCalls{&worker}), 7, std::move(events));
    }

    void runUntil(const ScriptedWorker &worker, std::size_t holds)
    {
        while (worker.acknowledged.size() < holds)
            this->context.run_one();
    }

    void run(ScriptedWorker &worker, std::size_t holds)
    {
        this->session->begin();
        this->runUntil(worker, holds);
        this->session->stop();
        this->context.run_for(std::chrono::milliseconds(150));
    }

    /// Adds jobs of one task each and gives their starts to the session.
    void orderStarts(const std::vector<std::string> &jobs)
    {
        auto listing = this->scheduler.findWorker(workerId)->listing;
        listing.service = "s";
        listing.capacity = {4000, 1000, 0};
        this->scheduler.listWorker(listing, bootNow());
        this->scheduler.report({workerId, firstBorn, 1000, {}, {}}, bootNow(), bootNow());
        jobs::StepSpec step;
        step.count = 1;
        step.need = {1000, 10, 0};
        const jobs::QueueTerms terms{"q", "s", 0, 3, 2, std::chrono::milliseconds(600)};
        for (const auto &id : jobs) {
            this->scheduler.addJob(std::make_unique<jobs::Job>(
                id, jobs::JobSpec{"", {step}, 0, 0, std::chrono::milliseconds(0)}, terms,
                bootNow()));
            this->orderPlanned();
        }
    }

    void orderPlanned()
    {
        for (auto &order : this->scheduler.plan(bootNow(), 0).starts)
            this->session->order(std::move(order));
    }

    // So long ago that ends of unknown jobs are acknowledged without waiting for these jobs.
    static constexpr Duration takeover = std::chrono::seconds(60);

    http::asio::io_context context;
    scheduling::Scheduler scheduler;
    std::size_t depositions = 0; ///< how often the session took another leader for newer
    std::shared_ptr<WorkerSession<ScriptedCalls>> session;
};

} // namespace sassafrasferry::coordination
