// An in-memory store with feeds, whose feed of one table or which as a whole may stop answering.
#pragma once

#include "memory_store.h"

namespace sassafrasferry::coordination {

/// Fault to inject into the feed of `FeedStore::faultyFeed`. Commits, scans and the feeds of other
/// tables go on.
enum class FeedFault {
    None,
    Unanswered, ///< calls stay unanswered until the fault is over
    Fails,
    Late, ///< calls are answered after `FeedStore::lateness` with the state at their begin
};

/// Satisfies `store::PartStore`. Its feeds answer with the changes of a table in order.
class FeedStore
{
public:
    FeedFault fault = FeedFault::None;
    std::string faultyFeed;
    std::chrono::milliseconds lateness{0}; ///< of late answers
    bool isAway = false; ///< whether all calls fail without an effect

    /// Whether commits are refused while reads are answered.
    void refusesCommits(bool refuses)
    {
        this->memory.refusesCommits = refuses;
    }

    http::Awaitable<store::PartCommit> commit(store::PartTransaction transaction)
    {
        store::PartCommit commit;
        commit.state = store::CommitState::NotApplied;
        if (this->isAway)
            co_return commit;
        commit = co_await this->memory.commit(transaction);
        if (commit.state != store::CommitState::Committed)
            co_return commit;
        this->version = commit.version;
        for (const auto &put : transaction.puts)
            this->changes.push_back(
                {put.table, transaction.part, put.key, put.value, commit.version, false});
        for (const auto &row : transaction.deletes)
            this->changes.push_back(
                {row.table, transaction.part, row.key, "", commit.version, true});
        co_return commit;
    }

    http::Awaitable<absl::StatusOr<store::PartPage>>
    scan(store::PartRange range, const std::shared_ptr<http::Abort> & = nullptr)
    {
        if (this->isAway)
            co_return absl::UnavailableError("the store is away");
        co_return co_await this->memory.scan(range);
    }

    http::Awaitable<absl::StatusOr<std::vector<std::string>>> parts(std::string table)
    {
        if (this->isAway)
            co_return absl::UnavailableError("the store is away");
        co_return co_await this->memory.parts(std::move(table));
    }

    http::Awaitable<absl::StatusOr<store::FeedPage>> feed(std::string table, std::int64_t after,
                                                          std::chrono::milliseconds wait,
                                                          const std::shared_ptr<http::Abort> &)
    {
        const auto answerBy = bootNow() + wait;
        if (table == this->faultyFeed && this->fault == FeedFault::Late) {
            const auto page = this->changesAfter(table, after);
            co_await pause(this->lateness);
            co_return page;
        }
        for (;;) {
            co_await pause(feedStep);
            const auto fault = table == this->faultyFeed ? this->fault : FeedFault::None;
            if (this->isAway || fault == FeedFault::Fails)
                co_return absl::UnavailableError("no answer");
            if (fault == FeedFault::Unanswered)
                continue;
            auto page = this->changesAfter(table, after);
            if (!page.rows.empty() || bootNow() >= answerBy)
                co_return page;
        }
    }

private:
    static constexpr auto feedStep = std::chrono::milliseconds(5);

    store::FeedPage changesAfter(const std::string &table, std::int64_t after) const
    {
        store::FeedPage page;
        page.version = this->version;
        for (const auto &row : this->changes) {
            if (row.table == table && row.version > after)
                page.rows.push_back(row);
        }
        return page;
    }

    MemoryStore memory;
    std::vector<store::PartRow> changes; // of all tables, in order
    std::int64_t version = store::absent;
};

} // namespace sassafrasferry::coordination
