// Takes jobs and cancellations in: into the store first, many in a transaction, and only then is
// the caller told.
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

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// What became of a job that was handed in.
enum class IntakeResult {
    Stored,
    Known, ///< it was stored before
    Refused, ///< nothing was stored, and nothing will be
    Unknown, ///< it may be stored, now or later
};

constexpr auto enumNames(IntakeResult)
{
    return std::array{
        model::EnumName{IntakeResult::Stored, "stored"},
        model::EnumName{IntakeResult::Known, "known"},
        model::EnumName{IntakeResult::Refused, "refused"},
        model::EnumName{IntakeResult::Unknown, "unknown"},
    };
}

template<store::PartStore Store>
class Intake
{
public:
    Intake(Store &store, http::asio::any_io_executor executor)
        : store(store)
        , executor(std::move(executor))
    {}

    /// Stores a job unless a row of it exists. Gives up at the deadline, or once the store has been
    /// silent for a while: the caller has then time left to ask another entry VM.
    ///
    /// While the store fails, one job at a time finds out whether it still does; the others are
    /// refused at once, so that their callers can try another entry VM in time.
    Awaitable<IntakeResult> submit(std::string job, std::string record, Instant deadline)
    {
        if (this->mustRefuse(partOf(job)))
            co_return IntakeResult::Refused;
        co_return co_await http::awaitCallback<IntakeResult>([&](auto done) {
            const auto part = partOf(job);
            auto item = std::make_shared<Item>();
            item->job = std::move(job);
            item->record = std::move(record);
            item->deadline = deadline;
            item->done = std::move(done);
            this->queues[part].push_back(item);
            spawn(
                this->executor, "intake patience", [item] { return giveUpLate(item); },
                [](const std::string &) {});
            this->begin(part);
        });
    }

    /// How long the store has been failing; zero while it does not.
    Duration failingFor() const
    {
        return this->fails ? bootNow() - this->failsSince : Duration::zero();
    }

private:
    bool mustRefuse(const std::string &part) const
    {
        const auto at = this->busy.find(part);
        const bool isBusy = at != this->busy.end() && at->second;
        return this->fails && (isBusy || bootNow() - this->failedAt < probePause);
    }

    struct Item
    {
        std::string job;
        std::string record;
        Instant deadline;
        Instant begunAt = bootNow();
        bool isSent = false; // a transaction that holds it is under way
        bool mayBeStored = false; // a transaction that held it had no answer
        std::function<void(IntakeResult)> done; // empty once answered

        void answer(IntakeResult result)
        {
            if (this->done)
                std::exchange(this->done, nullptr)(result);
        }
    };

    using Batch = std::deque<std::shared_ptr<Item>>;

    // Bounds of a transaction: entries, with three to a job, and bytes.
    static constexpr std::size_t mostJobs = 30;
    static constexpr std::size_t mostBytes = 400UL * 1024;
    static constexpr auto retryPause = std::chrono::milliseconds(60);
    static constexpr auto probePause = std::chrono::milliseconds(250);
    static constexpr int missesOfFailure = 2;
    // A refusal by the store is tried again for this long; callers can do more with the rest.
    static constexpr auto patience = std::chrono::milliseconds(300);
    // The same for a store that does not answer at all.
    static constexpr Duration silentPatience = std::chrono::milliseconds(1200);

    // A transaction without an answer takes longer to fail than its callers wait.
    static Awaitable<void> giveUpLate(std::shared_ptr<Item> item)
    {
        co_await pause(std::min(silentPatience, item->deadline - bootNow()));
        const bool mayBeStored = item->isSent || item->mayBeStored;
        item->answer(mayBeStored ? IntakeResult::Unknown : IntakeResult::Refused);
    }

    void begin(const std::string &part)
    {
        if (std::exchange(this->busy[part], true))
            return;
        spawn(
            this->executor, "intake " + part, [this, part] { return this->work(part); },
            [this, part](const std::string &) { this->busy[part] = false; });
    }

    Awaitable<void> work(std::string part)
    {
        auto &queue = this->queues[part];
        while (!queue.empty()) {
            Batch batch;
            std::size_t bytes = 0;
            while (!queue.empty() && batch.size() < mostJobs && bytes < mostBytes) {
                bytes += queue.front()->record.size();
                batch.push_back(std::move(queue.front()));
                queue.pop_front();
            }
            co_await this->commit(part, std::move(batch));
        }
        this->busy[part] = false;
    }

    Awaitable<void> commit(const std::string &part, Batch batch)
    {
        for (;;) {
            // What was refused meanwhile must not be stored any more.
            std::erase_if(batch, [](const auto &item) { return !item->done; });
            if (batch.empty())
                co_return;
            store::PartTransaction transaction;
            transaction.part = part;
            for (const auto &item : batch) {
                item->isSent = true;
                transaction.conditions.push_back({table::intake, item->job, store::absent});
                transaction.conditions.push_back({table::progress, item->job, store::absent});
                transaction.puts.push_back({table::intake, item->job, item->record});
            }
            const auto answer = co_await this->store.commit(std::move(transaction));
            for (const auto &item : batch)
                item->isSent = false;
            if (answer.state == store::CommitState::Committed) {
                this->fails = false;
                this->unanswered = 0;
                for (const auto &item : batch)
                    item->answer(IntakeResult::Stored);
                co_return;
            }
            const auto now = bootNow();
            this->noteFailure(answer.state, now);
            if (answer.state == store::CommitState::Conflict)
                this->answerKnown(batch, answer.current);
            for (const auto &item : batch)
                item->mayBeStored |= answer.state == store::CommitState::Unknown;
            this->answerLate(batch, now);
            if (answer.state != store::CommitState::Conflict)
                co_await pause(retryPause);
        }
    }

    // One answer that does not come may be lost, or come from a store that has just become slow; to
    // refuse all other callers for it would turn away jobs that can be stored.
    void noteFailure(store::CommitState state, Instant now)
    {
        const bool isUnknown = state == store::CommitState::Unknown;
        this->unanswered = isUnknown ? this->unanswered + 1 : 0;
        const bool failed =
            state == store::CommitState::NotApplied || this->unanswered >= missesOfFailure;
        if (failed && !this->fails)
            this->failsSince = now;
        if (failed)
            this->failedAt = now;
        this->fails = failed;
    }

    void answerKnown(const Batch &batch, const std::vector<store::PartRow> &rows)
    {
        for (const auto &item : batch) {
            const bool exists = std::any_of(rows.begin(), rows.end(), [&](const auto &row) {
                return row.key == item->job && row.version != store::absent;
            });
            if (exists)
                item->answer(IntakeResult::Known);
        }
    }

    void answerLate(const Batch &batch, Instant now)
    {
        for (const auto &item : batch) {
            const bool isLate =
                now >= item->deadline || (!item->mayBeStored && now - item->begunAt > patience);
            if (isLate)
                item->answer(item->mayBeStored ? IntakeResult::Unknown : IntakeResult::Refused);
        }
    }

    Store &store;
    http::asio::any_io_executor executor;
    std::map<std::string, Batch> queues; // by part
    std::map<std::string, bool> busy; // a transaction of the part is under way
    bool fails = false; // the last transaction was refused, or several had no answer
    int unanswered = 0; // transactions in a row
    Instant failsSince{};
    Instant failedAt{}; // the last time
};

} // namespace sassafrasferry::coordination
