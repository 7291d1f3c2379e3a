// Rows and transactions of the platform's table service, and what a client of it must offer.
#pragma once

#include <sassafrasferry/http/json.h>

#include <absl/status/statusor.h>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasferry::store {

using http::Awaitable;
using http::Json;

/// Names a row.
struct RowKey
{
    std::string table;
    std::string key;

    auto operator<=>(const RowKey &) const = default;
};

/// The version of a row that does not exist.
constexpr std::int64_t absent = 0;

/// A row. Its version grows with every write to it.
struct Row
{
    RowKey key;
    std::int64_t version = absent;
    Json value;
};

/// Holds if the row has this version.
struct Condition
{
    RowKey key;
    std::int64_t version = absent;
};

/// Writes a row.
struct Put
{
    RowKey key;
    Json value;
};

/// All puts and deletes happen, or none; none if a condition does not hold.
struct Transaction
{
    std::vector<Condition> conditions;
    std::vector<Put> puts;
    std::vector<RowKey> deletes;
};

/// How a transaction ended.
enum class CommitState {
    Committed,
    Conflict, ///< a condition did not hold; nothing was written
    NotApplied, ///< the service refused it or was not reached; nothing was written
    Rejected, ///< the service never takes this transaction; nothing was written
    Unknown, ///< no answer came: it may have been written, or may yet be
};

/// The answer to a transaction.
struct Commit
{
    CommitState state = CommitState::Unknown;
    std::int64_t version = absent; ///< of the rows written
    std::vector<std::size_t> failed; ///< indices of conditions that did not hold
};

/// Rows of one table with keys greater than `after`, in order.
struct ScanRange
{
    static constexpr std::size_t everything = 0;

    std::string table;
    std::string after;
    std::size_t limit = everything; ///< rows at the most
};

/// A client of the table service.
template<typename T>
concept TableService = requires(T &tables, Transaction transaction, std::vector<RowKey> keys,
                                ScanRange range)
{
    {
        tables.commit(transaction)
        } -> std::same_as<Awaitable<Commit>>;
    // The rows that exist, read at one moment.
    {
        tables.read(keys)
        } -> std::same_as<Awaitable<absl::StatusOr<std::vector<Row>>>>;
    {
        tables.scan(range)
        } -> std::same_as<Awaitable<absl::StatusOr<std::vector<Row>>>>;
};

/// The row with that key, or nullptr.
const Row *findRow(const std::vector<Row> &rows, const RowKey &key);

Json toJson(const RowKey &key);
Json toJson(const Row &row);
Json toJson(const Transaction &transaction);
RowKey rowKeyFrom(const Json &json);
Row rowFrom(const Json &json);
Transaction transactionFrom(const Json &json);

} // namespace sassafrasferry::store
