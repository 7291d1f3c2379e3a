// In-memory table service with fault injection.
#include <sassafrasferry/fakes/memory_tables.h>

#include <absl/status/status.h>

namespace sassafrasferry::fakes {

using store::Commit;
using store::CommitState;
using store::Row;
using store::RowKey;
using store::Transaction;

namespace {

bool consumeFault(std::size_t &count)
{
    if (count == 0)
        return false;
    --count;
    return true;
}

} // namespace

Commit MemoryTables::commitNow(const Transaction &transaction)
{
    Commit commit{CommitState::Conflict, store::absent, {}};
    for (std::size_t i = 0; i < transaction.conditions.size(); ++i) {
        const auto &condition = transaction.conditions[i];
        const auto at = this->rows.find(condition.key);
        const auto version = at == this->rows.end() ? store::absent : at->second.version;
        if (version != condition.version)
            commit.failed.push_back(i);
    }
    if (!commit.failed.empty())
        return commit;
    ++this->lastVersion;
    for (const auto &put : transaction.puts)
        this->rows[put.key] = {put.key, this->lastVersion, put.value};
    for (const auto &key : transaction.deletes)
        this->rows.erase(key);
    return {CommitState::Committed, this->lastVersion, {}};
}

std::vector<Row> MemoryTables::readNow(const std::vector<RowKey> &keys) const
{
    std::vector<Row> found;
    for (const auto &key : keys) {
        const auto at = this->rows.find(key);
        if (at != this->rows.end())
            found.push_back(at->second);
    }
    return found;
}

std::vector<Row> MemoryTables::scanNow(const store::ScanRange &range) const
{
    std::vector<Row> found;
    const auto limit =
        range.limit == store::ScanRange::everything ? this->rows.size() : range.limit;
    for (auto at = this->rows.upper_bound({range.table, range.after}); at != this->rows.end();
         ++at) {
        if (at->first.table != range.table || found.size() == limit)
            break;
        found.push_back(at->second);
    }
    return found;
}

Awaitable<Commit> MemoryTables::commit(Transaction transaction)
{
    ++this->commits;
    if (this->faults.down)
        co_return Commit{CommitState::NotApplied, store::absent, {}};
    if (consumeFault(this->faults.lostCalls))
        co_return Commit{CommitState::Unknown, store::absent, {}};
    auto commit = this->commitNow(transaction);
    if (consumeFault(this->faults.lostAnswers))
        co_return Commit{CommitState::Unknown, store::absent, {}};
    co_return commit;
}

Awaitable<absl::StatusOr<std::vector<Row>>> MemoryTables::read(std::vector<RowKey> keys)
{
    ++this->reads;
    if (this->faults.down || consumeFault(this->faults.failedReads))
        co_return absl::UnavailableError("down");
    co_return this->readNow(keys);
}

Awaitable<absl::StatusOr<std::vector<Row>>> MemoryTables::scan(store::ScanRange range)
{
    ++this->reads;
    if (this->faults.down || consumeFault(this->faults.failedReads))
        co_return absl::UnavailableError("down");
    co_return this->scanNow(range);
}

} // namespace sassafrasferry::fakes
