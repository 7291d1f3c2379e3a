// Fenced writes of the leader to one part of the store. Each write is conditional on the version of
// the part's chain row and updates that row. A write of an earlier leader, or a late one of this
// leader, therefore finds another version and fails.
#pragma once

#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/coordination/timing.h>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// The result of a write.
enum class WriteResult {
    Written,
    Retry, ///< may or may not have been written; the same write can safely be repeated
    Rejected, ///< not written; the store never takes these rows together
    Deposed, ///< a newer leader has opened the part
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

    /// Claims the part for this leader. Afterwards no write of an earlier leader succeeds. An
    /// earlier leader that still reads the intake learns of the claim before it learns of jobs that
    /// are stored later. This leader takes such jobs for started by nobody else.
    Awaitable<WriteResult> open()
    {
        const auto seen = co_await this->readChain();
        if (seen != WriteResult::Written)
            co_return seen;
        const std::vector<store::PartPut> puts{
            {table::intake, takeoverKey, takeoverValue(this->fence)}};
        const std::vector<store::PartDelete> noDeletes;
        co_return co_await this->write(puts, noDeletes);
    }

    Awaitable<WriteResult> write(std::vector<store::PartPut> puts,
                                 std::vector<store::PartDelete> deletes)
    {
        if (this->isUncertain) {
            const auto seen = co_await this->readChain();
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
        if (commit.state == store::CommitState::Rejected)
            co_return WriteResult::Rejected;
        this->isUncertain = commit.state != store::CommitState::NotApplied;
        co_return WriteResult::Retry;
    }

private:
    // Reads the version of the chain row. Returns Written on success.
    Awaitable<WriteResult> readChain()
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
    std::int64_t version = store::absent; // version of the chain row
    bool isUncertain = false; // the result of the last write is unknown
};

} // namespace sassafrasferry::coordination
