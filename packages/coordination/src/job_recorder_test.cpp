// Tests how the progress of jobs is divided into rows, recorded, and read by the next leader, with
// a store that rejects rows and transactions beyond its limits.
#include <sassafrasferry/coordination/job_loader.h>
#include <sassafrasferry/coordination/job_recorder.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include "../tests/memory_store.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;
using scheduling::JobState;

namespace {

using Recorder = JobRecorder<MemoryStore>;

const JobParts parts;

std::string jobInPart(const std::string &name, const std::string &part)
{
    for (int i = 0;; ++i) {
        auto job = name + std::to_string(i);
        if (parts.partOf(job) == part)
            return job;
    }
}

const std::string part = JobParts().all().front();
const std::string largeJob = jobInPart("large", part);
const std::string smallJob = jobInPart("small", part);

jobs::JobSpec specOf(std::size_t tasks)
{
    jobs::JobSpec spec;
    spec.steps.resize(1);
    spec.steps[0].count = tasks;
    spec.steps[0].checkpointing = true;
    return spec;
}

std::string checkpointOf(std::size_t task, std::size_t bytes)
{
    auto text = std::to_string(task) + ".";
    text.resize(std::max(bytes, text.size()), 'c');
    return text;
}

/// A store and the leaders that use it one after another.
struct World
{
    void run(std::function<Awaitable<void>()> body)
    {
        bool isDone = false;
        this->context.restart();
        spawn(this->context.get_executor(), "test", [&]() -> Awaitable<void> {
            co_await body();
            isDone = true;
        });
        while (!isDone)
            this->context.run_one();
    }

    /// Replaces the leader by one that reads the rows.
    void takeOver()
    {
        if (this->recorder)
            this->recorder->stop();
        this->pass(1ms);
        ++this->fence;
        this->scheduler =
            std::make_unique<scheduling::Scheduler>(scheduling::SchedulerTimes{}, 0, bootNow());
        this->recorder =
            std::make_shared<Recorder>(this->context.get_executor(), this->store, *this->scheduler,
                                       this->fence, parts, parts.all(),
                                       Recorder::Events{[] {}, [](const std::string &) {},
                                                        [](const std::string &) {
                                                        }},
                                       this->store.limits);
        this->run([this]() -> Awaitable<void> {
            const bool isOpen = co_await this->recorder->open();
            REQUIRE(isOpen);
            JobLoader loader(*this->scheduler);
            const store::PartRange progress{table::progress, part, "", ""};
            const auto stored = co_await this->store.scan(progress);
            loader.addProgress(stored->rows);
            const store::PartRange intake{table::intake, part, "", ""};
            const auto accepted = co_await this->store.scan(intake);
            loader.addIntake(accepted->rows);
            auto pieces = loader.takePieces();
            this->recorder->takePieces(std::move(pieces.ofJobs), std::move(pieces.stale));
        });
        this->recorder->begin();
    }

    void accept(const std::string &job, std::size_t tasks)
    {
        this->run([&, job, tasks]() -> Awaitable<void> {
            store::PartTransaction transaction;
            transaction.part = part;
            const auto record = recordOf(specOf(tasks), jobs::QueueTerms{"q", "s", 0, 3, 2, 1s});
            transaction.puts.push_back({table::intake, job, record.SerializeAsString()});
            co_await this->store.commit(transaction);
        });
        this->scheduler->addJob(std::make_unique<jobs::Job>(
            job, specOf(tasks), jobs::QueueTerms{"q", "s", 0, 3, 2, 1s}, bootNow()));
    }

    /// Ends a run of each of the tasks [first, end) with a checkpoint.
    void stopRuns(const std::string &job, std::size_t first, std::size_t end, std::size_t bytes)
    {
        auto *found = this->scheduler->findJob(job);
        for (std::size_t i = first; i < end; ++i)
            found->recordEnd({job, 0, 0, i}, 1, jobs::RunEnd::Stopped, checkpointOf(i, bytes));
        this->markChanged(job);
    }

    void finishTasks(const std::string &job, std::size_t first, std::size_t end)
    {
        auto *found = this->scheduler->findJob(job);
        for (std::size_t i = first; i < end; ++i)
            found->recordEnd({job, 0, 0, i}, 2, jobs::RunEnd::Done, "");
        this->markChanged(job);
    }

    void markChanged(const std::string &job)
    {
        const auto *found = this->scheduler->findJob(job);
        this->scheduler->notRecorded({job, found->changes, {}, false, {}});
        this->recorder->wake();
    }

    bool isRecorded(const std::string &job)
    {
        const auto *found = this->scheduler->findJob(job);
        return !found || found->recordedChanges >= found->changes;
    }

    void pass(std::chrono::milliseconds time)
    {
        this->context.restart();
        this->context.run_for(time);
    }

    /// Passes time until the condition holds. False if that takes longer than any busy machine.
    bool passUntil(const std::function<bool()> &condition)
    {
        constexpr int mostSteps = 500;
        for (int i = 0; i < mostSteps && !condition(); ++i)
            this->pass(20ms);
        return condition();
    }

    /// Passes time until the changes of both jobs are recorded, and some more for what follows.
    void recordAll()
    {
        this->passUntil(
            [this] { return this->isRecorded(largeJob) && this->isRecorded(smallJob); });
        this->pass(300ms);
    }

    bool holdsRows(std::size_t count)
    {
        return this->passUntil([&] { return this->progressRows().size() == count; });
    }

    std::vector<store::PartRow> progressRows()
    {
        std::vector<store::PartRow> rows;
        this->run([&]() -> Awaitable<void> {
            const store::PartRange range{table::progress, part, "", ""};
            const auto page = co_await this->store.scan(range);
            rows = page->rows;
        });
        return rows;
    }

    std::size_t rightCheckpoints(const std::string &job, std::size_t tasks, std::size_t bytes)
    {
        auto *found = this->scheduler->findJob(job);
        std::size_t right = 0;
        for (std::size_t i = 0; found && i < tasks; ++i)
            right += found->at(0, 0, i).checkpoint == checkpointOf(i, bytes) ? 1 : 0;
        return right;
    }

    http::asio::io_context context;
    MemoryStore store;
    std::int64_t fence = 0;
    std::unique_ptr<scheduling::Scheduler> scheduler;
    std::shared_ptr<Recorder> recorder;
};

} // namespace

// Guards against jobs that are never recorded because the row of another job of their part is
// larger than the store takes.
TEST_CASE("The progress of a job of any size is recorded, and that of the jobs beside it")
{
    struct Case
    {
        const char *name;
        std::size_t tasks;
        std::size_t checkpointBytes;
    };
    const auto row = GENERATE(Case{"one row", 1000, 16}, Case{"over a row", 3600, 16},
                              Case{"over a call", 3600, 416}, Case{"many tasks", 20000, 16},
                              Case{"a task a row", 20, 40000});
    CAPTURE(row.name);
    World world;
    world.takeOver();
    world.accept(largeJob, row.tasks);
    world.accept(smallJob, 1);
    world.stopRuns(largeJob, 0, row.tasks, row.checkpointBytes);
    world.finishTasks(smallJob, 0, 1);
    world.recordAll();
    CHECK(world.store.rejections == 0);
    CHECK(world.isRecorded(largeJob));
    CHECK(world.scheduler->stateOf(smallJob) == JobState::Completed);
    world.takeOver();
    CHECK(world.rightCheckpoints(largeJob, row.tasks, row.checkpointBytes) == row.tasks);
    CHECK(world.scheduler->stateOf(smallJob) == JobState::Completed);
    // The next leader goes on with the same rows and deletes them with the job.
    world.finishTasks(largeJob, 0, row.tasks / 2);
    world.recordAll();
    world.takeOver();
    CHECK(world.scheduler->findJob(largeJob)->tasksLeft(0, 0) == row.tasks - row.tasks / 2);
    world.finishTasks(largeJob, row.tasks / 2, row.tasks);
    world.recordAll();
    CHECK(world.scheduler->stateOf(largeJob) == JobState::Completed);
    CHECK(world.holdsRows(2));
    CHECK(world.store.rejections == 0);
}

// Guards against work lost at a takeover: the checkpoint of an ended run is in the store before the
// end counts as recorded, and a leader that is lost between two transactions leaves rows from which
// the next one goes on.
TEST_CASE("A takeover amid the transactions of a large job keeps what was recorded")
{
    constexpr std::size_t tasks = 3600;
    constexpr std::size_t bytes = 416;
    const auto until = GENERATE(25ms, 45ms, 65ms, 85ms, 105ms, 145ms);
    CAPTURE(until.count());
    World world;
    world.takeOver();
    world.accept(largeJob, tasks);
    world.stopRuns(largeJob, 0, tasks / 2, bytes);
    world.recordAll();
    REQUIRE(world.isRecorded(largeJob));
    world.store.delay = 10ms;
    world.stopRuns(largeJob, tasks / 2, tasks, bytes);
    world.pass(until);
    const bool isRecorded = world.isRecorded(largeJob);
    world.store.delay = 0ms;
    world.takeOver();
    const auto right = world.rightCheckpoints(largeJob, tasks, bytes);
    CHECK(right >= (isRecorded ? tasks : tasks / 2));
    world.recordAll();
    world.finishTasks(largeJob, 0, tasks);
    world.recordAll();
    CHECK(world.scheduler->stateOf(largeJob) == JobState::Completed);
    CHECK(world.holdsRows(1));
}

// Guards against checkpoints that return from an earlier division of a job, after a version that
// knows no pieces has led in between.
TEST_CASE("Pieces of a job whose own row was written by an earlier version are not used")
{
    constexpr std::size_t tasks = 3600;
    World world;
    world.takeOver();
    world.accept(largeJob, tasks);
    world.stopRuns(largeJob, 0, tasks, 16);
    world.recordAll();
    REQUIRE(world.progressRows().size() > 2);
    world.run([&]() -> Awaitable<void> {
        messages::JobProgress old;
        old.set_state(static_cast<std::uint32_t>(JobState::Running));
        auto &task = *old.add_tasks();
        task.set_task(7);
        task.set_checkpoint("newer");
        store::PartTransaction transaction;
        transaction.part = part;
        transaction.puts.push_back({table::progress, largeJob, old.SerializeAsString()});
        co_await world.store.commit(transaction);
    });
    world.takeOver();
    CHECK(world.scheduler->findJob(largeJob)->at(0, 0, 7).checkpoint == "newer");
    CHECK(world.scheduler->findJob(largeJob)->at(0, 0, 8).checkpoint.empty());
    world.recordAll();
    CHECK(world.holdsRows(1));
}

// Guards against rewriting all checkpoints of a large job for each end of a run.
TEST_CASE("An end of a run of a large job writes its own piece only")
{
    World world;
    world.takeOver();
    world.accept(largeJob, 3600);
    world.stopRuns(largeJob, 0, 3600, 416);
    world.recordAll();
    const auto before = world.store.writtenBytes;
    world.stopRuns(largeJob, 100, 101, 417);
    world.recordAll();
    CHECK(world.isRecorded(largeJob));
    CHECK(world.store.writtenBytes - before < 20000);
}

// Guards against a row that the store never takes: it was written again and again, with all other
// jobs of its part behind it.
TEST_CASE("A job that the store rejects does not keep others from being recorded")
{
    World world;
    world.takeOver();
    world.accept(largeJob, 400);
    world.accept(smallJob, 1);
    world.store.limits.valueBytes = 2000; // less than the recorder was told
    world.stopRuns(largeJob, 0, 400, 16);
    world.finishTasks(smallJob, 0, 1);
    world.pass(1000ms);
    CHECK(world.scheduler->stateOf(smallJob) == JobState::Completed);
    CHECK_FALSE(world.isRecorded(largeJob));
    CHECK(world.store.rejections <= 3);
}

// Guards against a checkpoint that fits into no row and keeps its job from being recorded.
TEST_CASE("A checkpoint beyond the store's limit is left out, and the rest is recorded")
{
    World world;
    world.takeOver();
    world.accept(largeJob, 2);
    world.stopRuns(largeJob, 0, 1, 70000);
    world.stopRuns(largeJob, 1, 2, 16);
    world.recordAll();
    CHECK(world.isRecorded(largeJob));
    CHECK(world.store.rejections == 0);
    world.takeOver();
    auto *job = world.scheduler->findJob(largeJob);
    CHECK(job->at(0, 0, 0).checkpoint.empty());
    CHECK(job->at(0, 0, 1).checkpoint == checkpointOf(1, 16));
}
