// An HTTP client of one endpoint, with connections kept for reuse. For use on one executor.
#pragma once

#include <sassafrasferry/http/types.h>
#include <sassafrasferry/model/settings.h>

#include <absl/status/status.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace sassafrasferry::http {

/// How far an exchange got.
enum class ExchangeState {
    NotSent, ///< no byte of the request left: the other side cannot have seen it
    Broken, ///< the request may have been seen, and there is no whole answer
    Answered, ///< there is a whole answer
};

/// How an answer was received.
struct AnswerReception
{
    std::chrono::steady_clock::duration toFirstRead{}; ///< from the call to the first bytes
    std::chrono::steady_clock::duration toEnd{}; ///< from the call to the whole answer
    std::size_t reads = 0; ///< reads of the socket; between two of them other handlers may run
    std::size_t bytes = 0; ///< header and body
};

/// The connection that carried an exchange.
struct ConnectionUse
{
    bool isReused = false; ///< it had carried earlier exchanges
    std::chrono::steady_clock::duration idle{}; ///< if reused: time since its last answer
};

/// What became of one request.
struct Exchange
{
    ExchangeState state = ExchangeState::NotSent;
    absl::Status status; ///< the error, if not answered
    Response response; ///< whole, if answered
    AnswerReception reception; ///< of the bytes that arrived
    ConnectionUse connection;
};

/// Bytes that a client has moved, headers included.
struct ClientTraffic
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// How much of an answer has arrived.
struct AnswerProgress
{
    std::size_t bytes = 0; ///< header and body
    std::optional<std::uint64_t> bodyLength; ///< once the header has arrived, if it names one
};

/// Lets the owner of an exchange give it up and observe its answer from the same executor.
class Abort
{
public:
    /// Closes the connection of the exchange, which then ends as not sent or broken.
    void abort();
    bool aborted() const;

    /// Called after each read of the answer.
    std::function<void(const AnswerProgress &progress)> onProgress;

private:
    friend class Client;
    std::function<void()> close;
    bool requested = false;
};

/// How long an exchange may take.
struct ExchangeLimits
{
    /// From the call to the whole answer or, if `idle` is set, to its first bytes.
    std::chrono::milliseconds answer;
    /// Between two reads of the answer. An answer of any length is read as long as bytes arrive.
    std::optional<std::chrono::milliseconds> idle;
};

/// A client of one endpoint.
class Client
{
public:
    struct Options
    {
        std::chrono::milliseconds connectTimeout{1000};
        std::size_t idleConnections = 4; ///< kept for reuse at the most
        std::uint64_t answerBytes = 64ULL * 1024 * 1024; ///< a longer answer breaks the exchange
    };

    Client(asio::any_io_executor executor, model::Endpoint endpoint, Options options);

    /// Sends a request and awaits its whole answer. A connection that died with an answer owed is
    /// never used again, so a late answer can reach nobody else.
    Awaitable<Exchange> exchange(Request request, std::chrono::milliseconds timeout,
                                 std::shared_ptr<Abort> abort = nullptr);
    Awaitable<Exchange> exchange(Request request, ExchangeLimits limits,
                                 std::shared_ptr<Abort> abort = nullptr);

    std::size_t idleCount() const;
    ClientTraffic traffic() const;

private:
    using Stream = beast::tcp_stream;

    struct Idle
    {
        std::unique_ptr<Stream> stream; // no answer is owed on it
        std::chrono::steady_clock::time_point since{};
    };

    using Parser = beast::http::response_parser<beast::http::string_body>;

    /// The youngest idle connection that is fit for use; without a stream if there is none.
    Idle takeIdle();
    /// Closes the connections that have been idle since `time` or longer.
    void dropIdleSince(std::chrono::steady_clock::time_point time);
    /// Reads one answer. `called`: when the exchange began.
    Awaitable<beast::error_code> receive(Stream &stream, beast::flat_buffer &buffer, Parser &parser,
                                         AnswerReception &reception,
                                         std::chrono::steady_clock::time_point called,
                                         ExchangeLimits limits, std::shared_ptr<Abort> abort);

    asio::any_io_executor executor;
    model::Endpoint address;
    Options options;
    ClientTraffic moved;
    std::vector<Idle> idle;
};

} // namespace sassafrasferry::http
