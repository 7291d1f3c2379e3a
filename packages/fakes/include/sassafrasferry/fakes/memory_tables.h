// The table service in memory, with switches for its faults.
#pragma once

#include <sassafrasferry/platform/rows.h>

#include <cstddef>
#include <map>

namespace sassafrasferry::fakes {

using platform::Awaitable;

/// Faults of the table service. Counts are used up by one call each.
struct TableFaults
{
    bool down = false; ///< every call fails, and nothing is written
    std::size_t lostAnswers = 0; ///< transactions that take effect and give no answer
    std::size_t lostCalls = 0; ///< transactions that neither take effect nor give an answer
    std::size_t failedReads = 0;
};

/// Keeps rows in memory. Fulfils `platform::TableService`, without waiting.
class MemoryTables
{
public:
    Awaitable<platform::Commit> commit(platform::Transaction transaction);
    Awaitable<absl::StatusOr<std::vector<platform::Row>>> read(std::vector<platform::RowKey> keys);
    Awaitable<absl::StatusOr<std::vector<platform::Row>>> scan(platform::ScanRange range);

    /// Commits at once, past all faults.
    platform::Commit commitNow(const platform::Transaction &transaction);
    std::vector<platform::Row> readNow(const std::vector<platform::RowKey> &keys) const;
    std::vector<platform::Row> scanNow(const platform::ScanRange &range) const;

    TableFaults faults;
    std::size_t commits = 0; ///< transactions asked for
    std::size_t reads = 0;

private:
    std::map<platform::RowKey, platform::Row> rows;
    std::int64_t lastVersion = platform::absent;
};

} // namespace sassafrasferry::fakes
