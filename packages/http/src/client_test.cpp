// What the HTTP client makes of upstreams that close, break off, send late or send too much.
#include "precompiled.h"

#include <sassafrasferry/http/client.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::http;
using namespace std::chrono_literals;

namespace {

struct Case
{
    std::string title;
    std::string bytes; // what the upstream sends
    ExchangeState expected;
};

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// An upstream that answers each connection with the given bytes, then closes it.
struct Upstream
{
    asio::io_context context;
    Tcp::acceptor acceptor{context, {asio::ip::make_address("127.0.0.1"), 0}};
    std::size_t accepted = 0;

    sassafrasferry::model::Endpoint endpoint() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    Awaitable<void> serve(std::string bytes, bool keepsOpen)
    {
        for (;;) {
            auto socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            ++this->accepted;
            beast::flat_buffer buffer;
            beast::error_code error;
            auto token = asio::redirect_error(asio::use_awaitable, error);
            do {
                Request request;
                co_await beast::http::async_read(socket, buffer, request, token);
                if (!error)
                    co_await asio::async_write(socket, asio::buffer(bytes), token);
            } while (keepsOpen && !error);
        }
    }
};

Request get()
{
    return Request{Verb::get, "/", 11};
}

} // namespace

TEST_CASE("only a whole answer counts as one")
{
    // The caller must get the whole answer or an error. The upstream dies at some point of its
    // answer; without a length, a broken answer looks like a whole one.
    const auto row = GENERATE(values<Case>({
        {"whole", whole, ExchangeState::Answered},
        {"nothing", "", ExchangeState::Broken},
        {"half a header", "HTTP/1.1 200 OK\r\nConte", ExchangeState::Broken},
        {"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", ExchangeState::Broken},
        {"no length", "HTTP/1.1 200 OK\r\n\r\nok", ExchangeState::Broken},
        {"half a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
         ExchangeState::Broken},
        {"not HTTP", "hello\r\n\r\n", ExchangeState::Broken},
    }));
    INFO(row.title);
    Upstream upstream;
    asio::co_spawn(upstream.context, upstream.serve(row.bytes, false), asio::detached);
    Client client(upstream.context.get_executor(), upstream.endpoint(), {});
    auto exchange = std::make_shared<Exchange>();
    asio::co_spawn(
        upstream.context,
        [&]() -> Awaitable<void> {
            *exchange = co_await client.exchange(get(), 10s);
            upstream.context.stop();
        },
        asio::detached);
    upstream.context.run();
    CHECK(exchange->state == row.expected);
}

TEST_CASE("a closed port means that nothing was sent")
{
    Upstream upstream;
    const auto endpoint = upstream.endpoint();
    upstream.acceptor.close();
    Client client(upstream.context.get_executor(), endpoint, {});
    Exchange exchange;
    asio::co_spawn(
        upstream.context,
        [&]() -> Awaitable<void> { exchange = co_await client.exchange(get(), 10s); },
        asio::detached);
    upstream.context.run();
    CHECK(exchange.state == ExchangeState::NotSent);
}

TEST_CASE("a connection with an answer too many is not used again")
{
    // The upstream sends an answer twice. If the connection were used again, the next caller
    // would get the answer that a stranger is owed.
    Upstream upstream;
    asio::co_spawn(upstream.context, upstream.serve(whole + whole, true), asio::detached);
    Client client(upstream.context.get_executor(), upstream.endpoint(), {});
    std::size_t answered = 0;
    asio::co_spawn(
        upstream.context,
        [&]() -> Awaitable<void> {
            for (int i = 0; i < 3; ++i) {
                const auto exchange = co_await client.exchange(get(), 10s);
                answered += exchange.state == ExchangeState::Answered ? 1 : 0;
            }
            upstream.context.stop();
        },
        asio::detached);
    upstream.context.run();
    CHECK(answered == 3);
    CHECK(upstream.accepted == 3);
}

TEST_CASE("a quiet connection is used again")
{
    Upstream upstream;
    asio::co_spawn(upstream.context, upstream.serve(whole, true), asio::detached);
    Client client(upstream.context.get_executor(), upstream.endpoint(), {});
    std::vector<bool> isReused;
    asio::co_spawn(
        upstream.context,
        [&]() -> Awaitable<void> {
            for (int i = 0; i < 3; ++i) {
                const auto exchange = co_await client.exchange(get(), 10s);
                isReused.push_back(exchange.connection.isReused);
            }
            upstream.context.stop();
        },
        asio::detached);
    upstream.context.run();
    CHECK(isReused == std::vector{false, true, true});
    CHECK(upstream.accepted == 1);
    CHECK(client.idleCount() == 1);
}

// Guards against answers that a busy event loop takes seconds to read: other handlers run between
// two reads, so the number of reads must not grow by hundreds with the size of the answer.
TEST_CASE("A large answer that has arrived is read in few pieces")
{
    struct Row
    {
        std::size_t body; // bytes; the answer fits into one segment
        std::size_t reads; // at the most
    };
    const auto row = GENERATE(Row{100, 1}, Row{4000, 2}, Row{40000, 2});
    CAPTURE(row.body);
    Upstream upstream;
    const auto answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(row.body)
                        + "\r\n\r\n" + std::string(row.body, 'x');
    asio::co_spawn(upstream.context, upstream.serve(answer, true), asio::detached);
    Client client(upstream.context.get_executor(), upstream.endpoint(), {});
    Exchange exchange;
    asio::co_spawn(
        upstream.context,
        [&]() -> Awaitable<void> {
            exchange = co_await client.exchange(get(), 10s);
            upstream.context.stop();
        },
        asio::detached);
    upstream.context.run();
    REQUIRE(exchange.state == ExchangeState::Answered);
    CHECK(exchange.response.body().size() == row.body);
    CHECK(exchange.reception.reads <= row.reads);
}

// Guards against waiting for one silent connection after the other: all open connections have gone
// silent without a reset, while new ones are served.
TEST_CASE("After an unanswered request no connection that was idle meanwhile is used")
{
    Upstream upstream;
    std::vector<Tcp::socket> silent; // open, and never answered again
    Client client(upstream.context.get_executor(), upstream.endpoint(), {});
    const std::size_t connections = 3;
    std::vector<ExchangeState> states;
    asio::co_spawn(
        upstream.context,
        [&]() -> Awaitable<void> {
            for (std::size_t i = 0; i < connections; ++i) {
                auto socket = co_await upstream.acceptor.async_accept(asio::use_awaitable);
                beast::flat_buffer buffer;
                Request request;
                co_await beast::http::async_read(socket, buffer, request, asio::use_awaitable);
                silent.push_back(std::move(socket));
            }
            for (auto &socket : silent)
                co_await asio::async_write(socket, asio::buffer(whole), asio::use_awaitable);
            co_await upstream.serve(whole, true);
        },
        asio::detached);
    std::size_t open = connections;
    for (std::size_t i = 0; i < connections; ++i) {
        asio::co_spawn(
            upstream.context,
            [&]() -> Awaitable<void> {
                co_await client.exchange(get(), 10s);
                if (--open > 0)
                    co_return;
                for (int j = 0; j < 2; ++j) {
                    const auto exchange = co_await client.exchange(get(), 2s);
                    states.push_back(exchange.state);
                }
                upstream.context.stop();
            },
            asio::detached);
    }
    upstream.context.run();
    const std::vector expected{ExchangeState::Broken, ExchangeState::Answered};
    CHECK(states == expected);
}
