// Runs coroutines in tests.
#pragma once

#include <sassafrasferry/http/types.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <optional>
#include <stdexcept>

namespace sassafrasferry::fakes {

/// Runs a coroutine until it has ended, and gives its result. `context` may be used by objects
/// that the coroutine waits for.
template<typename T>
T run(boost::asio::io_context &context, http::Awaitable<T> awaitable)
{
    std::optional<T> result;
    std::exception_ptr failure;
    boost::asio::co_spawn(context, std::move(awaitable),
                          [&](std::exception_ptr exception, T value) {
                              failure = exception;
                              result = std::move(value);
                              context.stop();
                          });
    context.restart();
    context.run();
    if (failure)
        std::rethrow_exception(failure);
    if (!result)
        throw std::logic_error("the coroutine did not end");
    return std::move(*result);
}

} // namespace sassafrasferry::fakes
