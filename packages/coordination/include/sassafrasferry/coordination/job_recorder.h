// Writes the progress of jobs to the store under the leader's fencing token, with one writer per
// part. Transactions keep to the store's limits; a job whose rows the store rejects nevertheless
// does not keep other jobs of its part from being recorded.
#pragma once

#include <sassafrasferry/coordination/concurrently.h>
#include <sassafrasferry/coordination/fenced_part.h>
#include <sassafrasferry/coordination/progress_rows.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

template<store::PartStore Store>
class JobRecorder : public std::enable_shared_from_this<JobRecorder<Store>>
{
public:
    struct Events
    {
        std::function<void()> onRecorded; ///< rows were stored and reported to the scheduler
        std::function<void(const std::string &why)> onDeposed;
        OnFailure onFailed; ///< a writer ended with an error; its part is not written any more
    };

    /// `partNames`: all parts that hold rows of jobs, those of the layout `parts` among them.
    JobRecorder(http::asio::any_io_executor executor, Store &store,
                scheduling::Scheduler &scheduler, std::int64_t fence, JobParts parts,
                const std::vector<std::string> &partNames, Events events,
                store::RowLimits limits = {})
        : executor(executor)
        , scheduler(scheduler)
        , fence(fence)
        , parts(parts)
        , events(std::move(events))
        , limits(limits)
    {
        for (const auto &part : partNames)
            this->writers.push_back(std::make_unique<PartWriter>(store, part, fence, executor));
    }

    /// Fences all parts, so that no earlier leader can write. False if a newer leader holds them or
    /// this recorder was stopped.
    Awaitable<bool> open()
    {
        const auto openPart = [this](std::size_t index) -> Awaitable<bool> {
            auto &part = this->writers[index]->part;
            const auto result = co_await this->retryUntilSettled([&part] { return part.open(); });
            co_return result == WriteResult::Written;
        };
        co_return co_await allSucceed(this->writers.size(), openPart);
    }

    void begin()
    {
        for (auto &writer : this->writers) {
            spawn(
                this->executor, "record " + writer->part.name(),
                [self = this->shared_from_this(), raw = writer.get()] { return self->run(*raw); },
                [self = this->shared_from_this()](const std::string &error) {
                    self->events.onFailed(error);
                });
        }
    }

    /// Makes the writers check the scheduler for changes now.
    void wake()
    {
        for (auto &writer : this->writers)
            writer->wake.notify();
    }

    /// Notes that the job has a cancellation row, which is deleted together with its intake row.
    void addCancellation(const std::string &job)
    {
        this->cancellations.insert(job);
    }

    /// Takes over how earlier leaders have divided the progress of jobs, and deletes the rows that
    /// they have left. Must be called before `begin`.
    void takePieces(std::map<std::string, ProgressPieces> pieces, std::vector<StaleRow> stale)
    {
        this->pieces = std::move(pieces);
        for (auto &row : stale) {
            for (auto &writer : this->writers) {
                if (writer->part.name() == row.part)
                    writer->staleKeys.push_back(std::move(row.key));
            }
        }
    }

    /// Notes the part that holds the job's rows, which an entry VM with another layout may have
    /// chosen. A part that came into use after this leader's takeover has no writer: then the
    /// job's progress goes to the part of the own layout, where a successor reads it as well.
    void notePart(const std::string &job, const std::string &part)
    {
        const bool isWritten =
            std::any_of(this->writers.begin(), this->writers.end(),
                        [&](const auto &writer) { return writer->part.name() == part; });
        if (isWritten && part != this->parts.partOf(job))
            this->partsOfOtherLayouts[job] = part;
    }

    /// Stops all writers. The scheduler is not accessed after this call.
    void stop()
    {
        this->stopped = true;
        this->wake();
    }

private:
    static constexpr auto batchDelay = std::chrono::milliseconds(15);
    static constexpr auto maxWakeWait = std::chrono::milliseconds(200);
    static constexpr auto retryPause = std::chrono::milliseconds(50);
    static constexpr auto rejectionPause = std::chrono::seconds(5);
    static constexpr std::size_t maxRows = 30; // jobs per batch
    // Entries and bytes that are left for the condition and the row of the fencing token.
    static constexpr std::size_t reservedEntries = 2;
    static constexpr std::size_t reservedBytes = 4096;

    /// Writes the rows of one part.
    struct PartWriter
    {
        PartWriter(Store &store, const std::string &part, std::int64_t fence,
                   const http::asio::any_io_executor &executor)
            : part(store, part, fence)
            , wake(executor)
        {}

        FencedPart<Store> part;
        Wake wake;
        std::vector<std::string> staleKeys; // of rows of the progress table to delete
    };

    /// Rows that one transaction writes.
    struct Chunk
    {
        std::vector<store::PartPut> puts;
        std::vector<store::PartDelete> deletes;
        std::size_t bytes = 0;
    };

    /// Repeats a write until it is written or rejected; Deposed if this leader is deposed or
    /// stopped first.
    template<typename Write>
    Awaitable<WriteResult> retryUntilSettled(Write write)
    {
        while (!this->stopped) {
            const auto result = co_await write();
            if (this->stopped)
                break;
            if (result == WriteResult::Written || result == WriteResult::Rejected)
                co_return result;
            if (result == WriteResult::Deposed) {
                this->events.onDeposed("a newer leader holds the job tables");
                break;
            }
            co_await pause(retryPause);
        }
        co_return WriteResult::Deposed;
    }

    Awaitable<WriteResult> writeAll(PartWriter &writer, std::vector<Chunk> chunks)
    {
        for (const auto &chunk : chunks) {
            const auto result = co_await this->retryUntilSettled(
                [&] { return writer.part.write(chunk.puts, chunk.deletes); });
            if (result != WriteResult::Written)
                co_return result;
        }
        co_return WriteResult::Written;
    }

    /// Adds rows that one transaction has to write together.
    void append(std::vector<Chunk> &chunks, std::vector<store::PartPut> puts,
                std::vector<store::PartDelete> deletes) const
    {
        std::size_t bytes = 0;
        for (const auto &put : puts)
            bytes += store::callBytesOf(put);
        for (const auto &row : deletes)
            bytes += store::callBytesOf({row.table, row.key, ""});
        const auto entriesOf = [](const Chunk &chunk) {
            return chunk.puts.size() + chunk.deletes.size();
        };
        const bool fits =
            !chunks.empty() && chunks.back().bytes + bytes + reservedBytes <= this->limits.callBytes
            && entriesOf(chunks.back()) + puts.size() + deletes.size() + reservedEntries
                   <= this->limits.callEntries;
        if (!fits)
            chunks.emplace_back();
        auto &chunk = chunks.back();
        chunk.bytes += bytes;
        std::move(puts.begin(), puts.end(), std::back_inserter(chunk.puts));
        std::move(deletes.begin(), deletes.end(), std::back_inserter(chunk.deletes));
    }

    std::vector<store::PartPut> putsFor(const scheduling::DirtyJob &row)
    {
        auto value = row.row.SerializeAsString();
        const bool isSingle =
            value.size() <= this->limits.valueBytes && this->pieces.count(row.id) == 0;
        if (row.final || isSingle)
            return {{table::progress, row.id, std::move(value)}};
        const auto generation = static_cast<std::uint64_t>(std::max<std::int64_t>(this->fence, 1));
        auto &divided = this->pieces.try_emplace(row.id, generation).first->second;
        auto puts = divided.putsFor(row.id, row.row, row.endedTasks, this->limits, bootNow());
        if (const auto omitted = divided.takeOmittedCheckpoints(); omitted > 0)
            LOG(WARNING) << "event=checkpoints-omitted job=" << row.id << " count=" << omitted
                         << " row-bytes=" << this->limits.valueBytes;
        return puts;
    }

    std::vector<Chunk> chunksOf(const std::vector<scheduling::DirtyJob> &rows)
    {
        std::vector<Chunk> chunks;
        for (const auto &row : rows) {
            std::vector<store::PartDelete> deletes;
            if (row.final)
                deletes.push_back({table::intake, row.id});
            if (row.final && this->cancellations.count(row.id) != 0)
                deletes.push_back({table::intake, cancellationKey(row.id)});
            auto puts = this->putsFor(row);
            auto own = std::move(puts.back());
            puts.pop_back();
            for (auto &piece : puts)
                this->append(chunks, {std::move(piece)}, {});
            this->append(chunks, {std::move(own)}, std::move(deletes));
        }
        return chunks;
    }

    /// Writes the rows and reports them to the scheduler. False if this leader is deposed or
    /// stopped first.
    Awaitable<bool> record(PartWriter &writer, std::vector<scheduling::DirtyJob> rows)
    {
        auto chunks = this->chunksOf(rows);
        const auto result = co_await this->writeAll(writer, std::move(chunks));
        if (result == WriteResult::Written) {
            for (const auto &row : rows)
                this->finish(writer, row);
            co_return true;
        }
        if (result != WriteResult::Rejected)
            co_return false;
        for (const auto &row : rows) {
            if (const auto divided = this->pieces.find(row.id); divided != this->pieces.end())
                divided->second.forgetWritten();
        }
        if (rows.size() == 1) {
            this->setAside(writer, rows.front());
            co_return true;
        }
        for (auto &row : rows) {
            std::vector<scheduling::DirtyJob> single;
            single.push_back(std::move(row));
            const bool isSettled = co_await this->record(writer, std::move(single));
            if (!isSettled)
                co_return false;
        }
        co_return true;
    }

    void finish(PartWriter &writer, const scheduling::DirtyJob &row)
    {
        this->scheduler.recorded(row);
        this->rejectedJobs.erase(row.id);
        if (!row.final)
            return;
        this->cancellations.erase(row.id);
        this->partsOfOtherLayouts.erase(row.id);
        if (const auto divided = this->pieces.find(row.id); divided != this->pieces.end()) {
            for (auto &key : divided->second.keysOf(row.id))
                writer.staleKeys.push_back(std::move(key));
            this->pieces.erase(divided);
        }
    }

    void setAside(const PartWriter &writer, const scheduling::DirtyJob &row)
    {
        ++this->rejections;
        this->rejectedJobs[row.id] = bootNow();
        this->scheduler.notRecorded(row);
        LOG(ERROR) << "event=job-unrecordable job=" << row.id << " part=" << writer.part.name()
                   << " bytes=" << row.row.ByteSizeLong() << " rejections=" << this->rejections
                   << " jobs=" << this->rejectedJobs.size();
    }

    bool isSetAside(const std::string &job) const
    {
        const auto at = this->rejectedJobs.find(job);
        return at != this->rejectedJobs.end() && bootNow() - at->second < rejectionPause;
    }

    /// Deletes the rows that belong to no job's progress any more.
    Awaitable<bool> deleteStaleRows(PartWriter &writer)
    {
        std::vector<Chunk> chunks;
        for (auto &key : std::exchange(writer.staleKeys, {}))
            this->append(chunks, {}, {{table::progress, std::move(key)}});
        const auto result = co_await this->writeAll(writer, std::move(chunks));
        co_return result != WriteResult::Deposed;
    }

    std::string partOf(const std::string &job) const
    {
        const auto at = this->partsOfOtherLayouts.find(job);
        return at == this->partsOfOtherLayouts.end() ? this->parts.partOf(job) : at->second;
    }

    Awaitable<void> run(PartWriter &writer)
    {
        while (!this->stopped) {
            co_await writer.wake.wait(maxWakeWait);
            co_await pause(batchDelay);
            if (this->stopped)
                co_return;
            // Before rows are written, as a job that is divided anew uses the same keys.
            const bool isClean = co_await this->deleteStaleRows(writer);
            if (!isClean)
                co_return;
            auto rows = this->scheduler.takeDirty(maxRows, [&](const std::string &job) {
                return this->partOf(job) == writer.part.name() && !this->isSetAside(job);
            });
            if (rows.empty())
                continue;
            const bool isSettled = co_await this->record(writer, std::move(rows));
            if (!isSettled)
                co_return;
            this->events.onRecorded();
            if (this->scheduler.hasDirty() || !writer.staleKeys.empty())
                writer.wake.notify();
        }
    }

    http::asio::any_io_executor executor;
    scheduling::Scheduler &scheduler; // not accessed after `stop`
    std::int64_t fence;
    JobParts parts;
    Events events;
    store::RowLimits limits;
    std::vector<std::unique_ptr<PartWriter>> writers; // one per part
    std::set<std::string> cancellations; // jobs whose cancellation row still exists
    std::map<std::string, std::string> partsOfOtherLayouts; // by job; absent: as in `parts`
    std::map<std::string, ProgressPieces> pieces; // by job; absent: its progress is one row
    std::map<std::string, Instant> rejectedJobs; // by job: when the store last rejected its rows
    std::size_t rejections = 0;
    bool stopped = false;
};

} // namespace sassafrasferry::coordination
