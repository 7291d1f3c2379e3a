// The parts that hold the rows of jobs, also while the rates of the store in the settings change.
#include <sassafrasferry/coordination/job_recorder.h>
#include <sassafrasferry/coordination/stored_jobs.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

#include "../tests/memory_store.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

constexpr const char *job = "a1b2c3";

template<typename Body>
void run(http::asio::io_context &context, Body body)
{
    spawn(context.get_executor(), "body", [&]() -> Awaitable<void> { co_await body(); });
    context.run_for(200ms);
    context.restart();
}

store::PartTransaction intakeRow(const std::string &part)
{
    messages::JobRecord record;
    record.set_queue("q");
    return {part, {}, {{table::intake, job, record.SerializeAsString()}}, {}};
}

Awaitable<std::size_t> countRows(MemoryStore &store, std::string table, std::string part)
{
    const store::PartRange range{std::move(table), std::move(part), "", ""};
    const auto page = co_await store.scan(range);
    co_return static_cast<std::size_t>(
        std::count_if(page->rows.begin(), page->rows.end(),
                      [](const auto &row) { return row.key != takeoverKey; }));
}

/// A part other than the one that the layout assigns to the job.
std::string otherPart(const JobParts &parts)
{
    for (const auto &part : parts.all()) {
        if (part != parts.partOf(job))
            return part;
    }
    return "";
}

} // namespace

TEST_CASE("The number of parts follows from the rates of the store")
{
    struct Row
    {
        double storeRate;
        double partRate;
        std::size_t count;
    };
    const auto row =
        GENERATE(Row{0, 0, 2}, Row{600, 0, 2}, Row{0, 200, 2}, Row{600, 200, 2}, Row{800, 200, 2},
                 Row{1200, 200, 3}, Row{3200, 200, 8}, Row{1e6, 200, 32});
    CAPTURE(row.storeRate, row.partRate);
    const auto parts = JobParts::forRates(row.storeRate, row.partRate);
    CHECK(parts.count() == row.count);
    CHECK(parts.all().size() == row.count);
}

// Guards against answering 410 for jobs that an entry VM with fewer parts has stored, while the
// entry VMs are replaced by ones with more.
TEST_CASE("A job of the smallest layout is found and cancelled in the part that holds it")
{
    const auto count = GENERATE(2, 3, 8, 16);
    CAPTURE(count);
    http::asio::io_context context;
    MemoryStore store;
    const auto part = JobParts().partOf(job);
    StoredJobs<MemoryStore> stored(store, JobParts(static_cast<std::size_t>(count)));
    run(context, [&]() -> Awaitable<void> {
        auto row = intakeRow(part);
        co_await store.commit(row);
        const auto found = co_await stored.find(job);
        REQUIRE(found);
        CHECK(found->state == scheduling::JobState::Queued);
        CHECK(found->part == part);
        const auto begin = bootNow();
        CHECK(stored.storeAnsweredAt() == Instant{});
        const bool isCancelled = co_await stored.cancel(job, found->part, bootNow() + 1s);
        CHECK(isCancelled);
        CHECK(stored.storeAnsweredAt() >= begin);
        CHECK(stored.storeAnsweredAt() <= bootNow());
        const auto state = co_await stored.stateOf(job);
        CHECK(state == scheduling::JobState::Cancelled);
    });
}

// Guards against jobs that are started again by each further leader: their rows would be recorded
// as final in one part and stay accepted in another. And against jobs that never end, because
// their part came into use after the takeover and nobody writes it.
TEST_CASE("The end of a job of another layout is recorded in a part that leaders read")
{
    struct Case
    {
        const char *name;
        std::string part; ///< that holds the job
        bool isRecordedThere;
    };
    const JobParts parts(8);
    const auto row = GENERATE_COPY(Case{"a part of the layout", otherPart(parts), true},
                                   Case{"a part that came later", "jobs-12", false});
    INFO(row.name);
    http::asio::io_context context;
    MemoryStore store;
    scheduling::Scheduler scheduler({}, 0, bootNow());
    auto recorder = std::make_shared<JobRecorder<MemoryStore>>(
        context.get_executor(), store, scheduler, 1, parts, parts.all(),
        JobRecorder<MemoryStore>::Events{[] {}, [](const std::string &) {},
                                         [](const std::string &) {
                                         }});
    run(context, [&]() -> Awaitable<void> {
        auto accepted = intakeRow(row.part);
        co_await store.commit(accepted);
        const bool isOpen = co_await recorder->open();
        REQUIRE(isOpen);
    });
    jobs::JobSpec spec;
    spec.steps.resize(1);
    spec.steps[0].count = 1;
    scheduler.addJob(std::make_unique<jobs::Job>(job, spec, jobs::QueueTerms{}, bootNow()));
    recorder->notePart(job, row.part);
    recorder->begin();
    scheduler.cancelJob(job);
    recorder->wake();
    context.run_for(400ms);
    context.restart();
    recorder->stop();
    run(context, [&]() -> Awaitable<void> {
        const auto accepted = co_await countRows(store, table::intake, row.part);
        CHECK(accepted == (row.isRecordedThere ? 0 : 1));
        const auto recorded = co_await countRows(store, table::progress, row.part);
        CHECK(recorded == (row.isRecordedThere ? 1 : 0));
        const auto elsewhere = co_await countRows(store, table::progress, parts.partOf(job));
        CHECK(elsewhere == (row.isRecordedThere ? 0 : 1));
    });
}
