// The HTTP client.
#include "precompiled.h"

#include <sassafrasferry/http/client.h>

#include <algorithm>
#include <cerrno>

#include <sys/socket.h>

namespace sassafrasferry::http {

namespace {

using Clock = std::chrono::steady_clock;

absl::Status statusOf(const beast::error_code &error)
{
    const auto message = error.message();
    if (error == beast::error::timeout)
        return absl::DeadlineExceededError(message);
    return absl::UnavailableError(message);
}

// A connection on which the other side has closed or sent something unasked is not fit for use:
// the request would be lost, or be paired with an answer that is not its own.
bool isQuiet(beast::tcp_stream &stream)
{
    char byte = 0;
    const auto received =
        ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// The other side has hardly closed a connection that it answered on this lately; the look costs a
// system call for each request.
constexpr auto freshness = std::chrono::milliseconds(200);

// Bytes of one read after the first. A busy event loop runs thousands of other handlers between two
// reads, so small reads would delay a large answer by seconds.
constexpr std::size_t readSize = 64UL * 1024;

template<typename Parser>
std::optional<std::uint64_t> announcedLength(const Parser &parser)
{
    const auto length =
        parser.is_header_done() ? parser.content_length() : boost::optional<std::uint64_t>();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

} // namespace

void Abort::abort()
{
    this->requested = true;
    if (this->close)
        this->close();
}

bool Abort::aborted() const
{
    return this->requested;
}

Client::Client(asio::any_io_executor executor, model::Endpoint endpoint, Options options)
    : executor(std::move(executor))
    , address(std::move(endpoint))
    , options(options)
{}

std::size_t Client::idleCount() const
{
    return this->idle.size();
}

ClientTraffic Client::traffic() const
{
    return this->moved;
}

Client::Idle Client::takeIdle()
{
    while (!this->idle.empty()) {
        auto entry = std::move(this->idle.back());
        this->idle.pop_back();
        if (Clock::now() - entry.since < freshness || isQuiet(*entry.stream))
            return entry;
    }
    return {};
}

void Client::dropIdleSince(Clock::time_point time)
{
    std::erase_if(this->idle, [time](const Idle &entry) { return entry.since <= time; });
}

Awaitable<beast::error_code> Client::receive(Stream &stream, beast::flat_buffer &buffer,
                                             Parser &parser, AnswerReception &reception,
                                             Clock::time_point called, ExchangeLimits limits,
                                             std::shared_ptr<Abort> abort)
{
    beast::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    parser.eager(true);
    while (!error && !parser.is_done()) {
        const auto bytes = co_await beast::http::async_read_some(stream, buffer, parser, token);
        reception.bytes += bytes;
        if (++reception.reads == 1)
            reception.toFirstRead = Clock::now() - called;
        if (error)
            break;
        if (limits.idle)
            stream.expires_after(*limits.idle);
        if (abort && abort->onProgress)
            abort->onProgress({reception.bytes, announcedLength(parser)});
        // Not before the first bytes: a connection may wait for seconds until they arrive.
        if (!parser.is_done())
            buffer.reserve(readSize);
    }
    reception.toEnd = Clock::now() - called;
    this->moved.received += reception.bytes;
    co_return error;
}

Awaitable<Exchange> Client::exchange(Request request, std::chrono::milliseconds timeout,
                                     std::shared_ptr<Abort> abort)
{
    return this->exchange(std::move(request), ExchangeLimits{timeout, std::nullopt},
                          std::move(abort));
}

Awaitable<Exchange> Client::exchange(Request request, ExchangeLimits limits,
                                     std::shared_ptr<Abort> abort)
{
    Exchange result;
    beast::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    const auto called = Clock::now();
    const auto deadline = called + limits.answer;
    auto taken = this->takeIdle();
    auto stream = std::move(taken.stream);
    const bool isFresh = !stream;
    if (isFresh)
        stream = std::make_unique<Stream>(this->executor);
    else
        result.connection = {true, called - taken.since};
    if (abort) {
        if (abort->aborted()) {
            result.status = absl::CancelledError("given up");
            co_return result;
        }
        // Not the stream's own cancel: the socket must be closed, so that no answer comes late.
        abort->close = [raw = stream.get()] {
            raw->close();
        };
    }
    if (isFresh) {
        beast::error_code ignored;
        const Tcp::endpoint target(asio::ip::make_address(this->address.host, ignored),
                                   this->address.port);
        stream->expires_at(std::min(deadline, Clock::now() + this->options.connectTimeout));
        co_await stream->async_connect(target, token);
        if (!error)
            stream->socket().set_option(Tcp::no_delay(true), ignored);
    }
    if (!error) {
        stream->expires_at(deadline);
        result.state = ExchangeState::Broken;
        request.set(Field::host, this->address.host);
        request.keep_alive(true);
        this->moved.sent += co_await beast::http::async_write(*stream, request, token);
    }
    beast::flat_buffer buffer;
    Parser parser;
    parser.body_limit(this->options.answerBytes);
    if (!error)
        error = co_await this->receive(*stream, buffer, parser, result.reception, called, limits,
                                       abort);
    if (abort)
        abort->close = nullptr;
    if (error) {
        result.status = statusOf(error);
        // A network fault that silences one connection may have silenced all that were open then.
        if (error == beast::error::timeout && result.reception.bytes == 0)
            this->dropIdleSince(called);
        co_return result;
    }
    // An answer whose end is only marked by the end of the connection cannot be told from one
    // that broke off, so it does not count as whole.
    if (parser.get().need_eof() && !parser.chunked() && !parser.content_length()) {
        result.status = absl::DataLossError("answer without a length");
        co_return result;
    }
    const bool reusable = parser.get().keep_alive() && buffer.size() == 0;
    result.response = parser.release();
    result.state = ExchangeState::Answered;
    if (reusable && this->idle.size() < this->options.idleConnections) {
        stream->expires_never();
        this->idle.push_back({std::move(stream), Clock::now()});
    }
    co_return result;
}

} // namespace sassafrasferry::http
