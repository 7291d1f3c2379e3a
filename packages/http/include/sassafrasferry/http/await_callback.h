// Awaiting a callback that may come from another thread.
#pragma once

#include <sassafrasferry/http/types.h>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>

namespace sassafrasferry::http {

/// Calls `start(done)` and suspends until `done(value)` has been called, from whatever thread. The
/// coroutine resumes on its own executor.
template<typename T, typename Start>
Awaitable<T> awaitCallback(Start start)
{
    return asio::async_initiate<const asio::use_awaitable_t<>, void(T)>(
        [](auto handler, Start start) {
            using Handler = std::decay_t<decltype(handler)>;
            auto shared = std::make_shared<Handler>(std::move(handler));
            start([shared](T value) {
                auto executor = asio::get_associated_executor(*shared);
                asio::post(executor, [shared, value = std::move(value)]() mutable {
                    (*shared)(std::move(value));
                });
            });
        },
        asio::use_awaitable, std::move(start));
}

} // namespace sassafrasferry::http
