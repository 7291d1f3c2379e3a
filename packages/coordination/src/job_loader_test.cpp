#include <sassafrasferry/coordination/job_loader.h>
#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/http/clock.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using scheduling::JobState;

namespace {

store::PartRow intakeRow(const std::string &job)
{
    jobs::StepSpec step;
    step.count = 2;
    step.estimate = std::chrono::seconds(1);
    jobs::QueueTerms terms;
    terms.queue = "q";
    terms.service = "s";
    auto record = recordOf({"text", {step}, 0, 0, std::chrono::milliseconds(0)}, terms);
    record.set_accepted_milliseconds(http::unixNow());
    return {table::intake, JobParts().partOf(job), job, record.SerializeAsString(), 1, false};
}

store::PartRow cancellationRow(const std::string &job)
{
    return {table::intake, JobParts().partOf(job), cancellationKey(job), "", 1, false};
}

store::PartRow progressRow(const std::string &job, JobState state)
{
    messages::JobProgress progress;
    progress.set_state(static_cast<std::uint32_t>(state));
    return {table::progress, JobParts().partOf(job), job, progress.SerializeAsString(), 1, false};
}

store::PartRow unreadable(store::PartRow row)
{
    row.value = "\xff\xff\xff";
    return row;
}

store::PartRow withdrawalRow(const std::string &job)
{
    const Withdrawal withdrawal{{"customer"}};
    return {table::intake, JobParts().partOf(job), job, withdrawalValue(withdrawal), 1, false};
}

struct Case
{
    std::string name;
    std::vector<store::PartRow> progress;
    std::vector<store::PartRow> intake;
    JobState state;
    std::vector<std::string> cancelled;
};

const std::vector<Case> cases{
    {"no rows", {}, {}, JobState::Unknown, {}},
    {"accepted", {}, {intakeRow("j")}, JobState::Queued, {}},
    {"ended, without an intake row",
     {progressRow("j", JobState::Completed)},
     {},
     JobState::Completed,
     {}},
    {"cancelled before the takeover",
     {},
     {intakeRow("j"), cancellationRow("j")},
     JobState::Cancelled,
     {"j"}},
    {"the cancellation row comes before the job's row",
     {},
     {cancellationRow("j"), intakeRow("j")},
     JobState::Cancelled,
     {"j"}},
    {"a cancellation without a job", {}, {cancellationRow("j")}, JobState::Unknown, {}},
    {"withdrawn before it was stored", {}, {withdrawalRow("j")}, JobState::Unknown, {}},
    {"stored in place of another customer's withdrawal",
     {},
     {withdrawalRow("j"), intakeRow("j")},
     JobState::Queued,
     {}},
    {"an intake row that can't be parsed", {}, {unreadable(intakeRow("j"))}, JobState::Unknown, {}},
    {"a progress row that can't be parsed",
     {unreadable(progressRow("j", JobState::Running))},
     {intakeRow("j")},
     JobState::Queued,
     {}},
};

} // namespace

TEST_CASE("A new leader loads the state of a job from its rows")
{
    const auto row = GENERATE(from_range(cases));
    CAPTURE(row.name);
    scheduling::Scheduler scheduler(scheduling::SchedulerTimes{}, 0, bootNow());
    JobLoader loader(scheduler);
    loader.addProgress(row.progress);
    CHECK_FALSE(loader.isComplete());
    CHECK(loader.addIntake(row.intake) == row.cancelled);
    CHECK(loader.isComplete());
    CHECK(scheduler.stateOf("j") == row.state);
}

TEST_CASE("Queue terms survive a round trip through the row of a job")
{
    jobs::QueueTerms terms;
    terms.queue = "q";
    terms.service = "s";
    terms.priority = 2;
    terms.maxAttempts = 5;
    terms.stretch = 1.6;
    terms.target = std::chrono::milliseconds(600);
    const auto read = termsFrom(recordOf({}, terms));
    CHECK(read.queue == terms.queue);
    CHECK(read.service == terms.service);
    CHECK(read.priority == terms.priority);
    CHECK(read.maxAttempts == terms.maxAttempts);
    CHECK(read.stretch == terms.stretch);
    CHECK(read.target == terms.target);
}
