// The HTTP server.
#include "precompiled.h"

#include <sassafrasferry/http/json.h>
#include <sassafrasferry/http/server.h>

#include <list>
#include <mutex>

#include <glog/logging.h>

namespace sassafrasferry::http {

namespace {

using Parser = beast::http::request_parser<beast::http::string_body>;

constexpr std::size_t readBytes = 16384; // most that one read takes in

struct Fault
{
    Status status;
    std::string message;
};

// The answer to what a caller sent, if it cannot be read as a request.
Fault faultOf(const beast::error_code &error)
{
    if (error == beast::http::error::body_limit)
        return {Status::payload_too_large, "the body is larger than limits.bodyBytes"};
    if (error == beast::http::error::header_limit)
        return {Status::request_header_fields_too_large,
                "the header is larger than limits.headerBytes"};
    if (error == beast::http::error::buffer_overflow)
        return {Status::request_header_fields_too_large,
                "a chunk extension or the trailer fields are larger than limits.headerBytes"};
    if (error == beast::error::timeout)
        return {Status::request_timeout, "the request did not arrive within limits.readTimeoutMs"};
    return {Status::bad_request, "not an HTTP request: " + error.message()};
}

Response faultResponse(const Fault &fault)
{
    auto response = textResponse(fault.status, fault.message + "\n");
    response.set(header::outcome, "not-run");
    response.keep_alive(false);
    return response;
}

bool isSilentEnd(const beast::error_code &error)
{
    return error == beast::http::error::end_of_stream || error == asio::error::operation_aborted
           || error == asio::error::connection_reset || error == asio::error::eof
           || error == asio::error::bad_descriptor;
}

} // namespace

void Disconnect::onDisconnect(std::function<void()> newCallback)
{
    this->callback = std::move(newCallback);
    if (this->fired && this->callback)
        std::exchange(this->callback, nullptr)();
}

bool Disconnect::happened() const
{
    return this->fired;
}

void Disconnect::fire()
{
    this->fired = true;
    if (this->callback)
        std::exchange(this->callback, nullptr)();
}

struct Server::Session
{
    Session(Tcp::socket socket, const Handler &handler)
        : stream(std::move(socket))
        , handler(handler)
    {}

    beast::tcp_stream stream;
    const Handler &handler; // of the server's lane
    std::atomic<bool> busy{false}; // a request has been read and its answer not yet written
    std::list<std::shared_ptr<Session>>::iterator place;
};

struct Server::Registry
{
    std::mutex mutex;
    std::list<std::shared_ptr<Session>> sessions;
    std::atomic<std::size_t> busy{0};
};

Server::Server(std::vector<Lane> lanes, model::CallerLimits limits)
    : lanes(std::move(lanes))
    , limits(limits)
    , acceptor(this->lanes.front().executor)
    , registry(std::make_shared<Registry>())
{}

absl::Status Server::listen(const model::Endpoint &endpoint)
{
    beast::error_code error;
    const auto address = asio::ip::make_address(endpoint.host, error);
    if (error)
        return absl::InvalidArgumentError(endpoint.host + ": " + error.message());
    const Tcp::endpoint local(address, endpoint.port);
    this->acceptor.open(local.protocol(), error);
    if (!error)
        this->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error)
        this->acceptor.bind(local, error);
    if (!error)
        this->acceptor.listen(Tcp::acceptor::max_listen_connections, error);
    if (error)
        return absl::UnavailableError(model::toString(endpoint) + ": " + error.message());
    asio::co_spawn(
        this->lanes.front().executor,
        [self = this->shared_from_this()] { return self->acceptLoop(); }, asio::detached);
    return absl::OkStatus();
}

std::uint16_t Server::port() const
{
    beast::error_code ignored;
    return this->acceptor.local_endpoint(ignored).port();
}

std::size_t Server::busySessions() const
{
    return this->registry->busy;
}

std::size_t Server::sessionCount() const
{
    const std::lock_guard lock(this->registry->mutex);
    return this->registry->sessions.size();
}

Awaitable<void> Server::acceptLoop()
{
    for (;;) {
        const auto &lane = this->nextLane();
        beast::error_code error;
        auto socket = co_await this->acceptor.async_accept(
            lane.executor, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || !this->acceptor.is_open())
            co_return;
        if (!error)
            this->start(std::move(socket), lane);
    }
}

const Lane &Server::nextLane()
{
    return this->lanes[this->turn++ % this->lanes.size()];
}

void Server::start(Tcp::socket socket, const Lane &lane)
{
    beast::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    auto session = std::make_shared<Session>(std::move(socket), lane.handler);
    bool isOverLimit = false;
    {
        const std::lock_guard lock(this->registry->mutex);
        auto &sessions = this->registry->sessions;
        isOverLimit = sessions.size() >= static_cast<std::size_t>(this->limits.connections);
        session->place = sessions.insert(sessions.end(), session);
    }
    auto self = this->shared_from_this();
    asio::co_spawn(
        session->stream.get_executor(),
        [self, session, isOverLimit]() -> Awaitable<void> {
            if (isOverLimit)
                co_await self->refuse(session);
            else
                co_await self->serve(session);
            const std::lock_guard lock(self->registry->mutex);
            self->registry->sessions.erase(session->place);
        },
        asio::detached);
}

Awaitable<void> Server::refuse(std::shared_ptr<Session> session)
{
    beast::error_code error;
    session->stream.expires_after(this->limits.readTimeout);
    auto response = faultResponse({Status::service_unavailable, "too many connections"});
    response.set(Field::retry_after, "1");
    co_await beast::http::async_write(session->stream, response,
                                      asio::redirect_error(asio::use_awaitable, error));
    session->stream.socket().shutdown(Tcp::socket::shutdown_send, error);
}

Awaitable<void> Server::serve(std::shared_ptr<Session> session)
{
    auto &stream = session->stream;
    // Chunk headers and trailer fields, which the parser does not limit, stay here until they are
    // whole.
    beast::flat_buffer buffer(static_cast<std::size_t>(this->limits.headerBytes) + readBytes);
    beast::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    for (;;) {
        Parser parser;
        parser.header_limit(static_cast<std::uint32_t>(this->limits.headerBytes));
        parser.body_limit(static_cast<std::uint64_t>(this->limits.bodyBytes));
        // The wait for a first byte may be long; a request that has begun must arrive in time.
        if (buffer.size() == 0) {
            stream.expires_after(this->limits.idleTimeout);
            const auto space = buffer.prepare(4096);
            const auto size = co_await stream.async_read_some(space, token);
            buffer.commit(size);
            if (error)
                break;
        }
        session->busy = true;
        ++this->registry->busy;
        stream.expires_after(this->limits.readTimeout);
        co_await beast::http::async_read(stream, buffer, parser, token);
        Response response;
        if (error) {
            if (isSilentEnd(error)) {
                --this->registry->busy;
                break;
            }
            response = faultResponse(faultOf(error));
        } else {
            stream.expires_never();
            auto request = parser.release();
            const bool keepAlive = request.keep_alive();
            auto disconnect = std::make_shared<Disconnect>();
            auto isWatching = std::make_shared<bool>(true);
            // Readable with nothing to read means that the caller has closed its connection.
            stream.socket().async_wait(
                Tcp::socket::wait_read,
                [session, disconnect, isWatching](const beast::error_code &waitError) {
                    beast::error_code ignored;
                    if (!waitError && *isWatching
                        && session->stream.socket().available(ignored) == 0)
                        disconnect->fire();
                });
            try {
                response = co_await session->handler(std::move(request), disconnect);
            } catch (const std::exception &error) {
                LOG(ERROR) << "event=request-failed error=\"" << error.what() << '"';
                // One faulty request must not end the process, and with it all others.
                response = textResponse(Status::internal_server_error, "internal error\n");
                response.set(header::outcome, "unknown");
            }
            *isWatching = false;
            disconnect->onDisconnect(nullptr);
            beast::error_code ignored;
            stream.socket().cancel(ignored);
            response.keep_alive(keepAlive && response.keep_alive() && !this->closing);
        }
        response.version(11);
        response.prepare_payload();
        stream.expires_after(this->limits.readTimeout);
        co_await beast::http::async_write(stream, response, token);
        session->busy = false;
        --this->registry->busy;
        if (error || !response.keep_alive() || this->closing)
            break;
    }
    beast::error_code ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    // A socket closed with unread bytes resets the connection, and the caller may lose the answer
    // that was just written: read to the end of what it sends, for a bounded time.
    constexpr auto linger = std::chrono::seconds(1);
    constexpr int mostReads = 64;
    stream.expires_after(linger);
    error = {};
    for (int i = 0; i < mostReads && !error; ++i) {
        buffer.consume(buffer.size());
        co_await stream.async_read_some(buffer.prepare(readBytes), token);
    }
}

void Server::stopAccepting()
{
    auto self = this->shared_from_this();
    asio::post(this->lanes.front().executor, [self] {
        beast::error_code error;
        // A connection that the kernel has completed is reset if the listening socket closes
        // before it is taken in, and its caller's request would be cut off.
        self->acceptor.cancel(error);
        self->acceptor.non_blocking(true, error);
        for (;;) {
            const auto &lane = self->nextLane();
            Tcp::socket socket(lane.executor);
            self->acceptor.accept(socket, error);
            if (error)
                break;
            self->start(std::move(socket), lane);
        }
        self->acceptor.close(error);
    });
}

void Server::closeSessions()
{
    this->closing = true;
    const std::lock_guard lock(this->registry->mutex);
    for (const auto &session : this->registry->sessions) {
        asio::post(session->stream.get_executor(), [session] {
            beast::error_code ignored;
            if (!session->busy)
                session->stream.socket().cancel(ignored);
        });
    }
}

model::Endpoint listenOnLoopback(Server &server)
{
    const auto status = server.listen({"127.0.0.1", 0});
    return {"127.0.0.1", status.ok() ? server.port() : std::uint16_t{0}};
}

} // namespace sassafrasferry::http
