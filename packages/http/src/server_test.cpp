// What callers see who send too much, nonsense, or go away.
#include "precompiled.h"

#include <sassafrasferry/http/client.h>
#include <sassafrasferry/http/json.h>
#include <sassafrasferry/http/server.h>

#include <absl/strings/match.h>

#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>

using namespace sassafrasferry;
using namespace sassafrasferry::http;
using namespace std::chrono_literals;

namespace {

struct Case
{
    std::string title;
    std::string bytes;
    std::string statusLine;
};

model::CallerLimits smallLimits()
{
    model::CallerLimits limits;
    limits.headerBytes = 512;
    limits.bodyBytes = 16;
    return limits;
}

const std::string chunkedPost = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

Awaitable<Response> echo(Request request, std::shared_ptr<Disconnect>)
{
    co_return textResponse(Status::ok, request.body());
}

/// Lowers the number of descriptors that this process may open.
class DescriptorLimit
{
public:
    explicit DescriptorLimit(rlim_t most)
    {
        ::getrlimit(RLIMIT_NOFILE, &this->former);
        const rlimit lowered{most, this->former.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~DescriptorLimit()
    {
        ::setrlimit(RLIMIT_NOFILE, &this->former);
    }
    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    rlimit former{};
};

std::string repeated(std::string_view text, std::size_t times)
{
    std::string result;
    for (std::size_t i = 0; i < times; ++i)
        result += text;
    return result;
}

/// What a server answers to a caller that sends the bytes and leaves its connection open.
std::string answerTo(const std::string &bytes, const model::CallerLimits &limits)
{
    asio::io_context context;
    auto server =
        std::make_shared<Server>(std::vector<Lane>{{context.get_executor(), echo}}, limits);
    const auto endpoint = listenOnLoopback(*server);
    std::string answer;
    asio::co_spawn(
        context,
        [&]() -> Awaitable<void> {
            Tcp::socket socket(context);
            const Tcp::endpoint target(asio::ip::make_address(endpoint.host), endpoint.port);
            co_await socket.async_connect(target, asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
            beast::error_code error;
            co_await asio::async_read(socket, asio::dynamic_buffer(answer),
                                      asio::redirect_error(asio::use_awaitable, error));
            context.stop();
        },
        asio::detached);
    context.run();
    return answer;
}

} // namespace

TEST_CASE("what cannot be read as a request gets a clear answer, and was not run")
{
    const auto row = GENERATE(values<Case>({
        {"sound", "POST / HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
         "HTTP/1.1 200"},
        {"body too large", "POST / HTTP/1.1\r\nContent-Length: 17\r\n\r\n", "HTTP/1.1 413"},
        {"header too large", "GET / HTTP/1.1\r\nX: " + std::string(600, 'a') + "\r\n\r\n",
         "HTTP/1.1 431"},
        {"nonsense", "hello there\r\n\r\n", "HTTP/1.1 400"},
    }));
    INFO(row.title);
    const auto answer = answerTo(row.bytes, smallLimits());
    CHECK_THAT(answer, Catch::StartsWith(row.statusLine));
    if (row.title != "sound")
        CHECK_THAT(answer, Catch::Contains("Outcome: not-run"));
}

// Guards against a process that runs out of memory for bytes that belong to no header and no body.
TEST_CASE("a chunked request without end outside its body is refused")
{
    constexpr std::size_t many = 10000;
    const auto row = GENERATE(values<Case>({
        {"trailer fields", chunkedPost + "0\r\n" + repeated("X: y\r\n", many), "HTTP/1.1 431"},
        {"one trailer line", chunkedPost + "0\r\nX: " + repeated("yyyyyy", many), "HTTP/1.1 431"},
        {"a chunk extension", chunkedPost + "1;" + repeated("x=yyyy", many), "HTTP/1.1 431"},
        {"a trailer within the limit", chunkedPost + "2\r\nhi\r\n0\r\nX: y\r\n\r\n",
         "HTTP/1.1 200"},
    }));
    INFO(row.title);
    auto limits = smallLimits();
    limits.readTimeout = 1s; // a server that reads on ends the connection then
    limits.idleTimeout = 1s;
    const auto answer = answerTo(row.bytes, limits);
    CHECK_THAT(answer, Catch::StartsWith(row.statusLine));
    if (!absl::StartsWith(row.statusLine, "HTTP/1.1 200"))
        CHECK_THAT(answer, Catch::Contains("Outcome: not-run"));
}

// Guards against a process that runs out of memory for bodies whose senders stop short of their
// end.
TEST_CASE("unfinished requests give way where they hold too many bytes")
{
    constexpr std::size_t sent = 16000;
    const auto most =
        GENERATE("POST / HTTP/1.1\r\nContent-Length: 16384\r\n\r\n" + std::string(sent, 'a'),
                 chunkedPost + repeated("1\r\na\r\n", sent),
                 chunkedPost + "4000\r\n" + std::string(sent, 'a'));
    constexpr int crowd = 8;
    auto limits = smallLimits();
    limits.bodyBytes = 16384;
    limits.pendingBytes = 65536;
    limits.readTimeout = 2s; // a server that keeps them closes their connections then
    asio::io_context context;
    auto server =
        std::make_shared<Server>(std::vector<Lane>{{context.get_executor(), echo}}, limits);
    const auto endpoint = listenOnLoopback(*server);
    const Tcp::endpoint target(asio::ip::make_address(endpoint.host), endpoint.port);
    std::vector<Tcp::socket> sockets;
    std::string firstAnswer;
    Exchange ordinary;
    asio::co_spawn(
        context,
        [&]() -> Awaitable<void> {
            const auto most =
                "POST / HTTP/1.1\r\nContent-Length: 16384\r\n\r\n" + std::string(16000, 'a');
            for (int i = 0; i < crowd; ++i) {
                auto &socket = sockets.emplace_back(context);
                co_await socket.async_connect(target, asio::use_awaitable);
                co_await asio::async_write(socket, asio::buffer(most), asio::use_awaitable);
            }
            Client client(context.get_executor(), endpoint, {});
            Request request{Verb::post, "/", 11};
            request.body() = std::string(8000, 'b');
            request.prepare_payload();
            ordinary = co_await client.exchange(request, 10s);
            beast::error_code error;
            co_await asio::async_read(sockets.front(), asio::dynamic_buffer(firstAnswer),
                                      asio::redirect_error(asio::use_awaitable, error));
            context.stop();
        },
        asio::detached);
    context.run();
    CHECK(ordinary.state == ExchangeState::Answered);
    CHECK(ordinary.response.body().size() == 8000);
    CHECK_THAT(firstAnswer, Catch::StartsWith("HTTP/1.1 503"));
    CHECK_THAT(firstAnswer, Catch::Contains("Outcome: not-run"));
    CHECK_THAT(firstAnswer, Catch::Contains("Retry-After: 1"));
}

// Guards against ordinary callers that are refused for connections that send nothing.
TEST_CASE("a new caller is answered although silent connections take all places")
{
    auto limits = smallLimits();
    limits.connections = 8;
    asio::io_context context;
    auto server =
        std::make_shared<Server>(std::vector<Lane>{{context.get_executor(), echo}}, limits);
    const auto endpoint = listenOnLoopback(*server);
    const Tcp::endpoint target(asio::ip::make_address(endpoint.host), endpoint.port);
    std::vector<Tcp::socket> sockets;
    Exchange ordinary;
    asio::co_spawn(
        context,
        [&]() -> Awaitable<void> {
            for (int i = 0; i < limits.connections; ++i)
                co_await sockets.emplace_back(context).async_connect(target, asio::use_awaitable);
            Client client(context.get_executor(), endpoint, {});
            Request request{Verb::post, "/", 11};
            request.body() = "hi";
            request.prepare_payload();
            ordinary = co_await client.exchange(request, 10s);
            context.stop();
        },
        asio::detached);
    context.run();
    CHECK(ordinary.state == ExchangeState::Answered);
    CHECK(ordinary.response.result() == Status::ok);
    CHECK(server->sessionCount() <= 9);
}

// Guards against a process that spends all its time on connections that it cannot accept.
TEST_CASE("a server without descriptors pauses before it accepts again")
{
    constexpr std::size_t manyEvents = 1000; // in 100 ms
    asio::io_context context;
    auto server =
        std::make_shared<Server>(std::vector<Lane>{{context.get_executor(), echo}}, smallLimits());
    const auto endpoint = listenOnLoopback(*server);
    std::vector<int> taken;
    std::size_t events = 0;
    {
        const DescriptorLimit limit(64);
        Tcp::socket last(context, Tcp::v4()); // opened before none is left
        for (int fd = ::dup(0); fd >= 0; fd = ::dup(0))
            taken.push_back(fd);
        last.async_connect(Tcp::endpoint(asio::ip::make_address(endpoint.host), endpoint.port),
                           [](const beast::error_code &) {});
        events = context.run_for(100ms);
        for (const auto fd : taken)
            ::close(fd);
    }
    CHECK(events < manyEvents);
    Client client(context.get_executor(), endpoint, {});
    Exchange exchange;
    asio::co_spawn(
        context,
        [&]() -> Awaitable<void> {
            exchange = co_await client.exchange(Request{Verb::get, "/", 11}, 10s);
            context.stop();
        },
        asio::detached);
    context.restart();
    context.run();
    CHECK(exchange.state == ExchangeState::Answered);
}

TEST_CASE("a handler learns that its caller went away")
{
    asio::io_context context;
    bool noticed = false;
    auto handler = [&](Request, std::shared_ptr<Disconnect> disconnect) -> Awaitable<Response> {
        asio::steady_timer forever(context, std::chrono::hours(1));
        disconnect->onDisconnect([&] {
            noticed = true;
            forever.cancel();
        });
        beast::error_code error;
        co_await forever.async_wait(asio::redirect_error(asio::use_awaitable, error));
        context.stop();
        co_return textResponse(Status::ok, "");
    };
    auto server = std::make_shared<Server>(std::vector<Lane>{{context.get_executor(), handler}},
                                           smallLimits());
    const auto endpoint = listenOnLoopback(*server);
    Client client(context.get_executor(), endpoint, {});
    asio::co_spawn(
        context,
        [&]() -> Awaitable<void> {
            co_await client.exchange(Request{Verb::get, "/", 11}, 100ms);
        },
        asio::detached);
    context.run();
    CHECK(noticed);
}

TEST_CASE("a server that stops answers what it has read, and then closes")
{
    // A planned stop must cut off no request in flight: the request below is being handled when
    // the server stops accepting and closes its sessions.
    asio::io_context context;
    std::shared_ptr<Server> server;
    auto handler = [&](Request request, std::shared_ptr<Disconnect>) -> Awaitable<Response> {
        server->stopAccepting();
        server->closeSessions();
        co_await asio::post(context, asio::use_awaitable);
        co_return textResponse(Status::ok, request.body());
    };
    server = std::make_shared<Server>(std::vector<Lane>{{context.get_executor(), handler}},
                                      smallLimits());
    const auto endpoint = listenOnLoopback(*server);
    Client client(context.get_executor(), endpoint, {});
    Exchange exchange;
    asio::co_spawn(
        context,
        [&]() -> Awaitable<void> {
            Request request{Verb::post, "/", 11};
            request.body() = "whole";
            request.prepare_payload();
            exchange = co_await client.exchange(request, 10s);
        },
        asio::detached);
    context.run(); // ends by itself: nothing is left to accept or to read
    CHECK(exchange.state == ExchangeState::Answered);
    CHECK(exchange.response.body() == "whole");
    CHECK(server->sessionCount() == 0);
}
