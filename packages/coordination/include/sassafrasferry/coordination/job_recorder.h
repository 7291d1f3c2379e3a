// Writes what became of jobs to the store, a part at a time, under the leader's fence.
#pragma once

#include <sassafrasferry/coordination/fenced_part.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/scheduling/scheduler.h>

#include <functional>
#include <memory>
#include <set>

namespace sassafrasferry::coordination {

template<store::PartStore Store>
class JobRecorder : public std::enable_shared_from_this<JobRecorder<Store>>
{
public:
    struct Events
    {
        std::function<void()> onRecorded; ///< rows are in the store, and the scheduler knows
        std::function<void(const std::string &why)> onDeposed;
        OnFailure onFailed; ///< nothing is recorded any more, for a fault of this process
    };

    JobRecorder(http::asio::any_io_executor executor, Store &store,
                scheduling::Scheduler &scheduler, std::int64_t fence, Events events)
        : executor(executor)
        , scheduler(scheduler)
        , events(std::move(events))
    {
        for (const auto &part : allJobParts())
            this->lanes.push_back(std::make_unique<Lane>(store, part, fence, executor));
    }

    /// Takes all parts, so that no earlier leader writes any more; false if a newer one has them.
    Awaitable<bool> open()
    {
        for (auto &lane : this->lanes) {
            if (!co_await this->until([&] { return lane->part.open(); }))
                co_return false;
        }
        co_return true;
    }

    void begin()
    {
        for (auto &lane : this->lanes) {
            spawn(
                this->executor, "record " + lane->part.name(),
                [self = this->shared_from_this(), raw = lane.get()] { return self->run(*raw); },
                [self = this->shared_from_this()](const std::string &error) {
                    self->events.onFailed(error);
                });
        }
    }

    /// The scheduler has something to record.
    void wake()
    {
        for (auto &lane : this->lanes)
            lane->wake.notify();
    }

    /// A cancellation has a row, to be deleted with its job's.
    void cancelled(const std::string &job)
    {
        this->cancellations.insert(job);
    }

    /// Nothing is written any more, and the scheduler is not touched.
    void stop()
    {
        this->stopped = true;
        this->wake();
    }

private:
    static constexpr auto gather = std::chrono::milliseconds(15);
    static constexpr auto tick = std::chrono::milliseconds(200);
    static constexpr auto retryPause = std::chrono::milliseconds(50);
    static constexpr std::size_t mostRows = 30; // of a write: each takes up to three entries

    /// The writes to one part.
    struct Lane
    {
        Lane(Store &store, const std::string &part, std::int64_t fence,
             const http::asio::any_io_executor &executor)
            : part(store, part, fence)
            , wake(executor)
        {}

        FencedPart<Store> part;
        Wake wake;
    };

    /// Repeats a write until it is done; false if this leader is deposed or stopped.
    template<typename Write>
    Awaitable<bool> until(Write write)
    {
        while (!this->stopped) {
            const auto result = co_await write();
            if (this->stopped)
                break;
            if (result == WriteResult::Written)
                co_return true;
            if (result == WriteResult::Deposed) {
                this->events.onDeposed("a newer leader holds the jobs");
                break;
            }
            co_await pause(retryPause);
        }
        co_return false;
    }

    Awaitable<void> run(Lane &lane)
    {
        while (!this->stopped) {
            co_await lane.wake.wait(tick);
            co_await pause(gather);
            if (this->stopped)
                co_return;
            const auto rows = this->scheduler.takeDirty(
                mostRows, [&](const std::string &job) { return partOf(job) == lane.part.name(); });
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
            if (!co_await this->until([&] { return lane.part.write(puts, deletes); }))
                co_return;
            for (const auto &row : rows) {
                this->scheduler.recorded(row);
                if (row.final)
                    this->cancellations.erase(row.id);
            }
            this->events.onRecorded();
            if (this->scheduler.hasDirty())
                lane.wake.notify();
        }
    }

    http::asio::any_io_executor executor;
    scheduling::Scheduler &scheduler; // not touched once stopped
    Events events;
    std::vector<std::unique_ptr<Lane>> lanes; // one for each part
    std::set<std::string> cancellations; // those that still have a row
    bool stopped = false;
};

} // namespace sassafrasferry::coordination
