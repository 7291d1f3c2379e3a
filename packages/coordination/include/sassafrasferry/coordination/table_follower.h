// Follows a table of the store: all rows first, then each change as it comes.
#pragma once

#include <sassafrasferry/coordination/spawn.h>
#include <sassafrasferry/store/part_rows.h>

#include <functional>
#include <memory>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// Which table, and how eagerly.
struct FollowOptions
{
    std::string table;
    std::vector<std::string> parts; ///< scanned at the start and after a loss of history
    std::chrono::milliseconds wait{2500}; ///< a feed's answer comes this late if nothing changes
    std::chrono::milliseconds pause{0}; ///< between two reads of the feed
};

/// Follows until `stop` is called or the object is gone.
template<store::PartStore Store>
class TableFollower : public std::enable_shared_from_this<TableFollower<Store>>
{
public:
    /// `isWhole`: the rows are all that the table holds.
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

    /// When the store last answered; the epoch if it never did.
    Instant lastAnswer() const
    {
        return this->answeredAt;
    }

    /// Reads the whole table now.
    Awaitable<bool> refresh()
    {
        std::vector<store::PartRow> all;
        std::int64_t version = store::absent;
        for (const auto &part : this->options.parts) {
            const store::PartRange range{this->options.table, part, "", ""};
            auto page = co_await this->store.scan(range);
            if (!page.ok())
                co_return false;
            if (version == store::absent || page->version < version)
                version = page->version;
            std::move(page->rows.begin(), page->rows.end(), std::back_inserter(all));
        }
        this->answeredAt = bootNow();
        // A feed that is ahead of this read must not be set back.
        if (this->version == store::absent)
            this->version = version;
        if (!this->stopped)
            this->onRows(all, true);
        co_return true;
    }

    /// Reads the whole table as soon as the store answers; false if it was stopped before.
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
                    this->noteReach(false);
                    co_await pause(retryPause);
                }
                continue;
            }
            auto page =
                co_await this->store.feed(this->options.table, this->version, this->options.wait);
            if (this->stopped)
                co_return;
            this->noteReach(page.ok());
            if (!page.ok()) {
                co_await pause(retryPause);
                continue;
            }
            this->answeredAt = bootNow();
            if (page->historyLost) {
                LOG(WARNING) << "event=history-lost table=" << this->options.table
                             << " version=" << this->version;
                this->version = store::absent;
                continue;
            }
            this->version = std::max(this->version, page->version);
            if (!page->rows.empty())
                this->onRows(page->rows, false);
            if (this->options.pause.count() > 0)
                co_await pause(this->options.pause);
        }
    }

    void noteReach(bool reached)
    {
        if (reached == this->reachable)
            return;
        this->reachable = reached;
        LOG(WARNING) << "event=store-" << (reached ? "regained" : "lost")
                     << " table=" << this->options.table << " version=" << this->version;
    }

    Store &store;
    FollowOptions options;
    OnRows onRows;
    std::int64_t version = store::absent; // up to which all changes were handed on
    Instant answeredAt{};
    bool reachable = true;
    bool stopped = false;
};

} // namespace sassafrasferry::coordination
