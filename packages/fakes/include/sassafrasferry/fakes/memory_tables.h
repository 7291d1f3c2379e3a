// In-memory table service with fault injection.
#pragma once

#include <sassafrasferry/store/rows.h>

#include <cstddef>
#include <map>

namespace sassafrasferry::fakes {

using store::Awaitable;

/// Faults to inject. Each affected call decrements its counter by one.
struct TableFaults
{
    bool down = false; ///< every call fails and nothing is written
    std::size_t lostAnswers = 0; ///< next transactions that are committed but answer `Unknown`
    std::size_t lostCalls = 0; ///< next transactions that are not committed and answer `Unknown`
    std::size_t failedReads = 0; ///< next reads and scans that fail
};

/// Keeps rows in memory. Implements `store::TableService`; calls complete without suspending.
class MemoryTables
{
public:
    Awaitable<store::Commit> commit(store::Transaction transaction);
    Awaitable<absl::StatusOr<std::vector<store::Row>>> read(std::vector<store::RowKey> keys);
    Awaitable<absl::StatusOr<std::vector<store::Row>>> scan(store::ScanRange range);

    /// Commits synchronously and ignores the injected faults.
    store::Commit commitNow(const store::Transaction &transaction);
    std::vector<store::Row> readNow(const std::vector<store::RowKey> &keys) const;
    std::vector<store::Row> scanNow(const store::ScanRange &range) const;

    TableFaults faults;
    std::size_t commits = 0; ///< number of `commit` calls
    std::size_t reads = 0; ///< number of `read` and `scan` calls

private:
    std::map<store::RowKey, store::Row> rows;
    std::int64_t lastVersion = store::absent;
};

} // namespace sassafrasferry::fakes
