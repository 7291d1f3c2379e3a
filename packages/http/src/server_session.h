// The sessions of a server, with what it knows of them.
#pragma once

#include "precompiled.h"

#include <sassafrasferry/http/server.h>
#include <sassafrasferry/http/session_ledger.h>

#include <map>
#include <mutex>

namespace sassafrasferry::http {

struct Server::Parser : beast::http::request_parser<beast::http::string_body>
{};

struct Server::Session
{
    Session(Tcp::socket socket, const Handler &handler, std::size_t mostInput)
        : stream(std::move(socket))
        , input(mostInput)
        , handler(handler)
    {}

    beast::tcp_stream stream;
    // Chunk headers and trailer fields, which the parser does not limit, stay here until they are
    // whole.
    beast::flat_buffer input;
    const Handler &handler; // of the server's lane
    SessionLedger::Id id = 0;
    std::atomic<bool> busy{false}; // a request has begun and its answer is not yet written
    bool needsMore = false; // the parser can't go on with what is in `input`
    bool isReceiving = false; // waits for bytes of its caller; used on the session's executor
};

struct Server::Registry
{
    explicit Registry(const model::CallerLimits &limits)
        : ledger(limits)
    {}

    /// Applies a change to the ledger.
    template<typename Change>
    auto update(Change change)
    {
        const std::lock_guard lock(this->mutex);
        return change(this->ledger);
    }

    std::mutex mutex;
    std::map<SessionLedger::Id, std::shared_ptr<Session>> sessions;
    SessionLedger ledger; // of the same sessions
    std::atomic<std::size_t> busy{0};
};

} // namespace sassafrasferry::http
