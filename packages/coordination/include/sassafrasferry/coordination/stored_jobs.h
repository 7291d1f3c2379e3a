// Reads the state of a job from the store and stores the cancellation of a job that is there.
#pragma once

#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/scheduling/scheduler.h>

#include <optional>

namespace sassafrasferry::coordination {

/// Works on any entry VM, also while there is no leader.
template<store::PartStore Store>
class StoredJobs
{
public:
    explicit StoredJobs(Store &store, JobParts parts = JobParts())
        : store(store)
        , parts(parts)
    {}

    /// State of the job as stored; `nullopt` if the store can't be read.
    Awaitable<std::optional<scheduling::JobState>> stateOf(std::string job)
    {
        const auto found = co_await this->find(std::move(job));
        co_return found ? std::optional(found->state) : std::nullopt;
    }

    /// State and customer of the job, and the part that holds it; `nullopt` if the store can't be
    /// read.
    struct Found
    {
        scheduling::JobState state = scheduling::JobState::Unknown;
        std::string part;
        std::string customer;
        std::optional<Withdrawal> withdrawal; ///< in place of the job
    };
    Awaitable<std::optional<Found>> find(std::string job)
    {
        Found found;
        for (const auto &part : this->parts.candidatesOf(job)) {
            auto here = co_await this->findIn(part, job);
            if (!here)
                co_return std::nullopt;
            if (found.part.empty() || here->state != scheduling::JobState::Unknown)
                found = *std::move(here);
            if (found.state != scheduling::JobState::Unknown)
                break;
        }
        co_return found;
    }

    /// Writes the cancellation row to the job's part and repeats the write, which is idempotent,
    /// until the store confirms it. False if that doesn't happen before the deadline.
    Awaitable<bool> cancel(std::string job, std::string part, Instant deadline)
    {
        while (bootNow() < deadline) {
            store::PartTransaction transaction;
            transaction.part = part;
            transaction.puts.push_back({table::intake, cancellationKey(job), ""});
            const auto commit = co_await this->store.commit(std::move(transaction));
            if (commit.state == store::CommitState::Committed) {
                this->cancelledAt = bootNow();
                co_return true;
            }
            co_await pause(retryPause);
        }
        co_return false;
    }

    /// When the store's last confirmation of a cancellation arrived, from when on the caller may
    /// know of it; the epoch without one.
    Instant storeAnsweredAt() const
    {
        return this->cancelledAt;
    }

private:
    static constexpr auto retryPause = std::chrono::milliseconds(100);

    Awaitable<std::optional<Found>> findIn(std::string part, std::string job)
    {
        const auto end = cancellationKey(job) + "~";
        // The intake table is read first: rows move from it to the progress table, never back, so a
        // job that moves between the two reads is still found.
        const store::PartRange intakeRange{table::intake, part, job, end};
        const auto intakePage = co_await this->store.scan(intakeRange);
        if (!intakePage.ok())
            co_return std::nullopt;
        const store::PartRange progressRange{table::progress, part, job, end};
        const auto progressPage = co_await this->store.scan(progressRange);
        if (!progressPage.ok())
            co_return std::nullopt;
        Found found;
        found.state = stateFrom(job, intakePage->rows, progressPage->rows);
        found.part = part;
        found.customer = customerFrom(job, intakePage->rows, progressPage->rows);
        for (const auto &row : intakePage->rows) {
            if (row.key == job)
                found.withdrawal = withdrawalIn(row);
        }
        co_return found;
    }

    static scheduling::JobState stateFrom(const std::string &job,
                                          const std::vector<store::PartRow> &intake,
                                          const std::vector<store::PartRow> &progress)
    {
        auto state = scheduling::JobState::Unknown;
        for (const auto &row : intake) {
            const auto key = parseIntakeKey(row.key);
            if (key.job == job && !withdrawalIn(row) && state != scheduling::JobState::Cancelled)
                state = key.isCancellation ? scheduling::JobState::Cancelled
                                           : scheduling::JobState::Queued;
        }
        for (const auto &row : progress) {
            messages::JobProgress record;
            if (row.key != job || !record.ParseFromString(row.value))
                continue;
            const auto stored = static_cast<scheduling::JobState>(record.state());
            if (jobs::isFinal(stored))
                state = stored;
            else if (state == scheduling::JobState::Queued)
                state = scheduling::JobState::Running;
        }
        return state;
    }

    static std::string customerFrom(const std::string &job,
                                    const std::vector<store::PartRow> &intake,
                                    const std::vector<store::PartRow> &progress)
    {
        for (const auto *rows : {&intake, &progress}) {
            for (const auto &row : *rows) {
                if (row.key == job)
                    return customerOfRow(row);
            }
        }
        return {};
    }

    Store &store;
    JobParts parts;
    Instant cancelledAt{}; // when the last cancellation was confirmed
};

} // namespace sassafrasferry::coordination
