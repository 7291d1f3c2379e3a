// Deletes the withdrawals of jobs once no hand-in that they bind can be on its way any more. Any
// caller may cancel ids that no job has, and the rows must not add up.
#pragma once

#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/coordination/timing.h>

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

namespace sassafrasferry::coordination {

template<store::PartStore Store>
class WithdrawalSweep
{
public:
    /// `retention`: how long each withdrawal is kept after it was noted.
    WithdrawalSweep(Store &store, Duration retention)
        : store(store)
        , retention(retention)
    {}

    /// Notes a row of the intake table if it is a withdrawal.
    void note(const store::PartRow &row, Instant now)
    {
        if (withdrawalIn(row))
            this->noted.push_back({row.part, row.key, row.version, now});
    }

    std::size_t size() const
    {
        return this->noted.size();
    }

    bool hasDue(Instant now) const
    {
        return !this->noted.empty() && now - this->noted.front().notedAt >= this->retention;
    }

    /// Deletes withdrawals that are due, as many as one transaction takes. Returns whether more of
    /// them are due.
    ///
    /// A row is deleted only in the version that was noted: a job that has replaced a withdrawal
    /// stays, also if the deletion is carried out late. So the write needs no fencing token.
    Awaitable<bool> sweep(Instant now)
    {
        const auto due = this->takeDue(now);
        if (due.empty())
            co_return false;
        store::PartTransaction transaction;
        transaction.part = due.front().part;
        for (const auto &row : due) {
            transaction.conditions.push_back({table::intake, row.key, row.version});
            transaction.deletes.push_back({table::intake, row.key});
        }
        const auto commit = co_await this->store.commit(std::move(transaction));
        if (commit.state == store::CommitState::Committed)
            co_return this->hasDue(now);
        // After a conflict the rows that still have their version are tried once more.
        for (const auto &row : due) {
            if (commit.state != store::CommitState::Conflict || isAmong(commit.current, row))
                this->noted.push_front(row);
        }
        co_return commit.state == store::CommitState::Conflict &&this->hasDue(now);
    }

private:
    // Each row takes two entries of a transaction: a condition and a deletion.
    static constexpr std::size_t maxRows = 45;

    struct Row
    {
        std::string part;
        std::string key;
        std::int64_t version = store::absent;
        Instant notedAt{};
    };

    // Rows of one part, the oldest first.
    std::vector<Row> takeDue(Instant now)
    {
        std::vector<Row> due;
        std::deque<Row> others;
        while (this->hasDue(now) && due.size() < maxRows) {
            auto row = std::move(this->noted.front());
            this->noted.pop_front();
            const bool isOfPart = due.empty() || row.part == due.front().part;
            if (isOfPart)
                due.push_back(std::move(row));
            else
                others.push_back(std::move(row));
        }
        this->noted.insert(this->noted.begin(), others.begin(), others.end());
        return due;
    }

    static bool isAmong(const std::vector<store::PartRow> &rows, const Row &row)
    {
        return std::any_of(rows.begin(), rows.end(), [&](const auto &stored) {
            return stored.key == row.key && stored.version == row.version;
        });
    }

    Store &store;
    Duration retention;
    std::deque<Row> noted; // in the order in which they become due
};

} // namespace sassafrasferry::coordination
