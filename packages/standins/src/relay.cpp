// The relay's loops.
#include <sassafrasferry/standins/relay.h>

#include <sassafrasferry/http/json.h>

#include <boost/asio.hpp>

#include <absl/strings/str_split.h>

#include <array>

namespace sassafrasferry::standins {

namespace {

namespace asio = boost::asio;
using http::Tcp;

constexpr auto look = std::chrono::milliseconds(10); // how often a held path is looked at
constexpr std::size_t bufferBytes = 16384;

Tcp::endpoint tcpEndpoint(const model::Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.host), endpoint.port};
}

} // namespace

struct Relay::Link
{
    Tcp::socket near; // towards whoever connected
    Tcp::socket far; // towards the target
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
        Tcp::socket far(this->context);
        auto link = std::make_shared<Link>(Link{std::move(socket), std::move(far)});
        asio::co_spawn(this->context, this->connect(path, std::move(link)), asio::detached);
    }
}

Awaitable<void> Relay::connect(RelayPath &path, std::shared_ptr<Link> link)
{
    boost::system::error_code error;
    const auto target = tcpEndpoint(path.target);
    co_await link->far.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return; // the near side sees its connection closed
    link->near.set_option(Tcp::no_delay(true), error);
    link->far.set_option(Tcp::no_delay(true), error);
    asio::co_spawn(this->context, this->pump(path.holdsForward, link, link->near, link->far),
                   asio::detached);
    asio::co_spawn(this->context, this->pump(path.holdsBack, link, link->far, link->near),
                   asio::detached);
}

// `link` keeps both sockets alive while either direction is pumped.
Awaitable<void> Relay::pump(const bool &holds, [[maybe_unused]] std::shared_ptr<Link> link,
                            Tcp::socket &from, Tcp::socket &to)
{
    std::array<char, bufferBytes> bytes{};
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    while (!error) {
        const auto count = co_await from.async_read_some(asio::buffer(bytes), token);
        // What was read, and the end of the stream too, is held like a packet on the way.
        co_await this->waitWhile(holds);
        if (!error)
            co_await asio::async_write(to, asio::buffer(bytes.data(), count), token);
    }
    boost::system::error_code ignored;
    to.shutdown(Tcp::socket::shutdown_send, ignored);
}

Awaitable<void> Relay::waitWhile(const bool &holds)
{
    asio::steady_timer timer(this->context);
    while (holds) {
        timer.expires_after(look);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

Awaitable<http::Response> Relay::handle(http::Request request)
{
    const auto body = http::parseJson(request.body());
    if (!body.is_object())
        co_return http::textResponse(http::Status::bad_request, "not an object\n");
    for (auto &path : this->paths) {
        if (path.name != body.value("path", ""))
            continue;
        path.holdsForward = body.value("forward", false);
        path.holdsBack = body.value("back", false);
        co_return http::textResponse(http::Status::ok, "");
    }
    co_return http::textResponse(http::Status::not_found, "no such path\n");
}

} // namespace sassafrasferry::standins
