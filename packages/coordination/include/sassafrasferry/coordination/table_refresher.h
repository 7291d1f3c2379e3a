// Reads a followed table anew for requests that need newer rows than the feed has brought.
#pragma once

#include <sassafrasferry/coordination/table_follower.h>

namespace sassafrasferry::coordination {

/// Reads a table on demand. Requests share a read that began late enough for all of them.
template<store::PartStore Store>
class TableRefresher : public std::enable_shared_from_this<TableRefresher<Store>>
{
public:
    TableRefresher(http::asio::any_io_executor executor,
                   std::shared_ptr<TableFollower<Store>> follower)
        : executor(std::move(executor))
        , follower(std::move(follower))
    {}

    /// Reads the table unless all changes that the store acknowledged before `moment` are known.
    /// Returns whether they are known then.
    ///
    /// Waits at most `patience`. While the store does not answer, a read is still begun that often,
    /// but only the first request waits for it.
    Awaitable<bool> cover(Instant moment)
    {
        if (this->follower->coveredUntil() >= moment)
            co_return true;
        const auto now = bootNow();
        const bool isLateEnough = this->latest && this->latest->begunAt >= moment;
        const bool isOverdue = isLateEnough && now - this->latest->begunAt >= patience;
        if (!isLateEnough || isOverdue)
            this->beginRead(now, isOverdue);
        const auto read = this->latest;
        if (!read->isProbe && !read->isOver)
            co_await read->wait();
        co_return this->follower->coveredUntil() >= moment;
    }

private:
    static constexpr Duration patience = std::chrono::milliseconds(400);

    struct Read
    {
        Read(const http::asio::any_io_executor &executor, Instant begunAt, bool isProbe)
            : begunAt(begunAt)
            , isProbe(isProbe)
            , timer(executor, patience)
        {}

        Awaitable<void> wait()
        {
            boost::system::error_code ignored;
            co_await this->timer.async_wait(
                http::asio::redirect_error(http::asio::use_awaitable, ignored));
        }

        void end()
        {
            this->isOver = true;
            this->timer.cancel();
        }

        Instant begunAt;
        bool isProbe; // the read before it got no answer in time
        bool isOver = false;
        http::asio::steady_timer timer;
    };

    void beginRead(Instant now, bool isProbe)
    {
        this->latest = std::make_shared<Read>(this->executor, now, isProbe);
        spawn(
            this->executor, "refresh",
            [self = this->shared_from_this(), read = this->latest] { return self->run(read); },
            [read = this->latest](const std::string &) { read->end(); });
    }

    Awaitable<void> run(std::shared_ptr<Read> read)
    {
        co_await this->follower->refresh();
        read->end();
    }

    http::asio::any_io_executor executor;
    std::shared_ptr<TableFollower<Store>> follower;
    std::shared_ptr<Read> latest; // null before the first
};

} // namespace sassafrasferry::coordination
