// The clock and timers of the coroutines that do I/O.
#pragma once

#include <sassafrasferry/http/types.h>
#include <sassafrasferry/policy/time.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

#include <ctime>
#include <memory>

namespace sassafrasferry::coordination {

using http::Awaitable;
using policy::Duration;
using policy::Instant;

/// The time since the machine started, including the time during which it was suspended. The steady
/// clock excludes suspension, so a leader suspended beyond its lease would not notice it.
inline Instant bootNow()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

/// Suspends the coroutine for the duration.
inline Awaitable<void> pause(Duration duration)
{
    co_await http::asio::async_initiate<const http::asio::use_awaitable_t<>, void()>(
        [duration](auto handler) {
            auto timer = std::make_shared<http::asio::steady_timer>(
                http::asio::get_associated_executor(handler), duration);
            timer->async_wait(
                [timer, handler = std::move(handler)](const boost::system::error_code &) mutable {
                    std::move(handler)();
                });
        },
        http::asio::use_awaitable);
}

/// A timer on which one coroutine waits and which `notify` ends early.
class Wake
{
public:
    explicit Wake(const http::asio::any_io_executor &executor)
        : timer(executor)
    {}

    /// Returns after the duration or a call of `notify`; at once if `notify` was called before.
    Awaitable<void> wait(Duration duration)
    {
        if (!this->notified) {
            this->timer.expires_after(duration);
            boost::system::error_code ignored;
            co_await this->timer.async_wait(
                http::asio::redirect_error(http::asio::use_awaitable, ignored));
        }
        this->notified = false;
    }

    void notify()
    {
        this->notified = true;
        this->timer.cancel();
    }

private:
    http::asio::steady_timer timer;
    bool notified = false;
};

} // namespace sassafrasferry::coordination
