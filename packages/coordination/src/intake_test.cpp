// Jobs submitted while the store doesn't answer or refuses writes.
#include <sassafrasferry/coordination/intake.h>

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include "../tests/memory_store.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

/// Outcome of a submission, and the time it took.
struct Submission
{
    std::optional<IntakeResult> result;
    Duration duration{};
};

struct World
{
    void submit(const std::string &job, Submission &submission,
                const std::string &record = "record")
    {
        spawn(this->context.get_executor(), job,
              [this, job, record, &submission]() -> Awaitable<void> {
                  const auto begin = bootNow();
                  const auto result = co_await this->intake.submit(job, record, begin + 2600ms);
                  submission.result = result;
                  submission.duration = bootNow() - begin;
              });
    }

    void withdraw(const std::string &job, const std::string &customer, Submission &submission)
    {
        spawn(this->context.get_executor(), job,
              [this, job, customer, &submission]() -> Awaitable<void> {
                  submission.result =
                      co_await this->intake.withdraw(job, customer, bootNow() + 2600ms);
              });
    }

    void runUntilAnswered(const std::vector<Submission *> &all)
    {
        const auto isPending = [](const Submission *submission) {
            return !submission->result;
        };
        while (std::any_of(all.begin(), all.end(), isPending))
            this->context.run_one();
    }

    http::asio::io_context context;
    MemoryStore store;
    Intake<MemoryStore> intake{store, context.get_executor()};
};

/// Two jobs of the same part: the second waits until the transaction of the first has ended.
std::pair<std::string, std::string> jobsOfOnePart()
{
    const std::string first = "a0";
    for (int i = 1;; ++i) {
        const auto other = "a" + std::to_string(i);
        if (JobParts().partOf(other) == JobParts().partOf(first))
            return {first, other};
    }
}

} // namespace

// Guards against a caller that waits until its deadline at an entry VM that gets no answer from the
// store, and then has no time left to try another entry VM.
TEST_CASE("A submission to a store without answers ends while the caller can try another entry VM")
{
    World world;
    world.store.delay = 5s;
    Submission sent;
    Submission waiting;
    const auto [first, second] = jobsOfOnePart();
    world.submit(first, sent);
    world.context.run_for(50ms);
    world.submit(second, waiting);
    world.runUntilAnswered({&sent, &waiting});
    CHECK(sent.result == IntakeResult::Unknown); // it may still be stored
    CHECK(waiting.result == IntakeResult::Refused);
    CHECK(sent.duration < 2s);
    CHECK(waiting.duration < 2s);
}

// Guards against storing a job after it was refused: it would run although its caller was told that
// it won't.
TEST_CASE("A job that was refused while it waited for a transaction is not stored later")
{
    World world;
    world.store.delay = 1500ms;
    Submission sent;
    Submission waiting;
    const auto [first, second] = jobsOfOnePart();
    world.submit(first, sent);
    world.context.run_for(50ms);
    world.submit(second, waiting);
    world.runUntilAnswered({&sent, &waiting});
    REQUIRE(waiting.result == IntakeResult::Refused);
    world.context.run_for(3500ms);
    world.store.delay = 0ms;
    std::size_t stored = 0;
    spawn(world.context.get_executor(), "look", [&]() -> Awaitable<void> {
        const store::PartRange range{table::intake, JobParts().partOf(second), "", ""};
        const auto page = co_await world.store.scan(range);
        for (const auto &row : page->rows)
            stored += row.key == second ? 1 : 0;
    });
    world.context.run_for(100ms);
    CHECK(stored == 0);
}

TEST_CASE("The store counts as failing from its first refusal until it stores a job")
{
    World world;
    world.store.refusesCommits = true;
    Submission refused;
    world.submit("a0", refused);
    world.runUntilAnswered({&refused});
    CHECK(refused.result == IntakeResult::Refused);
    CHECK(world.intake.failingFor() > 200ms);
    world.store.refusesCommits = false;
    world.context.run_for(300ms);
    Submission stored;
    world.submit("a0", stored);
    world.runUntilAnswered({&stored});
    CHECK(stored.result == IntakeResult::Stored);
    CHECK(world.intake.failingFor() == Duration::zero());
}

// Guards against jobs that are refused because another one in their transaction has a row that the
// store never takes.
TEST_CASE("A job that the store rejects is refused alone")
{
    World world;
    Submission first;
    Submission large;
    Submission small;
    const auto [a, b] = jobsOfOnePart();
    world.store.delay = 20ms;
    world.submit(a, first);
    world.context.run_for(5ms);
    world.submit(b, large, std::string(70000, 'r'));
    std::string other = b;
    while (other == b || JobParts().partOf(other) != JobParts().partOf(b))
        other += "0";
    world.submit(other, small);
    world.runUntilAnswered({&first, &large, &small});
    CHECK(first.result == IntakeResult::Stored);
    CHECK(large.result == IntakeResult::Refused);
    CHECK(small.result == IntakeResult::Stored);
    CHECK(world.intake.failingFor() == Duration::zero());
    CHECK(world.store.rejections == 2);
}

// Guards against a withdrawal that is confirmed although its job was stored by the same
// transaction.
TEST_CASE("A withdrawal behind a submission of the job finds the job")
{
    World world;
    world.store.delay = 20ms;
    Submission first;
    Submission submitted;
    Submission withdrawn;
    const auto [other, job] = jobsOfOnePart();
    world.submit(other, first);
    world.context.run_for(5ms);
    world.submit(job, submitted);
    world.withdraw(job, "", withdrawn);
    world.runUntilAnswered({&first, &submitted, &withdrawn});
    CHECK(submitted.result == IntakeResult::Stored);
    CHECK(withdrawn.result == IntakeResult::AlreadyStored);
}

// Guards against a submission that is repeated until it is stored after its job was withdrawn.
TEST_CASE("A submission whose transaction was lost is not stored after a withdrawal")
{
    World world;
    Submission submitted;
    Submission withdrawn;
    Intake<MemoryStore> elsewhere(world.store, world.context.get_executor());
    world.store.losesCommits = true;
    world.submit("a0", submitted);
    world.context.run_for(20ms);
    world.store.losesCommits = false;
    spawn(world.context.get_executor(), "cancel", [&]() -> Awaitable<void> {
        withdrawn.result = co_await elsewhere.withdraw("a0", "", bootNow() + 2600ms);
    });
    world.runUntilAnswered({&submitted, &withdrawn});
    CHECK(withdrawn.result == IntakeResult::Stored);
    CHECK(submitted.result == IntakeResult::Withdrawn);
}

// Guards against a customer whose withdrawal no longer holds once another one uses the same id.
TEST_CASE("A withdrawal adds to that of another customer")
{
    World world;
    Submission first;
    Submission second;
    Submission submitted;
    world.withdraw("a0", "first", first);
    world.runUntilAnswered({&first});
    world.withdraw("a0", "second", second);
    world.runUntilAnswered({&second});
    messages::JobRecord record;
    record.set_customer("first");
    world.submit("a0", submitted, record.SerializeAsString());
    world.runUntilAnswered({&submitted});
    CHECK(first.result == IntakeResult::Stored);
    CHECK(second.result == IntakeResult::Stored);
    CHECK(submitted.result == IntakeResult::Withdrawn);
}

// Guards against memory that is never released: a caller who waits, and what it waits for, may own
// each other.
TEST_CASE("A caller that still waits is released with its executor")
{
    using Call = Awaitable<IntakeResult> (*)(World &, Instant);
    const Call call = GENERATE(
        as<Call>{},
        [](World &world, Instant deadline) {
            return world.intake.submit("a0", "record", deadline);
        },
        [](World &world, Instant deadline) { return world.intake.withdraw("a0", "", deadline); });
    std::weak_ptr<int> caller;
    {
        World world;
        world.store.delay = 5s;
        const auto kept = std::make_shared<int>();
        caller = kept;
        spawn(world.context.get_executor(), "caller", [&world, call, kept]() -> Awaitable<void> {
            co_await call(world, bootNow() + 2600ms);
        });
        world.context.run_for(20ms);
        REQUIRE(kept.use_count() > 1);
    }
    CHECK(caller.expired());
}
