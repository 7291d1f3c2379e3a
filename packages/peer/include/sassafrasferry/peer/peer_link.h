// Messages between entry VMs: ZeroMQ with protobuf, driven by the control thread's io_context.
#pragma once

#include <sassafrasferry/messages/peer.pb.h>
#include <sassafrasferry/model/settings.h>

#include <absl/status/status.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sassafrasferry::peer {

/// Bytes and messages of one direction.
struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Sends to peers and receives from them. Nothing is queued for a peer that is not connected: a
/// message that is late by a reconnection would tell of a state that has passed.
class PeerLink
{
public:
    using Receive = std::function<void(const messages::Envelope &)>;

    PeerLink(boost::asio::io_context &context, std::string self,
             std::vector<model::PeerSettings> peers, Receive receive);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Binds the own endpoint and starts connecting to the peers.
    absl::Status open(const model::Endpoint &own);
    /// Sends to one peer. False if it is not connected; the message is then dropped.
    bool send(const std::string &peer, messages::Envelope envelope);
    /// Sends to all peers that are connected.
    void broadcast(const messages::Envelope &envelope);

    Traffic sent() const;
    Traffic received() const;

private:
    struct Sockets;

    void waitReadable();
    void drain();

    std::string self;
    std::vector<model::PeerSettings> peers;
    Receive receive;
    std::unique_ptr<Sockets> sockets;
    Traffic sentTraffic;
    Traffic receivedTraffic;
};

} // namespace sassafrasferry::peer
