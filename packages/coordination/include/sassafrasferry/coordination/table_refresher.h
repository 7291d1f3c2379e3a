// Brings a followed table up to date for requests that need newer rows than the feed has brought.
#pragma once

#include <sassafrasferry/coordination/table_follower.h>

namespace sassafrasferry::coordination {

/// How long a request may wait for newer rows.
struct CoverLimits
{
    Duration silence; ///< for a store of which no rows arrive
    Instant latest; ///< for rows that arrive slowly
};

/// Asks for the changes of a table on demand. Requests share a read that began late enough for all
/// of them, and wait for rows that are arriving instead of asking for them again.
template<store::PartStore Store>
class TableRefresher : public std::enable_shared_from_this<TableRefresher<Store>>
{
public:
    TableRefresher(http::asio::any_io_executor executor,
                   std::shared_ptr<TableFollower<Store>> follower)
        : executor(std::move(executor))
        , follower(std::move(follower))
    {}

    /// Returns whether all changes that the store acknowledged before `moment` are known, after
    /// asking for them if necessary.
    ///
    /// While the store does not answer, a read is still begun each `maxReadTime`, and only the
    /// requests of the first `limits.silence` wait. If the feed alone is silent, a scan of the
    /// table takes its place. Rows that will not have arrived by `limits.latest` are not waited
    /// for.
    Awaitable<bool> cover(Instant moment, CoverLimits limits)
    {
        for (;;) {
            if (this->follower->coveredUntil() >= moment)
                co_return true;
            const auto now = bootNow();
            auto until = limits.latest;
            auto wakeAt = Instant::max();
            if (const auto arrival = this->follower->arrival(now)) {
                if (arrival->expectedEnd(now) > limits.latest)
                    co_return false;
                until = std::min(until, arrival->silentAfter());
            } else {
                const auto read = this->readFor(moment, now);
                if (read->state == ReadState::Failed)
                    co_return false;
                until = std::min(until, read->silentSince + limits.silence);
                wakeAt = this->hedge(read, now);
            }
            if (now >= until)
                co_return false;
            co_await this->follower->awaitRead(std::min(until, wakeAt));
        }
    }

private:
    // A read without an answer for this long may be lost, so that another one is begun beside it.
    static constexpr Duration maxReadTime = std::chrono::milliseconds(400);

    enum class ReadState {
        Open,
        Over, ///< it succeeded, or rows that arrived for another reader took its place
        Failed,
    };

    struct Read
    {
        Instant begunAt{};
        Instant silentSince{}; // begin of the first of the consecutive reads that brought nothing
        ReadState state = ReadState::Open;
        bool hasScan = false; // the table is scanned beside the call of the feed
    };

    /// The read that a request waits for. It begins at `moment` or later, unless an earlier one is
    /// still open, after which the next one begins.
    std::shared_ptr<Read> readFor(Instant moment, Instant now)
    {
        const auto &read = this->latest;
        const bool isRecent = read && now - read->begunAt < maxReadTime;
        if (isRecent && read->state == ReadState::Open)
            return read;
        if (isRecent && read->state == ReadState::Failed && read->begunAt >= moment)
            return read;
        const bool isUnanswered = read && read->state != ReadState::Over
                                  && this->follower->coveredUntil() < read->silentSince;
        this->beginRead(now, isUnanswered ? read->silentSince : now);
        return this->latest;
    }

    /// Scans the table beside a call of the feed that stays without an answer: the feed alone may
    /// be silent. Returns when that is due; never if it has been done or does not apply.
    Instant hedge(const std::shared_ptr<Read> &read, Instant now)
    {
        if (read->hasScan || !this->follower->hasVersion())
            return Instant::max();
        const auto due = read->begunAt + this->follower->scanDelay();
        if (now < due)
            return due;
        read->hasScan = true;
        spawn(this->executor, "scan",
              [self = this->shared_from_this(), read] { return self->scan(read); });
        return Instant::max();
    }

    Awaitable<void> scan(std::shared_ptr<Read> read)
    {
        const bool isRead = co_await this->follower->refresh();
        if (isRead)
            this->end(*read, ReadOutcome::Read);
    }

    void beginRead(Instant now, Instant silentSince)
    {
        this->latest = std::make_shared<Read>(Read{now, silentSince, ReadState::Open, false});
        spawn(
            this->executor, "refresh",
            [self = this->shared_from_this(), read = this->latest] { return self->run(read); },
            [self = this->shared_from_this(), read = this->latest](const std::string &) {
                self->end(*read, ReadOutcome::Failed);
            });
    }

    Awaitable<void> run(std::shared_ptr<Read> read)
    {
        const auto outcome = co_await this->follower->readChanges();
        if (outcome == ReadOutcome::Failed && this->follower->hasVersion() && !read->hasScan) {
            read->hasScan = true;
            const bool isRead = co_await this->follower->refresh();
            this->end(*read, isRead ? ReadOutcome::Read : ReadOutcome::Failed);
            co_return;
        }
        this->end(*read, outcome);
    }

    void end(Read &read, ReadOutcome outcome)
    {
        read.state = outcome == ReadOutcome::Failed ? ReadState::Failed : ReadState::Over;
        this->follower->wakeReaders();
    }

    http::asio::any_io_executor executor;
    std::shared_ptr<TableFollower<Store>> follower;
    std::shared_ptr<Read> latest; // null before the first
};

} // namespace sassafrasferry::coordination
