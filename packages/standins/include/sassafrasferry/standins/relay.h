// A stand-in for the network between processes: forwards bytes, and holds them in one direction or
// both while a cut is set. Held bytes are delivered when the cut ends, as TCP would by
// retransmission.
#pragma once

#include <sassafrasferry/http/server.h>

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace sassafrasferry::standins {

using http::Awaitable;

/// One path: connections to `listen` are forwarded to `target`.
struct RelayPath
{
    std::string name;
    model::Endpoint listen;
    model::Endpoint target;
    bool holdsForward = false; ///< bytes to the target are held
    bool holdsBack = false; ///< bytes from the target are held
};

/// Parses NAME=LISTEN=TARGET; returns a path with an empty name if the text is malformed.
RelayPath parseRelayPath(const std::string &text);

/// Forwards the connections of all paths; runs on one executor.
class Relay
{
public:
    Relay(http::asio::io_context &context, std::vector<RelayPath> paths);

    /// Opens all paths; returns false if one of the ports is in use.
    bool listen();
    /// Handles `POST /standin/cuts {"path": NAME, "forward": BOOL, "back": BOOL}`.
    Awaitable<http::Response> handle(http::Request request);

private:
    struct Connection;

    Awaitable<void> acceptLoop(RelayPath &path, http::Tcp::acceptor acceptor);
    Awaitable<void> connect(RelayPath &path, std::shared_ptr<Connection> connection);
    Awaitable<void> pump(const bool &holds, std::shared_ptr<Connection> connection,
                         http::Tcp::socket &from, http::Tcp::socket &to);
    Awaitable<void> waitUntilReleased(const bool &holds);

    http::asio::io_context &context;
    std::vector<RelayPath> paths; // keeps its size, because the coroutines refer to its elements
};

} // namespace sassafrasferry::standins
