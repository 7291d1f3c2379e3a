// An in-memory store of rows with fault injection.
#pragma once

#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/store/part_rows.h>

#include <map>
#include <set>
#include <stdexcept>
#include <tuple>

namespace sassafrasferry::coordination {

/// Fault to inject into scans of `MemoryStore::faultyTable`.
enum class ReadFault {
    None,
    Throws,
    Fails,
};

/// Satisfies `store::PartStore`. Commits check their conditions; feeds always fail.
class MemoryStore
{
public:
    ReadFault fault = ReadFault::None;
    std::string faultyTable;
    std::chrono::milliseconds delay{0}; ///< before each answer of `commit` and `scan`
    bool refusesCommits = false; ///< whether commits are refused
    store::RowLimits limits; ///< larger commits are rejected
    std::size_t rejections = 0; ///< commits rejected so far
    std::size_t writtenBytes = 0; ///< of all values written
    bool losesCommits = false; ///< whether commits get no answer and are not applied

    http::Awaitable<store::PartCommit> commit(store::PartTransaction transaction)
    {
        if (this->delay.count() > 0)
            co_await pause(this->delay);
        store::PartCommit commit;
        commit.state = store::CommitState::NotApplied;
        if (this->refusesCommits)
            co_return commit;
        commit.state = store::CommitState::Rejected;
        if (this->isTooLarge(transaction)) {
            ++this->rejections;
            co_return commit;
        }
        commit.state = store::CommitState::Unknown;
        if (this->losesCommits)
            co_return commit;
        commit.state = store::CommitState::Conflict;
        bool isMet = true;
        for (const auto &condition : transaction.conditions) {
            const auto at = this->rows.find({condition.table, transaction.part, condition.key});
            const auto version = at == this->rows.end() ? store::absent : at->second.version;
            isMet = isMet && version == condition.version;
            if (at != this->rows.end())
                commit.current.push_back(at->second);
        }
        if (!isMet)
            co_return commit;
        commit.current.clear();
        commit.state = store::CommitState::Committed;
        commit.version = ++this->version;
        for (const auto &put : transaction.puts)
            this->writtenBytes += put.value.size();
        for (const auto &put : transaction.puts)
            this->rows[{put.table, transaction.part, put.key}] = {
                put.table, transaction.part, put.key, put.value, this->version, false};
        for (const auto &row : transaction.deletes)
            this->rows.erase({row.table, transaction.part, row.key});
        co_return commit;
    }

    http::Awaitable<absl::StatusOr<store::PartPage>>
    scan(store::PartRange range, const std::shared_ptr<http::Abort> & = nullptr)
    {
        if (this->delay.count() > 0)
            co_await pause(this->delay);
        if (range.table == this->faultyTable && this->fault == ReadFault::Throws)
            throw std::runtime_error("the answer has a field of another type");
        if (range.table == this->faultyTable && this->fault == ReadFault::Fails)
            co_return absl::UnavailableError("no answer");
        store::PartPage page;
        page.version = this->version;
        for (const auto &entry : this->rows) {
            const auto &row = entry.second;
            if (row.table == range.table && row.part == range.part && row.key >= range.from
                && (range.to.empty() || row.key < range.to))
                page.rows.push_back(row);
        }
        co_return page;
    }

    http::Awaitable<absl::StatusOr<std::vector<std::string>>> parts(std::string table)
    {
        if (this->delay.count() > 0)
            co_await pause(this->delay);
        std::set<std::string> names;
        for (const auto &entry : this->rows) {
            if (std::get<0>(entry.first) == table)
                names.insert(std::get<1>(entry.first));
        }
        co_return std::vector<std::string>(names.begin(), names.end());
    }

    http::Awaitable<absl::StatusOr<store::FeedPage>>
    feed(std::string, std::int64_t, std::chrono::milliseconds, const std::shared_ptr<http::Abort> &)
    {
        co_return absl::UnavailableError("MemoryStore has no feeds");
    }

private:
    bool isTooLarge(const store::PartTransaction &transaction) const
    {
        std::size_t bytes = 0;
        bool hasLargeRow = false;
        for (const auto &put : transaction.puts) {
            bytes += (put.value.size() + 2) / 3 * 4;
            hasLargeRow |= put.value.size() > this->limits.valueBytes;
        }
        return hasLargeRow || bytes > this->limits.callBytes
               || transaction.conditions.size() + transaction.puts.size()
                          + transaction.deletes.size()
                      > this->limits.callEntries;
    }

    using Key = std::tuple<std::string, std::string, std::string>; // table, part, key

    std::map<Key, store::PartRow> rows;
    std::int64_t version = store::absent;
};

} // namespace sassafrasferry::coordination
