// Runs calls side by side and waits for all of them.
#pragma once

#include <sassafrasferry/coordination/timing.h>

#include <sassafrasferry/http/await_callback.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>

#include <cstddef>
#include <exception>
#include <memory>

namespace sassafrasferry::coordination {

/// Awaits `call(0)` to `call(count - 1)` side by side; true if all of them return true. Throws the
/// exception of one that failed, after all have ended.
template<typename Call>
Awaitable<bool> allSucceed(std::size_t count, Call call)
{
    struct State
    {
        std::size_t left = 0;
        bool succeeded = true;
        std::exception_ptr failure;
    };
    if (count == 0)
        co_return true;
    const auto executor = co_await http::asio::this_coro::executor;
    auto state = std::make_shared<State>();
    state->left = count;
    co_await http::awaitCallback<bool>([&](auto done) {
        for (std::size_t i = 0; i < count; ++i) {
            http::asio::co_spawn(
                executor, [&call, i] { return call(i); },
                [state, done](std::exception_ptr failure, bool succeeded) {
                    if (failure)
                        state->failure = failure;
                    state->succeeded = state->succeeded && succeeded;
                    if (--state->left == 0)
                        done(true);
                });
        }
    });
    if (state->failure)
        std::rethrow_exception(state->failure);
    co_return state->succeeded;
}

} // namespace sassafrasferry::coordination
