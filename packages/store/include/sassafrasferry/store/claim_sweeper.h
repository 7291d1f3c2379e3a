// Deletes claims that have been kept long enough. Claims are looked up by key and would have to be
// read one and all to find the old ones, so each batch of new claims also writes one list of their
// keys under the time at which they may go, and only lists that are due are read.
#pragma once

#include <sassafrasferry/store/claim_rows.h>
#include <sassafrasferry/store/expiry_lists.h>

#include <concepts>
#include <set>
#include <utility>
#include <vector>

namespace sassafrasferry::store {

/// A client of the object store that can remove objects.
template<typename T>
concept RemovesObjects = requires(T &objects, std::string name)
{
    {
        objects.remove(name)
        } -> std::same_as<Awaitable<absl::Status>>;
};

/// Sweeps under the control lease.
///
/// Every transaction is conditional on the fence and on the version of each claim that it deletes.
/// So a sweeper that was paused past its lease deletes nothing, and a claim that was made anew
/// under an old key stays. What a fault leaves undone is still listed, and is swept again.
template<TableService Tables, RemovesObjects Objects>
class ClaimSweeper
{
public:
    /// `retention`: how long a claim is kept after it was settled, in milliseconds.
    ClaimSweeper(Tables &tables, Objects &objects, policy::UnixMilliseconds retention)
        : tables(tables)
        , objects(objects)
        , retention(retention)
    {}

    /// Deletes claims that are due, up to a bound, and returns how many.
    Awaitable<absl::StatusOr<std::size_t>> step(policy::UnixMilliseconds now, Condition fence)
    {
        std::size_t deleted = 0;
        for (int round = 0; round < mostRounds; ++round) {
            const auto page = co_await this->sweepPage(now, fence);
            if (!page.ok())
                co_return page.status();
            deleted += page->deleted;
            if (!page->hadLists)
                break;
        }
        co_return deleted;
    }

private:
    static constexpr int mostRounds = 16; // in one step
    static constexpr std::size_t mostLists = 32; // read at once
    static constexpr std::size_t enoughClaims = 64; // in one transaction; a list is never split

    struct Page
    {
        bool hadLists = false;
        std::size_t deleted = 0;
    };

    // What is to be done about the lists that are due, in one transaction.
    struct Plan
    {
        Transaction transaction;
        std::vector<std::string> objects; // to be removed
        std::vector<RowKey> open; // claims to be listed again
        std::size_t deleted = 0;
    };

    Awaitable<absl::StatusOr<Page>> sweepPage(policy::UnixMilliseconds now, Condition fence)
    {
        const ScanRange range{expiryTable, "", mostLists};
        const auto lists = co_await this->tables.scan(range);
        if (!lists.ok())
            co_return lists.status();
        Plan plan;
        plan.transaction.conditions.push_back(fence);
        const auto keys = takeDue(*lists, now, plan.transaction);
        if (plan.transaction.deletes.empty())
            co_return Page{};
        const auto rows = co_await this->tables.read(keys);
        if (!rows.ok())
            co_return rows.status();
        for (const auto &row : *rows)
            this->decide(row, now, plan);
        if (!plan.open.empty())
            plan.transaction.puts.push_back(
                expiryList(now + this->retention, plan.open.front().key, plan.open));
        const Page page{true, plan.deleted};
        const auto status = co_await this->carryOut(std::move(plan));
        if (!status.ok())
            co_return status;
        co_return page;
    }

    // Puts the lists that are due among the deletes; returns the keys that they hold.
    static std::vector<RowKey> takeDue(const std::vector<Row> &lists, policy::UnixMilliseconds now,
                                       Transaction &transaction)
    {
        std::set<RowKey> keys;
        for (const auto &list : lists) {
            if (expiryOf(list.key) > now || keys.size() >= enoughClaims)
                break;
            keys.merge(listedKeys(list));
            transaction.deletes.push_back(list.key);
        }
        return {keys.begin(), keys.end()};
    }

    // A claim that is not settled, or not long ago, as one claimed anew, is listed again: a resend
    // must still find it. One that cannot be read is left alone.
    void decide(const Row &row, policy::UnixMilliseconds now, Plan &plan) const
    {
        const auto found = claimFrom(row);
        if (!found.ok())
            return;
        const bool isSettled = found->claim.state != policy::ClaimState::Claimed;
        if (!isSettled || found->claim.settledAt + this->retention > now) {
            plan.open.push_back(row.key);
            return;
        }
        if (!found->claim.answer.object.empty())
            plan.objects.push_back(found->claim.answer.object);
        plan.transaction.conditions.push_back({row.key, row.version});
        plan.transaction.deletes.push_back(row.key);
        ++plan.deleted;
    }

    // Objects go first: removed after the rows, they would stay for good if the sweeper died
    // between. A completed claim never changes, so nothing can want them back; a replay in the
    // moment between is told that the outcome is not known.
    Awaitable<absl::Status> carryOut(Plan plan)
    {
        for (const auto &name : plan.objects) {
            const auto status = co_await this->objects.remove(name);
            if (!status.ok())
                co_return status;
        }
        const auto commit = co_await this->tables.commit(std::move(plan.transaction));
        if (commit.state != CommitState::Committed)
            co_return absl::UnavailableError("claims were not deleted, or it is not known");
        co_return absl::OkStatus();
    }

    Tables &tables;
    Objects &objects;
    policy::UnixMilliseconds retention;
};

} // namespace sassafrasferry::store
