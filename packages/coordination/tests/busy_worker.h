// A worker in memory whose runs end after a fixed time, and the leader's client of it.
#pragma once

#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/coordination/worker_calls.h>
#include <sassafrasferry/model/settings.h>

#include <string>
#include <vector>

namespace sassafrasferry::coordination {

constexpr const char *workerId = "w-1";
constexpr Duration taskTime = std::chrono::milliseconds(100);

/// A start that the worker received.
struct Start
{
    std::string job;
    Instant at{};
    Instant validUntil{};
};

/// A worker whose runs are done after `taskTime`.
struct BusyWorker
{
    struct ActiveRun
    {
        scheduling::ListedRun listed;
        Instant endsAt{};
    };

    std::vector<Start> starts;
    std::vector<ActiveRun> running;
    std::vector<scheduling::ListedEnd> ends; ///< listed until they are acknowledged
    std::int64_t endCount = 0;
    std::int64_t born = 100;

    void finishRuns()
    {
        for (const auto &run : this->running) {
            if (run.endsAt <= bootNow())
                this->addEnd(run, jobs::RunEnd::Done);
        }
        std::erase_if(this->running, [](const auto &run) { return run.endsAt <= bootNow(); });
    }

    void stopRun(const scheduling::StopOrder &order)
    {
        std::erase_if(this->running, [&](const auto &run) {
            const bool isStopped = run.listed.task == order.task && run.listed.run == order.run;
            if (isStopped)
                this->addEnd(run, jobs::RunEnd::Stopped);
            return isStopped;
        });
    }

    scheduling::WorkerReport report() const
    {
        scheduling::WorkerReport report{workerId, this->born, 0, {}, this->ends};
        report.clock = bootNow().time_since_epoch() / std::chrono::milliseconds(1);
        for (const auto &run : this->running)
            report.running.push_back(run.listed);
        return report;
    }

private:
    void addEnd(const ActiveRun &run, jobs::RunEnd end)
    {
        this->ends.push_back({++this->endCount, run.listed.task, run.listed.run, end, ""});
    }
};

/// The leader's client of the only worker.
struct BusyWorkerCalls
{
    static inline BusyWorker *worker = nullptr;

    BusyWorkerCalls(http::asio::any_io_executor, std::string, const model::Endpoint &)
    {}

    Awaitable<HoldAnswer> hold(HoldRequest request)
    {
        std::erase_if(this->worker->ends,
                      [&](const auto &end) { return end.number <= request.acknowledged; });
        const auto answerBy = bootNow() + request.wait;
        this->worker->finishRuns();
        while (this->worker->ends.empty() && bootNow() < answerBy) {
            co_await pause(std::chrono::milliseconds(5));
            this->worker->finishRuns();
        }
        HoldAnswer answer;
        answer.answer = scheduling::OrderAnswer::Accepted;
        answer.report = this->worker->report();
        co_return answer;
    }

    Awaitable<scheduling::OrderReply> start(const scheduling::StartOrder &order, std::int64_t until,
                                            std::int64_t)
    {
        const auto now = bootNow();
        const Instant validUntil{std::chrono::milliseconds(until)};
        this->worker->starts.push_back({order.task.job, now, validUntil});
        this->worker->running.push_back({{order.task, order.run, "", 100, 0}, now + taskTime});
        co_return this->accepted();
    }

    Awaitable<scheduling::OrderReply> stop(const scheduling::StopOrder &order, std::int64_t)
    {
        this->worker->stopRun(order);
        co_return this->accepted();
    }

    Awaitable<scheduling::OrderAnswer> pace(const scheduling::PaceOrder &, std::int64_t)
    {
        co_return scheduling::OrderAnswer::Accepted;
    }

private:
    scheduling::OrderReply accepted() const
    {
        return {scheduling::OrderAnswer::Accepted, this->worker->report().clock};
    }
};

} // namespace sassafrasferry::coordination
