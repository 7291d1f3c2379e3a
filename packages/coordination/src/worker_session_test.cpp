// Tests which ends of runs a session acknowledges to which incarnation of a worker: a worker may
// restart and keep its id at any time.
#include <sassafrasferry/coordination/worker_session.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using scheduling::OrderAnswer;

namespace {

constexpr const char *workerId = "w";
constexpr std::int64_t firstBorn = 100;

/// A worker that can restart and keep its id. `onHold` determines its answers. It lists its ends
/// until they are acknowledged.
struct ScriptedWorker
{
    std::int64_t born = firstBorn;
    std::int64_t clock = 1000;
    std::vector<scheduling::ListedEnd> ends;
    std::vector<std::int64_t> acknowledged; ///< by each hold, in order
    std::vector<std::int64_t> unread; ///< numbers of ends that were dropped without being listed
    std::set<std::pair<std::int64_t, std::int64_t>> listed; ///< listed ends: born and number
    std::function<OrderAnswer(std::size_t call)> onHold; ///< called before each hold takes effect

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
        co_await pause(std::chrono::milliseconds(1));
        const auto answer = this->worker->onHold(this->worker->acknowledged.size());
        auto result = HoldAnswer{};
        if (answer == OrderAnswer::Accepted)
            result = this->worker->execute(request);
        else
            result.answer = answer;
        co_return result;
    }

    Awaitable<OrderAnswer> start(const scheduling::StartOrder &, std::int64_t, std::int64_t)
    {
        co_return OrderAnswer::Accepted;
    }

    Awaitable<OrderAnswer> stop(const scheduling::StopOrder &, std::int64_t)
    {
        co_return OrderAnswer::Accepted;
    }

    Awaitable<OrderAnswer> pace(const scheduling::PaceOrder &, std::int64_t)
    {
        co_return OrderAnswer::Accepted;
    }
};

/// Runs a session with a scripted worker.
struct SessionFixture
{
    explicit SessionFixture(ScriptedWorker &worker)
        : scheduler(scheduling::SchedulerTimes{}, 0, bootNow() - takeover)
    {
        scheduling::WorkerListing listing;
        listing.id = workerId;
        listing.vm = "vm";
        listing.born = firstBorn;
        this->scheduler.listWorker(listing, bootNow());
        this->scheduler.setAllWorkersKnown();
        SessionEvents events{[] {}, [](const std::string &) {},
                             [] {
                                 return true;
                             }};
        this->session = std::make_shared<WorkerSession<ScriptedCalls>>(
            this->context.get_executor(), this->scheduler, workerId,
            std::make_unique<ScriptedCalls>(ScriptedCalls{&worker}), 7, std::move(events));
    }

    void run(ScriptedWorker &worker, std::size_t holds)
    {
        this->session->begin();
        while (worker.acknowledged.size() < holds)
            this->context.run_one();
        this->session->stop();
        this->context.run_for(std::chrono::milliseconds(150));
    }

    // So long ago that ends of unknown jobs are acknowledged without waiting for these jobs.
    static constexpr Duration takeover = std::chrono::seconds(60);

    http::asio::io_context context;
    scheduling::Scheduler scheduler;
    std::shared_ptr<WorkerSession<ScriptedCalls>> session;
};

} // namespace

// Guards against tasks that run again after they were done: the worker restarted and kept its id,
// and ends of the new incarnation were acknowledged with a number of the previous one.
TEST_CASE("Ends of a restarted worker are not acknowledged before they are read")
{
    struct Case
    {
        const char *name;
        std::size_t restartsAt; ///< number of the hold before which the worker restarts
        OrderAnswer answer; ///< of that hold
    };
    // The first hold lists three ends, the second acknowledges them.
    const auto row = GENERATE(
        Case{"the hold that acknowledges is lost", 2, OrderAnswer::NoAnswer},
        Case{"the hold that acknowledges is not sent", 2, OrderAnswer::NotSent},
        Case{"a hold after it is lost", 3, OrderAnswer::NoAnswer},
        Case{"a later hold is lost", 5, OrderAnswer::NoAnswer},
        Case{"a hold that has nothing new to acknowledge is carried out", 3, OrderAnswer::Accepted},
        Case{"a later one is carried out", 5, OrderAnswer::Accepted},
        Case{"the worker can't answer", 3, OrderAnswer::Unhealthy});
    CAPTURE(row.name);
    ScriptedWorker worker;
    for (std::int64_t number = 1; number <= 3; ++number)
        worker.endRun(number);
    worker.onHold = [&](std::size_t call) {
        if (call != row.restartsAt)
            return OrderAnswer::Accepted;
        worker.restart();
        worker.endRun(1);
        worker.endRun(2);
        return row.answer;
    };
    SessionFixture fixture(worker);
    fixture.run(worker, row.restartsAt + 4);
    CHECK(worker.unread.empty());
    CHECK(worker.ends.empty());
}

TEST_CASE("Each end is acknowledged once it is recorded, and again after a lost hold")
{
    ScriptedWorker worker;
    worker.endRun(1);
    const std::size_t lost = GENERATE(2, 3, 4);
    CAPTURE(lost);
    worker.onHold = [&](std::size_t call) {
        if (call == 4)
            worker.endRun(2);
        return call == lost ? OrderAnswer::NoAnswer : OrderAnswer::Accepted;
    };
    SessionFixture fixture(worker);
    fixture.run(worker, 9);
    CHECK(worker.ends.empty());
    CHECK(worker.unread.empty());
    CHECK(fixture.scheduler.findWorker(workerId)->endsRecorded == 2);
}
