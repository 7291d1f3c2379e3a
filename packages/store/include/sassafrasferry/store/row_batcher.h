// Group commit of conditional row writes, and batched reads. A store that takes a few hundred
// writes a second serves any number of requests, since one transaction carries many rows.
#pragma once

#include <sassafrasferry/http/await_callback.h>
#include <sassafrasferry/policy/write_pace.h>
#include <sassafrasferry/store/expiry_lists.h>
#include <sassafrasferry/store/rows.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasferry::store {

/// One conditional write.
struct RowWrite
{
    RowKey key;
    std::int64_t expectedVersion = absent;
    Json value; ///< an object; the batcher adds the field `writeId`
    std::string writeId; ///< unique to this write, so that its effect can be told from others'
    policy::UnixMilliseconds expiresAt = 0; ///< listed for deletion from then on; 0: not listed
};

/// How one write ended.
enum class WriteState {
    Written,
    Conflict, ///< the row has another version
    NotApplied, ///< nothing was written
    Unknown, ///< it may have been written
};

/// The result of one write.
struct WriteResult
{
    WriteState state = WriteState::Unknown;
    std::int64_t version = absent; ///< if written
    Row current; ///< in a conflict: the row as it stands; version `absent` if there is none
};

/// The result of one read: the row, or one of version `absent`.
using ReadResult = absl::StatusOr<Row>;

/// Times of a batcher.
struct BatcherTimes
{
    policy::WritePace pace; ///< of new transactions
    std::chrono::milliseconds settle{3000}; ///< how long an unanswered write is pursued
    std::chrono::milliseconds pause{50}; ///< between two tries
};

/// Batches writes and reads of one entry VM. All on one executor.
template<TableService Tables>
class RowBatcher
{
public:
    using Executor = http::asio::any_io_executor;

    RowBatcher(Executor executor, Tables &tables, BatcherTimes times)
        : executor(std::move(executor))
        , tables(tables)
        , times(times)
    {}

    /// Writes one row; several waiting writes share a transaction.
    Awaitable<WriteResult> write(RowWrite write)
    {
        write.value["writeId"] = write.writeId;
        return http::awaitCallback<WriteResult>(
            [this, write = std::move(write)](std::function<void(WriteResult)> done) mutable {
                this->writes.push_back({std::move(write), std::move(done)});
                this->startWriting();
            });
    }

    /// Reads one row; several waiting reads share a call.
    Awaitable<ReadResult> read(RowKey key)
    {
        return http::awaitCallback<ReadResult>(
            [this, key = std::move(key)](std::function<void(ReadResult)> done) mutable {
                this->reads.push_back({std::move(key), std::move(done)});
                this->startReading();
            });
    }

    /// The number of live entry VMs, which share the store's writes.
    void setEntries(std::size_t entries)
    {
        this->times.pace.setEntries(entries);
    }

    /// Transactions sent so far.
    std::size_t transactions() const
    {
        return this->sent;
    }

private:
    using Clock = std::chrono::steady_clock;
    static constexpr std::size_t mostRows = 256; // in one transaction or read

    struct PendingWrite
    {
        RowWrite write;
        std::function<void(WriteResult)> done;
    };
    struct PendingRead
    {
        RowKey key;
        std::function<void(ReadResult)> done;
    };

    void startWriting()
    {
        if (std::exchange(this->isWriting, true))
            return;
        http::asio::co_spawn(
            this->executor, [this] { return this->writeLoop(); }, http::asio::detached);
    }

    void startReading()
    {
        if (std::exchange(this->isReading, true))
            return;
        http::asio::co_spawn(
            this->executor, [this] { return this->readLoop(); }, http::asio::detached);
    }

    Awaitable<void> pauseUntil(Clock::time_point at)
    {
        http::asio::steady_timer timer(this->executor, at);
        boost::system::error_code ignored;
        co_await timer.async_wait(http::asio::redirect_error(http::asio::use_awaitable, ignored));
    }

    // Takes a batch; a second write to a key waits, since its condition rests on the first.
    std::vector<PendingWrite> takeWrites()
    {
        std::vector<PendingWrite> batch;
        std::vector<PendingWrite> later;
        std::set<RowKey> keys;
        for (auto &pending : this->writes) {
            const bool fits = batch.size() < mostRows && keys.insert(pending.write.key).second;
            (fits ? batch : later).push_back(std::move(pending));
        }
        this->writes = std::move(later);
        return batch;
    }

    Awaitable<void> writeLoop()
    {
        while (!this->writes.empty()) {
            co_await this->pauseUntil(this->times.pace.next());
            this->times.pace.taken(Clock::now());
            co_await this->commitBatch(this->takeWrites());
        }
        this->isWriting = false;
    }

    static Transaction transactionOf(const std::vector<PendingWrite> &batch)
    {
        Transaction transaction;
        for (const auto &pending : batch) {
            transaction.conditions.push_back({pending.write.key, pending.write.expectedVersion});
            transaction.puts.push_back({pending.write.key, pending.write.value});
        }
        listForDeletion(batch, transaction);
        return transaction;
    }

    // One list for the whole batch, under the latest of its moments: no row goes too early.
    static void listForDeletion(const std::vector<PendingWrite> &batch, Transaction &transaction)
    {
        std::vector<RowKey> listed;
        policy::UnixMilliseconds latest = 0;
        for (const auto &pending : batch) {
            if (pending.write.expiresAt == 0)
                continue;
            listed.push_back(pending.write.key);
            latest = std::max(latest, pending.write.expiresAt);
        }
        if (!listed.empty())
            transaction.puts.push_back(expiryList(latest, batch.front().write.writeId, listed));
    }

    static void finish(const std::vector<PendingWrite> &batch, const WriteResult &result)
    {
        for (const auto &pending : batch)
            pending.done(result);
    }

    // A transaction without an answer is sent again as it is: its conditions let it take effect
    // once at the most, and if the first one did, the rows tell it by their write ids. Reading
    // back alone would not do: the first one may still be on its way.
    Awaitable<void> commitBatch(std::vector<PendingWrite> batch)
    {
        const auto giveUp = Clock::now() + this->times.settle;
        bool mayBeApplied = false;
        while (!batch.empty()) {
            ++this->sent;
            const auto commit = co_await this->tables.commit(transactionOf(batch));
            if (commit.state == CommitState::Committed) {
                finish(batch, {WriteState::Written, commit.version, {}});
                co_return;
            }
            if (commit.state == CommitState::Conflict) {
                batch = co_await this->settleConflicts(std::move(batch), commit.failed);
                continue;
            }
            mayBeApplied = mayBeApplied || commit.state == CommitState::Unknown;
            if (!mayBeApplied) {
                finish(batch, {WriteState::NotApplied, absent, {}});
                co_return;
            }
            if (Clock::now() >= giveUp) {
                finish(batch, {WriteState::Unknown, absent, {}});
                co_return;
            }
            co_await this->pauseUntil(Clock::now() + this->times.pause);
        }
    }

    // Ends the writes whose condition failed; returns the others.
    Awaitable<std::vector<PendingWrite>> settleConflicts(std::vector<PendingWrite> batch,
                                                         std::vector<std::size_t> failed)
    {
        std::vector<RowKey> keys;
        for (const auto index : failed)
            keys.push_back(batch.at(index).write.key);
        const auto rows = co_await this->tables.read(keys);
        std::vector<PendingWrite> left;
        for (std::size_t i = 0; i < batch.size(); ++i) {
            auto &pending = batch[i];
            if (std::find(failed.begin(), failed.end(), i) == failed.end())
                left.push_back(std::move(pending));
            else
                pending.done(conflictResult(pending.write, rows));
        }
        co_return left;
    }

    static WriteResult conflictResult(const RowWrite &write,
                                      const absl::StatusOr<std::vector<Row>> &rows)
    {
        if (!rows.ok())
            return {WriteState::Unknown, absent, {}};
        const auto *row = findRow(*rows, write.key);
        if (!row)
            return {WriteState::Conflict, absent, {write.key, absent, {}}};
        if (row->value.value("writeId", "") == write.writeId)
            return {WriteState::Written, row->version, {}};
        return {WriteState::Conflict, absent, *row};
    }

    Awaitable<void> readLoop()
    {
        while (!this->reads.empty()) {
            const auto count = std::min(this->reads.size(), mostRows);
            const auto end = this->reads.begin() + static_cast<std::ptrdiff_t>(count);
            std::vector<PendingRead> batch(std::make_move_iterator(this->reads.begin()),
                                           std::make_move_iterator(end));
            this->reads.erase(this->reads.begin(), end);
            std::vector<RowKey> keys;
            for (const auto &pending : batch)
                keys.push_back(pending.key);
            const auto rows = co_await this->tables.read(keys);
            for (const auto &pending : batch)
                pending.done(readResult(pending.key, rows));
        }
        this->isReading = false;
    }

    static ReadResult readResult(const RowKey &key, const absl::StatusOr<std::vector<Row>> &rows)
    {
        if (!rows.ok())
            return rows.status();
        const auto *row = findRow(*rows, key);
        return row ? *row : Row{key, absent, {}};
    }

    Executor executor;
    Tables &tables;
    BatcherTimes times;
    std::vector<PendingWrite> writes;
    std::vector<PendingRead> reads;
    bool isWriting = false; // the write loop runs; there is one at a time
    bool isReading = false;
    std::size_t sent = 0;
};

} // namespace sassafrasferry::store
