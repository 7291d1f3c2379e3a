// Accepts submitted jobs, and withdrawals of jobs that the store doesn't have: stores them in
// batches, one transaction per batch, and confirms each to its caller only after it is stored.
#pragma once

#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/coordination/timing.h>

#include <sassafrasferry/http/await_callback.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// Outcome of storing a submitted job.
enum class IntakeResult {
    Stored,
    AlreadyStored, ///< a row of the job existed before
    Refused, ///< the job was not stored and will not be stored later
    Unknown, ///< the job may be stored now or later
    Taken, ///< not stored: a job of another customer has this id
    Withdrawn, ///< not stored and will not be: the job was cancelled before
};

constexpr auto enumNames(IntakeResult)
{
    return std::array{
        model::EnumName{IntakeResult::Stored, "stored"},
        model::EnumName{IntakeResult::AlreadyStored, "known"},
        model::EnumName{IntakeResult::Refused, "refused"},
        model::EnumName{IntakeResult::Unknown, "unknown"},
        model::EnumName{IntakeResult::Taken, "taken"},
        model::EnumName{IntakeResult::Withdrawn, "withdrawn"},
    };
}

template<store::PartStore Store>
class Intake
{
public:
    Intake(Store &store, http::asio::any_io_executor executor, JobParts parts = JobParts())
        : store(store)
        , executor(std::move(executor))
        , parts(parts)
    {}

    /// Stores a job unless a row of it exists. Gives up at the deadline, or earlier if the store
    /// does not answer for `unansweredTimeout`, which leaves the caller time to try another entry
    /// VM.
    ///
    /// While the store fails, one job at a time is tried as a probe; all others are refused at
    /// once, so that their callers can try another entry VM in time.
    Awaitable<IntakeResult> submit(std::string job, std::string record, Instant deadline)
    {
        auto item = std::make_shared<Item>();
        item->job = std::move(job);
        item->record = std::move(record);
        item->deadline = deadline;
        co_return co_await this->enqueue(std::move(item));
    }

    /// Stores that the customer has cancelled a job of which the store has no row. A hand-in of the
    /// job, here or on another entry VM, requires that its row is absent. So either the hand-in
    /// comes first, and the result is AlreadyStored or Taken, or it is never carried out.
    Awaitable<IntakeResult> withdraw(std::string job, std::string customer, Instant deadline)
    {
        auto item = std::make_shared<Item>();
        item->job = std::move(job);
        const Withdrawal withdrawal{{customer}};
        item->record = withdrawalValue(withdrawal);
        item->withdrawnBy = std::move(customer);
        item->deadline = deadline;
        co_return co_await this->enqueue(std::move(item));
    }

    /// How long the store has been failing; zero if it is not failing.
    Duration failingFor() const
    {
        return this->isFailing ? bootNow() - this->failingSince : Duration::zero();
    }

private:
    struct Item;

    Awaitable<IntakeResult> enqueue(std::shared_ptr<Item> item)
    {
        const auto part = this->parts.partOf(item->job);
        if (this->isRefusing(part))
            co_return IntakeResult::Refused;
        co_return co_await http::awaitCallback<IntakeResult>([&](auto done) {
            item->done = std::move(done);
            this->queues[part].push_back(item);
            // Moved: `done` owns this coroutine, which must not own the item in turn.
            spawn(
                this->executor, "intake patience",
                [item = std::move(item)] { return answerAtTimeout(item); },
                [](const std::string &) {});
            this->startCommitting(part);
        });
    }

    bool isRefusing(const std::string &part) const
    {
        const auto at = this->activeParts.find(part);
        const bool isProbing = at != this->activeParts.end() && at->second;
        return this->isFailing && (isProbing || bootNow() - this->lastFailureAt < probePause);
    }

    struct Item
    {
        std::string job;
        std::string record; // value of the job's intake row
        std::optional<std::string> withdrawnBy; // customer; absent: a job is submitted
        // Version of the withdrawal that the row replaces; one that binds the customer isn't.
        std::int64_t replacedVersion = store::absent;
        Instant deadline;
        Instant submittedAt = bootNow();
        bool isSent = false; // a transaction with this job is in progress
        bool mayBeStored = false; // a transaction with this job got no answer
        std::function<void(IntakeResult)> done; // empty after the answer

        void answer(IntakeResult result)
        {
            if (this->done)
                std::exchange(this->done, nullptr)(result);
        }
    };

    using Batch = std::deque<std::shared_ptr<Item>>;

    // Limits of a transaction. Each job takes three entries: two conditions and a put.
    static constexpr std::size_t maxBatchJobs = 30;
    static constexpr std::size_t maxBatchBytes = 400UL * 1024;
    static constexpr auto retryPause = std::chrono::milliseconds(60);
    static constexpr auto probePause = std::chrono::milliseconds(250);
    static constexpr int unansweredLimit = 2;
    // A transaction that the store refuses is retried for this time. The callers need the rest of
    // their time to try another entry VM.
    static constexpr auto refusalRetryTime = std::chrono::milliseconds(300);
    // A job is given up after this time if the store does not answer at all.
    static constexpr Duration unansweredTimeout = std::chrono::milliseconds(1200);

    // Answers a job whose transaction takes longer to fail than the job's caller waits.
    static Awaitable<void> answerAtTimeout(std::shared_ptr<Item> item)
    {
        co_await pause(std::min(unansweredTimeout, item->deadline - bootNow()));
        const bool mayBeStored = item->isSent || item->mayBeStored;
        item->answer(mayBeStored ? IntakeResult::Unknown : IntakeResult::Refused);
    }

    void startCommitting(const std::string &part)
    {
        if (std::exchange(this->activeParts[part], true))
            return;
        spawn(
            this->executor, "intake " + part, [this, part] { return this->commitQueued(part); },
            [this, part](const std::string &) { this->activeParts[part] = false; });
    }

    // One transaction can't both store a job and withdraw it.
    static bool contains(const Batch &batch, const std::string &job)
    {
        return std::any_of(batch.begin(), batch.end(),
                           [&](const auto &item) { return item->job == job; });
    }

    Awaitable<void> commitQueued(std::string part)
    {
        auto &queue = this->queues[part];
        while (!queue.empty()) {
            Batch batch;
            std::size_t bytes = 0;
            while (!queue.empty() && batch.size() < maxBatchJobs && bytes < maxBatchBytes
                   && !contains(batch, queue.front()->job)) {
                bytes += queue.front()->record.size();
                batch.push_back(std::move(queue.front()));
                queue.pop_front();
            }
            co_await this->commit(part, std::move(batch));
        }
        this->activeParts[part] = false;
    }

    Awaitable<void> commit(const std::string &part, Batch batch)
    {
        for (;;) {
            // Jobs that were answered as refused in the meantime must not be stored.
            std::erase_if(batch, [](const auto &item) { return !item->done; });
            if (batch.empty())
                co_return;
            store::PartTransaction transaction;
            transaction.part = part;
            for (const auto &item : batch) {
                item->isSent = true;
                transaction.conditions.push_back({table::intake, item->job, item->replacedVersion});
                transaction.conditions.push_back({table::progress, item->job, store::absent});
                transaction.puts.push_back({table::intake, item->job, item->record});
            }
            const auto sentAt = bootNow();
            const auto answer = co_await this->store.commit(std::move(transaction));
            for (const auto &item : batch)
                item->isSent = false;
            if (answer.state == store::CommitState::Committed) {
                this->isFailing = false;
                this->unanswered = 0;
                for (const auto &item : batch)
                    item->answer(IntakeResult::Stored);
                co_return;
            }
            const auto now = bootNow();
            if (answer.state == store::CommitState::Rejected) {
                co_await this->settleRejected(part, std::move(batch));
                co_return;
            }
            this->recordFailure(answer.state, now);
            if (answer.state != store::CommitState::Conflict)
                this->logFailure(part, batch.size(), answer.state, now - sentAt);
            if (answer.state == store::CommitState::Conflict)
                this->settleConflicts(batch, answer.current);
            for (const auto &item : batch)
                item->mayBeStored |= answer.state == store::CommitState::Unknown;
            this->answerExpired(batch, now);
            if (answer.state != store::CommitState::Conflict)
                co_await pause(retryPause);
        }
    }

    // A row that the store never takes says nothing about the jobs beside it or about the store.
    Awaitable<void> settleRejected(std::string part, Batch batch)
    {
        if (batch.size() == 1) {
            LOG(ERROR) << "event=intake-rejected part=" << part << " job=" << batch.front()->job
                       << " bytes=" << batch.front()->record.size();
            // An earlier transaction with the job, whose answer is missing, was rejected as well.
            batch.front()->answer(IntakeResult::Refused);
            co_return;
        }
        for (auto &item : batch) {
            Batch single;
            single.push_back(std::move(item));
            co_await this->commit(part, std::move(single));
        }
    }

    // A single missing answer may have been lost, or the store may have become slow a moment ago.
    // Treating it as a failure would refuse other callers' jobs that can be stored.
    void recordFailure(store::CommitState state, Instant now)
    {
        const bool isUnknown = state == store::CommitState::Unknown;
        this->unanswered = isUnknown ? this->unanswered + 1 : 0;
        const bool failed =
            state == store::CommitState::NotApplied || this->unanswered >= unansweredLimit;
        if (failed && !this->isFailing)
            this->failingSince = now;
        if (failed)
            this->lastFailureAt = now;
        this->isFailing = failed;
    }

    void logFailure(const std::string &part, std::size_t jobs, store::CommitState state,
                    Duration after) const
    {
        LOG(WARNING) << "event=intake-failed part=" << part << " jobs=" << jobs << " state="
                     << (state == store::CommitState::Unknown ? "unknown" : "not-applied")
                     << " after-ms=" << after / std::chrono::milliseconds(1)
                     << " store-failing=" << this->isFailing;
    }

    void settleConflicts(const Batch &batch, const std::vector<store::PartRow> &rows)
    {
        for (const auto &item : batch) {
            const auto stored = std::find_if(rows.begin(), rows.end(), [&](const auto &row) {
                return row.key == item->job && row.version != store::absent;
            });
            if (stored == rows.end())
                item->replacedVersion = store::absent;
            else if (const auto withdrawal = withdrawalIn(*stored))
                settleWithdrawn(*item, *withdrawal, stored->version);
            else
                item->answer(hasSameCustomer(item->record, *stored) ? IntakeResult::AlreadyStored
                                                                    : IntakeResult::Taken);
        }
    }

    static void settleWithdrawn(Item &item, Withdrawal withdrawal, std::int64_t version)
    {
        if (!item.withdrawnBy && withdrawal.binds(customerOfRecord(item.record))) {
            item.answer(IntakeResult::Withdrawn);
            return;
        }
        if (item.withdrawnBy) {
            if (withdrawal.customers.count(*item.withdrawnBy) != 0) {
                item.answer(IntakeResult::Stored);
                return;
            }
            withdrawal.customers.insert(*item.withdrawnBy);
            item.record = withdrawalValue(withdrawal);
        }
        item.replacedVersion = version;
    }

    void answerExpired(const Batch &batch, Instant now)
    {
        for (const auto &item : batch) {
            const bool isExpired =
                now >= item->deadline
                || (!item->mayBeStored && now - item->submittedAt > refusalRetryTime);
            if (isExpired)
                item->answer(item->mayBeStored ? IntakeResult::Unknown : IntakeResult::Refused);
        }
    }

    Store &store;
    http::asio::any_io_executor executor;
    JobParts parts;
    std::map<std::string, Batch> queues; // waiting jobs by part
    std::map<std::string, bool> activeParts; // by part: whether its queue is being committed
    bool isFailing = false; // the last transaction was refused, or several in a row got no answer
    int unanswered = 0; // consecutive transactions without an answer
    Instant failingSince{};
    Instant lastFailureAt{};
};

} // namespace sassafrasferry::coordination
