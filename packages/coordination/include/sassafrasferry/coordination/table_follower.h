// Follows a table of the store: reads all rows, then receives each change from the table's feed.
#pragma once

#include <sassafrasferry/coordination/concurrently.h>
#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/store/part_rows.h>

#include <functional>
#include <memory>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// The table to follow and the timing of its feed.
struct FollowOptions
{
    std::string table;
    std::vector<std::string> parts; ///< parts to scan at the start and after the feed lost history
    /// A feed without changes answers after this time, and only then tells that there were none.
    std::chrono::milliseconds wait{0};
    std::chrono::milliseconds pause{0}; ///< delay between two reads of the feed
};

/// Follows the table until `stop` is called.
template<store::PartStore Store>
class TableFollower : public std::enable_shared_from_this<TableFollower<Store>>
{
public:
    /// `isWhole`: the rows are the whole table, not changes from the feed.
    using OnRows = std::function<void(const std::vector<store::PartRow> &rows, bool isWhole)>;

    TableFollower(Store &store, FollowOptions options, OnRows onRows)
        : store(store)
        , options(std::move(options))
        , onRows(std::move(onRows))
    {}

    void begin(const http::asio::any_io_executor &executor)
    {
        spawn(executor, "follow " + this->options.table, [self = this->shared_from_this()] {
            return restarted("follow " + self->options.table, [self] { return self->run(); });
        });
    }

    void stop()
    {
        this->stopped = true;
    }

    /// All changes that the store acknowledged before this moment have been passed to `onRows`:
    /// the time at which the newest answered question was sent; the epoch if none was answered.
    Instant coveredUntil() const
    {
        return this->covered;
    }

    /// All changes up to this version of the store have been passed to `onRows`.
    std::int64_t readVersion() const
    {
        return this->passedOn;
    }

    /// Rows that the feed has brought since the start.
    std::size_t feedRows() const
    {
        return this->fedRows;
    }

    /// Reads the whole table now; false if the store doesn't answer.
    Awaitable<bool> refresh()
    {
        std::vector<store::PartRow> all;
        std::int64_t version = store::absent;
        const auto askedAt = bootNow();
        const auto readPart = [&](std::size_t index) -> Awaitable<bool> {
            const store::PartRange range{this->options.table, this->options.parts[index], "", ""};
            auto page = co_await this->store.scan(range);
            if (!page.ok())
                co_return false;
            if (version == store::absent || page->version < version)
                version = page->version;
            std::move(page->rows.begin(), page->rows.end(), std::back_inserter(all));
            co_return true;
        };
        const bool isRead = co_await allSucceed(this->options.parts.size(), readPart);
        if (!isRead)
            co_return false;
        // A feed that is already past this snapshot must not go back to the snapshot's version.
        if (this->version == store::absent)
            this->version = version;
        this->passedOn = std::max(this->passedOn, version);
        if (!this->stopped)
            this->onRows(all, true);
        this->covered = std::max(this->covered, askedAt);
        co_return true;
    }

    /// Retries `refresh` until the store answers; false if `stop` was called first.
    Awaitable<bool> refreshUntilRead()
    {
        while (!this->stopped) {
            const bool isRead = co_await this->refresh();
            if (isRead)
                break;
            co_await pause(retryPause);
        }
        co_return !this->stopped;
    }

private:
    static constexpr auto retryPause = std::chrono::milliseconds(150);

    Awaitable<void> run()
    {
        while (!this->stopped) {
            if (this->version == store::absent) {
                if (!co_await this->refresh()) {
                    this->logReachability(false);
                    co_await pause(retryPause);
                }
                continue;
            }
            const auto askedAt = bootNow();
            auto page =
                co_await this->store.feed(this->options.table, this->version, this->options.wait);
            if (this->stopped)
                co_return;
            this->logReachability(page.ok());
            if (!page.ok()) {
                co_await pause(retryPause);
                continue;
            }
            if (page->historyLost) {
                LOG(WARNING) << "event=history-lost table=" << this->options.table
                             << " version=" << this->version;
                this->version = store::absent;
                continue;
            }
            this->version = std::max(this->version, page->version);
            this->passedOn = std::max(this->passedOn, this->version);
            this->fedRows += page->rows.size();
            if (!page->rows.empty())
                this->onRows(page->rows, false);
            this->covered = std::max(this->covered, askedAt);
            if (this->options.pause.count() > 0)
                co_await pause(this->options.pause);
        }
    }

    void logReachability(bool reached)
    {
        if (reached == this->isStoreReachable)
            return;
        this->isStoreReachable = reached;
        LOG(WARNING) << "event=store-" << (reached ? "regained" : "lost")
                     << " table=" << this->options.table << " version=" << this->version
                     << " age-ms=" << (bootNow() - this->covered) / std::chrono::milliseconds(1);
    }

    Store &store;
    FollowOptions options;
    OnRows onRows;
    std::int64_t version = store::absent; // where the feed goes on; absent: scan the table first
    std::int64_t passedOn = store::absent; // never decreases, also when the feed's history is lost
    Instant covered{}; // never decreases
    std::size_t fedRows = 0;
    bool isStoreReachable = true;
    bool stopped = false;
};

} // namespace sassafrasferry::coordination
