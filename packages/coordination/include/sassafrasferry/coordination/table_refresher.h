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
    /// requests of the first `limits.silence` wait. Rows that will not have arrived by
    /// `limits.latest` are not waited for.
    Awaitable<bool> cover(Instant moment, CoverLimits limits)
    {
        for (;;) {
            if (this->follower->coveredUntil() >= moment)
                co_return true;
            const auto now = bootNow();
            auto until = limits.latest;
            if (const auto arrival = this->follower->arrival(now)) {
                if (arrival->expectedEnd(now) > limits.latest)
                    co_return false;
                until = std::min(until, arrival->silentAfter());
            } else {
                const auto read = this->readFor(moment, now);
                if (read->state == ReadState::Failed)
                    co_return false;
                until = std::min(until, read->silentSince + limits.silence);
            }
            if (now >= until)
                co_return false;
            co_await this->follower->awaitRead(until);
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

    void beginRead(Instant now, Instant silentSince)
    {
        this->latest = std::make_shared<Read>(Read{now, silentSince, ReadState::Open});
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
