// Envelopes to and from named peers.
#include <sassafrasferry/peer/peer_link.h>

#include <algorithm>

namespace sassafrasferry::peer {

PeerLink::PeerLink(boost::asio::io_context &context, std::string self,
                   std::vector<model::PeerSettings> peers, Receive receive)
    : self(std::move(self))
    , peers(std::move(peers))
    , port(context, Unconnected::Drop, [receive = std::move(receive)](std::string_view bytes) {
        messages::Envelope envelope;
        if (envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
            receive(envelope);
    })
{}

absl::Status PeerLink::open(const model::Endpoint &own)
{
    auto status = this->port.open(own);
    if (!status.ok())
        return status;
    for (const auto &peer : this->peers) {
        auto connected = this->port.connect(peer.endpoint);
        if (!connected.ok())
            return connected;
    }
    return absl::OkStatus();
}

bool PeerLink::send(const std::string &peer, messages::Envelope envelope)
{
    const auto at = std::find_if(this->peers.begin(), this->peers.end(),
                                 [&](const auto &known) { return known.name == peer; });
    if (at == this->peers.end())
        return false;
    envelope.set_sender(this->self);
    return this->port.send(at->endpoint, envelope.SerializeAsString());
}

void PeerLink::broadcast(const messages::Envelope &envelope)
{
    for (const auto &peer : this->peers)
        this->send(peer.name, envelope);
}

Traffic PeerLink::sent() const
{
    return this->port.sent();
}

Traffic PeerLink::received() const
{
    return this->port.received();
}

} // namespace sassafrasferry::peer
