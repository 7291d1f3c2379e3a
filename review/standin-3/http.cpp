// A small HTTP/1.1 server and client on loopback, with a thread for each connection.
#include "http.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

int openSocket()
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (handle < 0)
        throw std::runtime_error("no socket");
    const int on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return handle;
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Binds to the port, or to a free one if it is 0. Returns the port.
std::uint16_t bindTo(int handle, std::uint16_t port)
{
    auto address = loopback(port);
    if (::bind(handle, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0)
        throw std::runtime_error("the port can't be bound");
    socklen_t size = sizeof address;
    ::getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/// Reads more bytes; false at the end of the connection or after the deadline.
bool readMore(int handle, std::string &buffer, std::optional<Clock::time_point> deadline)
{
    int wait = -1;
    if (deadline) {
        const auto left = *deadline - Clock::now();
        wait = static_cast<int>(left / std::chrono::milliseconds(1));
        if (wait <= 0)
            return false;
    }
    pollfd entry{handle, POLLIN, 0};
    if (::poll(&entry, 1, wait) <= 0)
        return false;
    char bytes[16384];
    const auto count = ::recv(handle, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool writeAll(int handle, const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto count = ::send(handle, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        done += static_cast<std::size_t>(count);
    }
    return true;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return text;
}

std::string percentDecoded(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

struct Message
{
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::string body;
};

std::optional<Message> readMessage(int handle, std::string &buffer,
                                   std::optional<Clock::time_point> deadline)
{
    auto end = buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!readMore(handle, buffer, deadline))
            return std::nullopt;
        end = buffer.find("\r\n\r\n");
    }
    Message message;
    std::size_t at = buffer.find("\r\n");
    message.firstLine = buffer.substr(0, at);
    while (at < end) {
        const auto begin = at + 2;
        at = buffer.find("\r\n", begin);
        const auto line = buffer.substr(begin, at - begin);
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers[lowerCase(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
    }
    const auto length = message.headers.find("content-length");
    const std::size_t size = length == message.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < end + 4 + size) {
        if (!readMore(handle, buffer, deadline))
            return std::nullopt;
    }
    message.body = buffer.substr(end + 4, size);
    buffer.erase(0, end + 4 + size);
    return message;
}

HttpRequest requestFrom(Message message)
{
    HttpRequest request;
    const auto first = message.firstLine.find(' ');
    const auto second = message.firstLine.find(' ', first + 1);
    request.method = message.firstLine.substr(0, first);
    const auto target = message.firstLine.substr(first + 1, second - first - 1);
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    std::size_t at = mark;
    while (at != std::string::npos) {
        const auto next = target.find('&', at + 1);
        const auto pair =
            target.substr(at + 1, next == std::string::npos ? std::string::npos : next - at - 1);
        const auto equals = pair.find('=');
        if (equals != std::string::npos)
            request.query[pair.substr(0, equals)] = percentDecoded(pair.substr(equals + 1));
        at = next;
    }
    request.headers = std::move(message.headers);
    request.body = std::move(message.body);
    return request;
}

void serveConnection(int handle, const HttpHandler &handler)
{
    std::string buffer;
    while (auto message = readMessage(handle, buffer, std::nullopt)) {
        HttpResponse response;
        try {
            response = handler(requestFrom(*std::move(message)));
        } catch (const std::exception &) {
            response.status = 400;
        }
        if (response.isDropped)
            break;
        const auto head = "HTTP/1.1 " + std::to_string(response.status)
                          + " -\r\nContent-Type: application/json\r\nContent-Length: "
                          + std::to_string(response.body.size()) + "\r\n\r\n";
        if (!writeAll(handle, head + response.body))
            break;
    }
    ::close(handle);
}

} // namespace

std::uint16_t serveHttp(HttpHandler handler)
{
    const int listener = openSocket();
    const auto port = bindTo(listener, 0);
    ::listen(listener, 256);
    std::thread([listener, handler = std::move(handler)] {
        for (;;) {
            const int handle = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0)
                continue;
            const int on = 1;
            ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([handle, &handler] { serveConnection(handle, handler); }).detach();
        }
    }).detach();
    return port;
}

std::optional<HttpResponse> callHttp(std::uint16_t port, const std::string &method,
                                     const std::string &target, const std::string &body,
                                     int timeoutMs, const std::string &extraHeaders)
{
    const auto deadline = Clock::now() + std::chrono::milliseconds(timeoutMs);
    const int handle = openSocket();
    const auto address = loopback(port);
    std::optional<HttpResponse> response;
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        const auto head = method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1\r\n" + extraHeaders
                          + "Content-Type: application/json\r\nContent-Length: "
                          + std::to_string(body.size()) + "\r\n\r\n";
        std::string buffer;
        if (writeAll(handle, head + body)) {
            if (auto message = readMessage(handle, buffer, deadline)) {
                const auto space = message->firstLine.find(' ');
                response = HttpResponse{std::stoi(message->firstLine.substr(space + 1)),
                                        std::move(message->body), false};
            }
        }
    }
    ::close(handle);
    return response;
}

std::uint16_t freePort()
{
    // Below the ports that the system gives to clients. Each process has a block of its own, so
    // that scripts that run side by side don't choose the same port before it is bound.
    constexpr int firstPort = 20000;
    constexpr int blockSize = 10;
    constexpr int blocks = 1200;
    static int offset = (::getpid() % blocks) * blockSize;
    for (int tries = 0; tries < blocks * blockSize; ++tries) {
        const int handle = openSocket();
        const auto port = static_cast<std::uint16_t>(firstPort + offset);
        offset = (offset + 1) % (blocks * blockSize);
        const auto address = loopback(port);
        const bool isFree =
            ::bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(handle);
        if (isFree)
            return port;
    }
    throw std::runtime_error("no free port");
}

} // namespace review
