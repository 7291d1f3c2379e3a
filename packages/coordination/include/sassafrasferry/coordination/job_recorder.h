// Writes the progress of jobs to the store under the leader's fencing token, with one writer per
// part.
#pragma once

#include <sassafrasferry/coordination/concurrently.h>
#include <sassafrasferry/coordination/fenced_part.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>

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
                const std::vector<std::string> &partNames, Events events)
        : executor(executor)
        , scheduler(scheduler)
        , parts(parts)
        , events(std::move(events))
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
            co_return co_await this->retryUntilWritten([&part] { return part.open(); });
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
    // Rows per transaction; each takes up to three entries of the transaction.
    static constexpr std::size_t maxRows = 30;

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
    };

    /// Repeats a write until it succeeds; false if this leader is deposed or stopped first.
    template<typename Write>
    Awaitable<bool> retryUntilWritten(Write write)
    {
        while (!this->stopped) {
            const auto result = co_await write();
            if (this->stopped)
                break;
            if (result == WriteResult::Written)
                co_return true;
            if (result == WriteResult::Deposed) {
                this->events.onDeposed("a newer leader holds the job tables");
                break;
            }
            co_await pause(retryPause);
        }
        co_return false;
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
            const auto rows = this->scheduler.takeDirty(maxRows, [&](const std::string &job) {
                return this->partOf(job) == writer.part.name();
            });
            if (rows.empty())
                continue;
            std::vector<store::PartPut> puts;
            std::vector<store::PartDelete> deletes;
            for (const auto &row : rows) {
                puts.push_back({table::progress, row.id, row.row.SerializeAsString()});
                if (!row.final)
                    continue;
                deletes.push_back({table::intake, row.id});
                if (this->cancellations.count(row.id) != 0)
                    deletes.push_back({table::intake, cancellationKey(row.id)});
            }
            if (!co_await this->retryUntilWritten([&] { return writer.part.write(puts, deletes); }))
                co_return;
            for (const auto &row : rows) {
                this->scheduler.recorded(row);
                if (!row.final)
                    continue;
                this->cancellations.erase(row.id);
                this->partsOfOtherLayouts.erase(row.id);
            }
            this->events.onRecorded();
            if (this->scheduler.hasDirty())
                writer.wake.notify();
        }
    }

    http::asio::any_io_executor executor;
    scheduling::Scheduler &scheduler; // not accessed after `stop`
    JobParts parts;
    Events events;
    std::vector<std::unique_ptr<PartWriter>> writers; // one per part
    std::set<std::string> cancellations; // jobs whose cancellation row still exists
    std::map<std::string, std::string> partsOfOtherLayouts; // by job; absent: as in `parts`
    bool stopped = false;
};

} // namespace sassafrasferry::coordination
