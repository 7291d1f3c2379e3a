// Cancellable sleep for the loops of the control thread.
#pragma once

#include <sassafrasferry/http/await_callback.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace sassafrasferry::entry {

/// Waits until the duration has elapsed or the timer is cancelled.
inline http::Awaitable<void> sleepFor(boost::asio::steady_timer &timer,
                                      std::chrono::milliseconds duration)
{
    boost::system::error_code ignored;
    timer.expires_after(duration);
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace sassafrasferry::entry
