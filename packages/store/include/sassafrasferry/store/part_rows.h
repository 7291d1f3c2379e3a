// Rows of a store whose tables are split into parts, and what a client of it must offer. Rows that
// change together share a part.
#pragma once

#include <sassafrasferry/http/client.h>
#include <sassafrasferry/store/rows.h>

#include <absl/status/statusor.h>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasferry::store {

/// A row of a part. Its version is the number of the transaction that wrote it; one counter serves
/// all rows.
struct PartRow
{
    std::string table;
    std::string part;
    std::string key;
    std::string value;
    std::int64_t version = absent;
    bool deleted = false; ///< in a feed: the row is gone
};

/// Holds if the row has this version; `absent`: if there is no such row.
struct PartCondition
{
    std::string table;
    std::string key;
    std::int64_t version = absent;
};

struct PartPut
{
    std::string table;
    std::string key;
    std::string value;
};

struct PartDelete
{
    std::string table;
    std::string key;
};

/// All of it happens, or nothing. One part, any tables.
struct PartTransaction
{
    std::string part;
    std::vector<PartCondition> conditions;
    std::vector<PartPut> puts;
    std::vector<PartDelete> deletes;
};

/// What the store takes; it rejects larger transactions.
struct RowLimits
{
    std::size_t valueBytes = 65536; ///< of a row's value
    std::size_t callBytes = 1000000; ///< of a transaction as it is sent
    std::size_t callEntries = 100; ///< conditions, puts and deletes of a transaction
};

/// Upper bound of the bytes of a put in a call: values are sent as base64.
inline std::size_t callBytesOf(const PartPut &put)
{
    constexpr std::size_t frame = 256; // field names, part, quotes
    return frame + put.table.size() + put.key.size() + (put.value.size() + 2) / 3 * 4;
}

struct PartCommit
{
    CommitState state = CommitState::Unknown;
    std::int64_t version = absent; ///< of the rows written
    std::vector<PartRow> current; ///< of the conditions, after a conflict; rows that exist
};

struct PartRange
{
    std::string table;
    std::string part;
    std::string from; ///< first key
    std::string to; ///< first key beyond; empty: no end
};

struct PartPage
{
    std::vector<PartRow> rows;
    std::int64_t version = absent; ///< of the store, when they were read
};

struct FeedPage
{
    std::vector<PartRow> rows;
    std::int64_t version = absent; ///< where the next page begins
    bool historyLost = false; ///< changes in between can't be told any more
};

/// A client of such a store.
template<typename T>
concept PartStore = requires(T &store, PartTransaction transaction, PartRange range,
                             std::string table, std::int64_t after, std::chrono::milliseconds wait,
                             std::shared_ptr<http::Abort> abort)
{
    {
        store.commit(transaction)
        } -> std::same_as<Awaitable<PartCommit>>;
    // All rows of the range. They are read in pages, so rows may be of different moments; the
    // version is that of the first page, from which a feed brings all later changes.
    {
        store.scan(range)
        } -> std::same_as<Awaitable<absl::StatusOr<PartPage>>>;
    // Likewise. The reader may follow the answer and give the call up.
    {
        store.scan(range, abort)
        } -> std::same_as<Awaitable<absl::StatusOr<PartPage>>>;
    // The names of all parts of a table that hold rows.
    {
        store.parts(table)
        } -> std::same_as<Awaitable<absl::StatusOr<std::vector<std::string>>>>;
    // What changed after a version, as soon as there is something. The reader may follow the answer
    // and give the call up.
    {
        store.feed(table, after, wait, abort)
        } -> std::same_as<Awaitable<absl::StatusOr<FeedPage>>>;
};

} // namespace sassafrasferry::store
