// The table service in memory, with switches for its faults.
#pragma once

#include <sassafrasferry/store/rows.h>

#include <cstddef>
#include <map>

namespace sassafrasferry::fakes {

using store::Awaitable;

/// Faults of the table service. Counts are used up by one call each.
struct TableFaults
{
    bool down = false; ///< every call fails, and nothing is written
    std::size_t lostAnswers = 0; ///< transactions that take effect and give no answer
    std::size_t lostCalls = 0; ///< transactions that neither take effect nor give an answer
    std::size_t failedReads = 0;
};

/// Keeps rows in memory. Fulfils `store::TableService`, without waiting.
class MemoryTables
{
public:
    Awaitable<store::Commit> commit(store::Transaction transaction);
    Awaitable<absl::StatusOr<std::vector<store::Row>>> read(std::vector<store::RowKey> keys);
    Awaitable<absl::StatusOr<std::vector<store::Row>>> scan(store::ScanRange range);

    /// Commits at once, past all faults.
    store::Commit commitNow(const store::Transaction &transaction);
    std::vector<store::Row> readNow(const std::vector<store::RowKey> &keys) const;
    std::vector<store::Row> scanNow(const store::ScanRange &range) const;

    TableFaults faults;
    std::size_t commits = 0; ///< transactions asked for
    std::size_t reads = 0;

private:
    std::map<store::RowKey, store::Row> rows;
    std::int64_t lastVersion = store::absent;
};

} // namespace sassafrasferry::fakes
