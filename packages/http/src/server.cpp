// The HTTP server.
#include "precompiled.h"

#include <sassafrasferry/http/json.h>
#include <sassafrasferry/http/server.h>

#include "server_session.h"

#include <algorithm>

#include <glog/logging.h>

namespace sassafrasferry::http {

namespace {

constexpr std::chrono::milliseconds acceptPause{20}; // after an error
constexpr std::size_t firstReadBytes = 4096; // of a request
constexpr std::size_t freeBytes = 2 * firstReadBytes; // read at once, and the body copied from it
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
    if (fault.status == Status::service_unavailable)
        response.set(Field::retry_after, "1");
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

Server::Server(std::vector<Lane> lanes, model::CallerLimits limits)
    : lanes(std::move(lanes))
    , limits(limits)
    , acceptor(this->lanes.front().executor)
    , registry(std::make_shared<Registry>(limits))
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
        if (!error) {
            this->start(std::move(socket), lane);
        } else if (error != asio::error::connection_aborted) {
            // Where descriptors run out, the connection stays acceptable and the call fails again.
            asio::steady_timer pause(this->acceptor.get_executor(), acceptPause);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
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
    const auto mostInput = static_cast<std::size_t>(this->limits.headerBytes) + readBytes;
    auto session = std::make_shared<Session>(std::move(socket), lane.handler, mostInput);
    auto self = this->shared_from_this();
    SessionLedger::Admission admission;
    {
        const std::lock_guard lock(this->registry->mutex);
        admission = this->registry->ledger.admit(std::chrono::steady_clock::now());
        if (admission.session) {
            session->id = *admission.session;
            this->registry->sessions[session->id] = session;
        }
    }
    if (!admission.session) {
        asio::co_spawn(
            session->stream.get_executor(), [self, session] { return self->refuse(session); },
            asio::detached);
        return;
    }
    if (admission.yields)
        this->giveWay({*admission.yields});
    asio::co_spawn(
        session->stream.get_executor(),
        [self, session]() -> Awaitable<void> {
            co_await self->serve(session);
            const std::lock_guard lock(self->registry->mutex);
            self->registry->sessions.erase(session->id);
            self->registry->ledger.close(session->id);
        },
        asio::detached);
}

Awaitable<void> Server::refuse(std::shared_ptr<Session> session)
{
    beast::error_code error;
    session->stream.expires_after(this->limits.readTimeout);
    auto response = faultResponse({Status::service_unavailable, "too many connections"});
    co_await beast::http::async_write(session->stream, response,
                                      asio::redirect_error(asio::use_awaitable, error));
    session->stream.socket().shutdown(Tcp::socket::shutdown_send, error);
}

Awaitable<void> Server::serve(std::shared_ptr<Session> session)
{
    const auto id = session->id;
    auto &stream = session->stream;
    beast::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    for (;;) {
        // The wait for a first byte may be long; a request that has begun must arrive in time.
        if (session->input.size() == 0) {
            this->registry->update(
                [id](SessionLedger &ledger) { ledger.idle(id, std::chrono::steady_clock::now()); });
            session->input.shrink_to_fit();
            stream.expires_after(this->limits.idleTimeout);
            session->isReceiving = true;
            const auto size =
                co_await stream.async_read_some(session->input.prepare(firstReadBytes), token);
            session->isReceiving = false;
            session->input.commit(size);
            if (error)
                break;
        }
        session->busy = true;
        ++this->registry->busy;
        auto received = co_await this->receive(*session);
        if (std::holds_alternative<std::monostate>(received)) {
            --this->registry->busy;
            break;
        }
        Response response;
        if (auto *request = std::get_if<Request>(&received)) {
            const bool keepAlive = request->keep_alive();
            response = co_await this->answer(session, std::move(*request));
            response.keep_alive(keepAlive && response.keep_alive() && !this->closing);
        } else {
            response = std::get<Response>(std::move(received));
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
    // Nothing was written to a caller that is closed while it sends nothing.
    const bool isClosedAtOnce =
        !session->busy
        && this->registry->update([id](SessionLedger &ledger) { return ledger.isYielding(id); });
    if (!isClosedAtOnce)
        co_await this->finish(*session);
}

Awaitable<Server::Received> Server::receive(Session &session)
{
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(this->limits.headerBytes));
    parser.body_limit(static_cast<std::uint64_t>(this->limits.bodyBytes));
    parser.eager(true);
    session.needsMore = false;
    this->registry->update([&session](SessionLedger &ledger) {
        ledger.reading(session.id, std::chrono::steady_clock::now());
    });
    session.stream.expires_after(this->limits.readTimeout);
    beast::error_code error;
    bool isYielding = false;
    while (!parser.is_done() && !error && !isYielding) {
        error = co_await this->parseNext(session, parser);
        const auto bytes = parser.get().body().capacity() + session.input.capacity();
        this->giveWay(this->registry->update([&](SessionLedger &ledger) {
            auto yields = ledger.hold(session.id, bytes - std::min(bytes, freeBytes));
            isYielding = ledger.isYielding(session.id);
            return yields;
        }));
    }
    const bool isKept = this->registry->update(
        [&session](SessionLedger &ledger) { return ledger.answer(session.id); });
    if (!isKept)
        co_return faultResponse({Status::service_unavailable, "too many requests are under way"});
    if (error && isSilentEnd(error))
        co_return std::monostate();
    if (error)
        co_return faultResponse(faultOf(error));
    session.stream.expires_never();
    co_return parser.release();
}

// Beast's read operations go on while a chunk header is incomplete: over one-byte chunks they may
// not return before the body is whole.
Awaitable<beast::error_code> Server::parseNext(Session &session, Parser &parser)
{
    beast::error_code error;
    auto &input = session.input;
    if (input.size() == 0 || session.needsMore) {
        const auto space = std::min(input.max_size() - input.size(), readBytes);
        if (space == 0)
            co_return beast::http::error::buffer_overflow;
        session.isReceiving = true;
        const auto size = co_await session.stream.async_read_some(
            input.prepare(space), asio::redirect_error(asio::use_awaitable, error));
        session.isReceiving = false;
        input.commit(size);
        if (error == asio::error::eof && parser.got_some()) {
            error = {};
            parser.put_eof(error);
        }
        if (error)
            co_return error;
    }
    input.consume(parser.put(input.data(), error));
    session.needsMore = error == beast::http::error::need_more;
    co_return session.needsMore ? beast::error_code() : error;
}

Awaitable<Response> Server::answer(std::shared_ptr<Session> session, Request request)
{
    auto &stream = session->stream;
    auto disconnect = std::make_shared<Disconnect>();
    auto isWatching = std::make_shared<bool>(true);
    // Readable with nothing to read means that the caller has closed its connection.
    stream.socket().async_wait(Tcp::socket::wait_read, [session, disconnect, isWatching](
                                                           const beast::error_code &waitError) {
        beast::error_code ignored;
        if (!waitError && *isWatching && session->stream.socket().available(ignored) == 0)
            disconnect->fire();
    });
    Response response;
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
    co_return response;
}

Awaitable<void> Server::finish(Session &session)
{
    auto &stream = session.stream;
    beast::error_code error;
    stream.socket().shutdown(Tcp::socket::shutdown_send, error);
    // A socket closed with unread bytes resets the connection, and the caller may lose the answer
    // that was just written: read to the end of what it sends, for a bounded time.
    constexpr auto linger = std::chrono::seconds(1);
    constexpr int mostReads = 64;
    stream.expires_after(linger);
    error = {};
    for (int i = 0; i < mostReads && !error; ++i) {
        session.input.consume(session.input.size());
        co_await stream.async_read_some(session.input.prepare(readBytes),
                                        asio::redirect_error(asio::use_awaitable, error));
    }
}

void Server::giveWay(const std::vector<SessionLedger::Id> &ids)
{
    const std::lock_guard lock(this->registry->mutex);
    for (const auto id : ids) {
        const auto at = this->registry->sessions.find(id);
        if (at == this->registry->sessions.end())
            continue;
        auto session = at->second;
        asio::post(session->stream.get_executor(), [registry = this->registry, session] {
            const bool isYielding = registry->update(
                [&](SessionLedger &ledger) { return ledger.isYielding(session->id); });
            beast::error_code ignored;
            if (isYielding && session->isReceiving)
                session->stream.socket().cancel(ignored);
        });
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
    for (const auto &entry : this->registry->sessions) {
        asio::post(entry.second->stream.get_executor(), [session = entry.second] {
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
