// A stand-in for the network between two processes: passes bytes on, and holds them, in one
// direction or both, while it is told to. Held bytes go on when the cut ends, as TCP's would.
#pragma once

#include <sassafrasferry/http/server.h>

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace sassafrasferry::standins {

using http::Awaitable;

/// One path: what connects to `listen` is connected to `target`.
struct RelayPath
{
    std::string name;
    model::Endpoint listen;
    model::Endpoint target;
    bool holdsForward = false; ///< bytes towards the target wait
    bool holdsBack = false; ///< bytes from the target wait
};

/// Parses NAME=LISTEN=TARGET; an empty name if it is malformed.
RelayPath parseRelayPath(const std::string &text);

/// Relays on one executor.
class Relay
{
public:
    Relay(http::asio::io_context &context, std::vector<RelayPath> paths);

    /// Opens all paths; false if one of the ports is taken.
    bool listen();
    /// Handles `POST /standin/cuts {"path": NAME, "forward": BOOL, "back": BOOL}`.
    Awaitable<http::Response> handle(http::Request request);

private:
    struct Link;

    Awaitable<void> acceptLoop(RelayPath &path, http::Tcp::acceptor acceptor);
    Awaitable<void> connect(RelayPath &path, std::shared_ptr<Link> link);
    Awaitable<void> pump(const bool &holds, std::shared_ptr<Link> link, http::Tcp::socket &from,
                         http::Tcp::socket &to);
    Awaitable<void> waitWhile(const bool &holds);

    http::asio::io_context &context;
    std::vector<RelayPath> paths; // never grows: the loops refer to its elements
};

} // namespace sassafrasferry::standins
