// Writes of the leader to one part of the store. Each carries the part's chain row on: a write of
// an earlier leader, or one of its own that is applied late, finds the chain moved and fails.
#pragma once

#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/coordination/timing.h>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// How a write ended.
enum class WriteResult {
    Written,
    Retry, ///< it may or may not be written; the same write again is safe
    Deposed, ///< a newer leader has taken the part
};

template<store::PartStore Store>
class FencedPart
{
public:
    FencedPart(Store &store, std::string part, std::int64_t fence)
        : store(store)
        , part(std::move(part))
        , fence(fence)
    {}

    const std::string &name() const
    {
        return this->part;
    }

    /// Takes the part: from here on no write of an earlier leader succeeds.
    Awaitable<WriteResult> open()
    {
        const auto seen = co_await this->look();
        if (seen != WriteResult::Written)
            co_return seen;
        const std::vector<store::PartPut> noPuts;
        const std::vector<store::PartDelete> noDeletes;
        co_return co_await this->write(noPuts, noDeletes);
    }

    Awaitable<WriteResult> write(std::vector<store::PartPut> puts,
                                 std::vector<store::PartDelete> deletes)
    {
        if (this->isUncertain) {
            const auto seen = co_await this->look();
            if (seen != WriteResult::Written)
                co_return seen;
        }
        store::PartTransaction transaction{this->part, {}, std::move(puts), std::move(deletes)};
        transaction.conditions.push_back({table::chain, table::chain, this->version});
        transaction.puts.push_back({table::chain, table::chain, std::to_string(this->fence)});
        const auto commit = co_await this->store.commit(std::move(transaction));
        if (commit.state == store::CommitState::Committed) {
            this->version = commit.version;
            co_return WriteResult::Written;
        }
        this->isUncertain = commit.state != store::CommitState::NotApplied;
        co_return WriteResult::Retry;
    }

private:
    // Learns the chain's version.
    Awaitable<WriteResult> look()
    {
        const store::PartRange range{table::chain, this->part, "", ""};
        const auto page = co_await this->store.scan(range);
        if (!page.ok())
            co_return WriteResult::Retry;
        const auto holder = page->rows.empty() ? 0 : std::stoll("0" + page->rows.front().value);
        if (holder > this->fence) {
            LOG(WARNING) << "event=part-lost part=" << this->part << " fence=" << this->fence
                         << " newer=" << holder;
            co_return WriteResult::Deposed;
        }
        this->version = page->rows.empty() ? store::absent : page->rows.front().version;
        this->isUncertain = false;
        co_return WriteResult::Written;
    }

    Store &store;
    std::string part;
    std::int64_t fence;
    std::int64_t version = store::absent; // of the chain row
    bool isUncertain = false; // a write had no answer
};

} // namespace sassafrasferry::coordination
