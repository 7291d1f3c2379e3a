// A small HTTP/1.1 server and client on loopback, with a thread for each connection.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace review {

struct HttpRequest
{
    std::string method;
    std::string path; ///< without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    std::string body;
    bool isDropped = false; ///< the connection is closed without an answer
};

using HttpHandler = std::function<HttpResponse(const HttpRequest &)>;

/// Serves requests on a free port of 127.0.0.1 until the process ends. Returns the port.
std::uint16_t serveHttp(HttpHandler handler);

/// Makes one call on a new connection. `nullopt` if no whole answer arrives within the timeout.
std::optional<HttpResponse> callHttp(std::uint16_t port, const std::string &method,
                                     const std::string &target, const std::string &body,
                                     int timeoutMs, const std::string &extraHeaders = "");

/// A port of 127.0.0.1 that is free at present.
std::uint16_t freePort();

} // namespace review
