// Tells an answer that was lost from one that is slow.
#pragma once

#include <sassafrasferry/http/types.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <exception>
#include <memory>
#include <optional>

namespace sassafrasferry::store {

/// The answer of `call`, or nothing once it must be taken for lost.
///
/// Where answers get lost, a wait that suits the slowest store holds up everything behind the call:
/// callers' jobs, and the renewal of the lease. A shorter wait would repeat calls to a store that
/// is only slow, which then has twice the work. So after `suspicion` the store is asked something
/// that it answers after the call: once `probe` is true, the call's answer is not coming.
///
/// The call goes on until its own end; its late answer is dropped.
template<typename Call, typename Probe>
auto answerUnlessLost(http::asio::any_io_executor executor, Call call, Probe probe,
                      std::chrono::milliseconds suspicion)
    -> http::Awaitable<std::optional<typename decltype(call())::value_type>>
{
    using Answer = typename decltype(call())::value_type;
    struct State
    {
        explicit State(const http::asio::any_io_executor &executor)
            : timer(executor)
        {}

        std::optional<Answer> answer;
        std::exception_ptr failure;
        bool isOver = false;
        http::asio::steady_timer timer;
    };
    auto state = std::make_shared<State>(executor);
    http::asio::co_spawn(executor, std::move(call),
                         [state](std::exception_ptr failure, Answer answer) {
                             state->isOver = true;
                             state->failure = failure;
                             state->answer = std::move(answer);
                             state->timer.cancel();
                         });
    boost::system::error_code ignored;
    state->timer.expires_after(suspicion);
    co_await state->timer.async_wait(
        http::asio::redirect_error(http::asio::use_awaitable, ignored));
    bool isLost = false;
    if (!state->isOver)
        isLost = co_await probe();
    if (!state->isOver && !isLost) {
        state->timer.expires_at(std::chrono::steady_clock::time_point::max());
        co_await state->timer.async_wait(
            http::asio::redirect_error(http::asio::use_awaitable, ignored));
    }
    if (state->failure)
        std::rethrow_exception(state->failure);
    co_return std::move(state->answer);
}

} // namespace sassafrasferry::store
