// Runs a coroutine to completion in a test.
#pragma once

#include <sassafrasferry/http/types.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <optional>
#include <stdexcept>

namespace sassafrasferry::fakes {

/// Runs a coroutine to completion and returns its result or rethrows its exception. Objects that
/// the coroutine awaits may use `context`.
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
        throw std::logic_error("the coroutine did not complete");
    return std::move(*result);
}

} // namespace sassafrasferry::fakes
