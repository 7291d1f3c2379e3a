// One ZeroMQ port to receive on and a connection to each address that is written to, driven by an
// io_context.
#pragma once

#include <sassafrasferry/model/settings.h>

#include <absl/status/status.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sassafrasferry::peer {

/// Bytes and messages of one direction.
struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Whether messages wait for a connection that is not there yet.
enum class Unconnected {
    Drop, ///< a message that is late by a reconnection would tell of a state that has passed
    Queue, ///< the message is of use late, or is known as late by its receiver
};

class MessagePort
{
public:
    using Receive = std::function<void(std::string_view bytes)>;

    MessagePort(boost::asio::io_context &context, Unconnected unconnected, Receive receive);
    ~MessagePort();
    MessagePort(const MessagePort &) = delete;
    MessagePort &operator=(const MessagePort &) = delete;

    absl::Status open(const model::Endpoint &own);
    /// Begins to connect; `send` does so too.
    absl::Status connect(const model::Endpoint &peer);
    /// False if the message was dropped.
    bool send(const model::Endpoint &peer, std::string_view bytes);

    Traffic sent() const;
    Traffic received() const;

private:
    struct Sockets;

    void waitReadable();
    void drain();

    Unconnected unconnected;
    Receive receive;
    std::unique_ptr<Sockets> sockets;
    Traffic sentTraffic;
    Traffic receivedTraffic;
};

} // namespace sassafrasferry::peer
