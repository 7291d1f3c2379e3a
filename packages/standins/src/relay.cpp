// Accepts connections and forwards their bytes.
#include <sassafrasferry/standins/relay.h>

#include <sassafrasferry/http/json.h>

#include <boost/asio.hpp>

#include <absl/strings/str_split.h>

#include <array>

namespace sassafrasferry::standins {

namespace {

namespace asio = boost::asio;
using http::Tcp;

// Time between two checks whether a path is still held.
constexpr auto holdPollInterval = std::chrono::milliseconds(10);
constexpr std::size_t bufferBytes = 16384;

Tcp::endpoint tcpEndpoint(const model::Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.host), endpoint.port};
}

} // namespace

struct Relay::Connection
{
    Tcp::socket client; // accepted from the connecting process
    Tcp::socket target; // opened to the target of the path
};

RelayPath parseRelayPath(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '=');
    if (parts.size() != 3)
        return {};
    const auto from = model::parseEndpoint(parts[1]);
    const auto to = model::parseEndpoint(parts[2]);
    if (!from || !to)
        return {};
    return {parts[0], *from, *to};
}

Relay::Relay(asio::io_context &context, std::vector<RelayPath> paths)
    : context(context)
    , paths(std::move(paths))
{}

bool Relay::listen()
{
    for (auto &path : this->paths) {
        boost::system::error_code error;
        const auto local = tcpEndpoint(path.listen);
        Tcp::acceptor acceptor(this->context);
        acceptor.open(local.protocol());
        acceptor.set_option(Tcp::acceptor::reuse_address(true));
        acceptor.bind(local, error);
        if (error)
            return false;
        acceptor.listen();
        asio::co_spawn(this->context, this->acceptLoop(path, std::move(acceptor)), asio::detached);
    }
    return true;
}

Awaitable<void> Relay::acceptLoop(RelayPath &path, Tcp::acceptor acceptor)
{
    for (;;) {
        boost::system::error_code error;
        auto socket =
            co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        Tcp::socket target(this->context);
        auto connection =
            std::make_shared<Connection>(Connection{std::move(socket), std::move(target)});
        asio::co_spawn(this->context, this->connect(path, std::move(connection)), asio::detached);
    }
}

Awaitable<void> Relay::connect(RelayPath &path, std::shared_ptr<Connection> connection)
{
    boost::system::error_code error;
    const auto endpoint = tcpEndpoint(path.target);
    co_await connection->target.async_connect(endpoint,
                                              asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return; // closes the accepted connection too
    connection->client.set_option(Tcp::no_delay(true), error);
    connection->target.set_option(Tcp::no_delay(true), error);
    asio::co_spawn(
        this->context,
        this->pump(path.holdsForward, connection, connection->client, connection->target),
        asio::detached);
    asio::co_spawn(this->context,
                   this->pump(path.holdsBack, connection, connection->target, connection->client),
                   asio::detached);
}

// `connection` keeps both sockets alive while either direction is being forwarded.
Awaitable<void> Relay::pump(const bool &holds,
                            [[maybe_unused]] std::shared_ptr<Connection> connection,
                            Tcp::socket &from, Tcp::socket &to)
{
    std::array<char, bufferBytes> bytes{};
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    while (!error) {
        const auto count = co_await from.async_read_some(asio::buffer(bytes), token);
        // Holds both data and the end of the stream, as a network holds packets in transit.
        co_await this->waitUntilReleased(holds);
        if (!error)
            co_await asio::async_write(to, asio::buffer(bytes.data(), count), token);
    }
    boost::system::error_code ignored;
    to.shutdown(Tcp::socket::shutdown_send, ignored);
}

Awaitable<void> Relay::waitUntilReleased(const bool &holds)
{
    asio::steady_timer timer(this->context);
    while (holds) {
        timer.expires_after(holdPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

Awaitable<http::Response> Relay::handle(http::Request request)
{
    const auto body = http::parseJson(request.body());
    if (!body.is_object())
        co_return http::textResponse(http::Status::bad_request, "the body is not a JSON object\n");
    for (auto &path : this->paths) {
        if (path.name != body.value("path", ""))
            continue;
        path.holdsForward = body.value("forward", false);
        path.holdsBack = body.value("back", false);
        co_return http::textResponse(http::Status::ok, "");
    }
    co_return http::textResponse(http::Status::not_found, "unknown path\n");
}

} // namespace sassafrasferry::standins
