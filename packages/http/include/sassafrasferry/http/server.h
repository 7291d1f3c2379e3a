// An HTTP server: one acceptor, sessions spread over executors, a handler for each request.
#pragma once

#include <sassafrasferry/http/session_ledger.h>
#include <sassafrasferry/http/types.h>
#include <sassafrasferry/model/settings.h>

#include <absl/status/status.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace sassafrasferry::http {

/// Tells a handler that its caller has closed the connection. Used on the session's executor.
class Disconnect
{
public:
    /// Called once, when the caller is gone; at once if it is gone already.
    void onDisconnect(std::function<void()> callback);
    bool happened() const;
    /// The session noticed it.
    void fire();

private:
    std::function<void()> callback;
    bool fired = false;
};

/// Handles one request; the answer is sent on the same connection.
using Handler = std::function<Awaitable<Response>(Request, std::shared_ptr<Disconnect>)>;

/// An executor and what handles the requests of the sessions that run on it.
struct Lane
{
    asio::any_io_executor executor;
    Handler handler;
};

/// A server. Construct by `std::make_shared`: sessions keep it alive.
class Server : public std::enable_shared_from_this<Server>
{
public:
    /// Sessions go to the lanes in turn; the first one accepts.
    Server(std::vector<Lane> lanes, model::CallerLimits limits);

    /// Binds and starts accepting.
    absl::Status listen(const model::Endpoint &endpoint);
    /// The port it listens on; useful after binding port 0.
    std::uint16_t port() const;
    /// Closes the listening socket, once all that the kernel has accepted is taken in.
    void stopAccepting();
    /// Ends idle sessions, and busy ones after their answer.
    void closeSessions();
    /// Sessions whose request is being handled.
    std::size_t busySessions() const;
    std::size_t sessionCount() const;

private:
    struct Parser;
    struct Session;
    struct Registry;

    /// A request, or the answer to what cannot be read as one; neither if the caller is gone.
    using Received = std::variant<std::monostate, Request, Response>;

    Awaitable<void> acceptLoop();
    Awaitable<void> serve(std::shared_ptr<Session> session);
    Awaitable<Received> receive(Session &session);
    /// Parses what has arrived, after a read if that is not enough.
    Awaitable<beast::error_code> parseNext(Session &session, Parser &parser);
    Awaitable<Response> answer(std::shared_ptr<Session> session, Request request);
    Awaitable<void> finish(Session &session);
    void giveWay(const std::vector<SessionLedger::Id> &sessions);
    Awaitable<void> refuse(std::shared_ptr<Session> session);
    void start(Tcp::socket socket, const Lane &lane);
    const Lane &nextLane();

    std::vector<Lane> lanes; // never changes
    model::CallerLimits limits;
    Tcp::acceptor acceptor;
    std::size_t turn = 0; // of the lanes
    std::shared_ptr<Registry> registry;
    std::atomic<bool> closing{false};
};

/// Runs `server->listen` for tests and stand-ins on an ephemeral loopback port.
model::Endpoint listenOnLoopback(Server &server);

} // namespace sassafrasferry::http
