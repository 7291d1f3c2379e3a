// Starts detached coroutines and reports their exceptions.
#pragma once

#include <sassafrasferry/coordination/timing.h>

#include <exception>
#include <functional>
#include <string>
#include <string_view>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// Receives the message of the exception that ended a coroutine.
using OnFailure = std::function<void(const std::string &error)>;

/// The message of an exception.
inline std::string describe(const std::exception_ptr &failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "not a standard exception";
    }
}

/// Starts a detached coroutine. An exception is logged and passed to `onFailure`.
///
/// Asio drops the exception of a detached coroutine. A leader whose planning loop ended that way
/// would renew its lease forever without serving anyone. With `onFailure` its owner can step down
/// in favour of another entry VM.
template<typename Body>
void spawn(const http::asio::any_io_executor &executor, std::string_view name, Body body,
           OnFailure onFailure = {})
{
    http::asio::co_spawn(
        executor, std::move(body),
        [name = std::string(name), onFailure = std::move(onFailure)](std::exception_ptr failure) {
            if (!failure)
                return;
            const auto error = describe(failure);
            LOG(ERROR) << "event=coroutine-failed name=" << name << " error=\"" << error << '"';
            if (onFailure)
                onFailure(error);
        });
}

/// Runs a loop and restarts it after each exception. For loops that no other process could take
/// over.
template<typename Body>
Awaitable<void> restarted(std::string name, Body body)
{
    static constexpr auto restartPause = std::chrono::milliseconds(100);
    for (;;) {
        std::exception_ptr failure;
        try {
            co_await body();
        } catch (...) {
            failure = std::current_exception();
        }
        if (!failure)
            co_return;
        LOG(ERROR) << "event=loop-restarted name=" << name << " error=\"" << describe(failure)
                   << '"';
        co_await pause(restartPause);
    }
}

} // namespace sassafrasferry::coordination
