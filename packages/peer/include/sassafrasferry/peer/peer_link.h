// Messages between entry VMs: ZeroMQ with protobuf, driven by the control thread's io_context.
#pragma once

#include <sassafrasferry/messages/peer.pb.h>
#include <sassafrasferry/peer/message_port.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sassafrasferry::peer {

/// Sends to peers and receives from them. Nothing is queued for a peer that is not connected: a
/// message that is late by a reconnection would tell of a state that has passed.
class PeerLink
{
public:
    using Receive = std::function<void(const messages::Envelope &)>;

    PeerLink(boost::asio::io_context &context, std::string self,
             std::vector<model::PeerSettings> peers, Receive receive);

    /// Binds the own endpoint and starts connecting to the peers.
    absl::Status open(const model::Endpoint &own);
    /// Sends to one peer. False if it is not connected; the message is then dropped.
    bool send(const std::string &peer, messages::Envelope envelope);
    /// Sends to all peers that are connected.
    void broadcast(const messages::Envelope &envelope);

    Traffic sent() const;
    Traffic received() const;

private:
    std::string self;
    std::vector<model::PeerSettings> peers;
    MessagePort port;
};

} // namespace sassafrasferry::peer
