// ZeroMQ sockets on an io_context: one PULL socket to receive, one PUSH socket for each peer.
#include <sassafrasferry/peer/peer_link.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>

#include <zmq.hpp>

namespace sassafrasferry::peer {

namespace {

namespace asio = boost::asio;

constexpr int queueBound = 1000; // messages for one peer
constexpr int reconnectMilliseconds = 100;
constexpr int longestReconnectMilliseconds = 1000;
constexpr std::int64_t largestMessage = 16LL * 1024 * 1024;
constexpr auto sweep = std::chrono::milliseconds(100);

std::string urlOf(const model::Endpoint &endpoint)
{
    return "tcp://" + model::toString(endpoint);
}

} // namespace

struct PeerLink::Sockets
{
    explicit Sockets(asio::io_context &context)
        : pull(this->zmq, zmq::socket_type::pull)
        , readable(context)
        , sweeper(context)
    {}

    ~Sockets()
    {
        // The descriptor belongs to ZeroMQ.
        if (this->readable.is_open())
            this->readable.release();
    }

    zmq::context_t zmq{1};
    zmq::socket_t pull;
    std::map<std::string, zmq::socket_t> pushes;
    asio::posix::stream_descriptor readable;
    asio::steady_timer sweeper;
};

PeerLink::PeerLink(asio::io_context &context, std::string self,
                   std::vector<model::PeerSettings> peers, Receive receive)
    : self(std::move(self))
    , peers(std::move(peers))
    , receive(std::move(receive))
    , sockets(std::make_unique<Sockets>(context))
{}

PeerLink::~PeerLink() = default;

absl::Status PeerLink::open(const model::Endpoint &own)
{
    try {
        this->sockets->pull.set(zmq::sockopt::linger, 0);
        this->sockets->pull.set(zmq::sockopt::maxmsgsize, largestMessage);
        this->sockets->pull.bind(urlOf(own));
        for (const auto &peer : this->peers) {
            zmq::socket_t push(this->sockets->zmq, zmq::socket_type::push);
            push.set(zmq::sockopt::linger, 0);
            push.set(zmq::sockopt::immediate, 1);
            push.set(zmq::sockopt::sndhwm, queueBound);
            push.set(zmq::sockopt::reconnect_ivl, reconnectMilliseconds);
            push.set(zmq::sockopt::reconnect_ivl_max, longestReconnectMilliseconds);
            push.connect(urlOf(peer.endpoint));
            this->sockets->pushes.emplace(peer.name, std::move(push));
        }
        this->sockets->readable.assign(this->sockets->pull.get(zmq::sockopt::fd));
    } catch (const zmq::error_t &error) {
        return absl::UnavailableError(model::toString(own) + ": " + error.what());
    }
    this->drain();
    return absl::OkStatus();
}

// ZeroMQ's descriptor is edge-triggered: it may only be waited on when all messages have been
// taken. An edge that is missed all the same would silence a peer for good; the sweep bounds that.
void PeerLink::waitReadable()
{
    this->sockets->sweeper.expires_after(sweep);
    this->sockets->sweeper.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->sockets->readable.cancel();
    });
    this->sockets->readable.async_wait(asio::posix::stream_descriptor::wait_read,
                                       [this](const boost::system::error_code &) {
                                           if (!this->sockets->readable.is_open())
                                               return;
                                           this->sockets->sweeper.cancel();
                                           this->drain();
                                       });
}

void PeerLink::drain()
{
    zmq::message_t message;
    while (this->sockets->pull.recv(message, zmq::recv_flags::dontwait)) {
        ++this->receivedTraffic.messages;
        this->receivedTraffic.bytes += message.size();
        messages::Envelope envelope;
        if (envelope.ParseFromArray(message.data(), static_cast<int>(message.size())))
            this->receive(envelope);
    }
    this->waitReadable();
}

bool PeerLink::send(const std::string &peer, messages::Envelope envelope)
{
    const auto at = this->sockets->pushes.find(peer);
    if (at == this->sockets->pushes.end())
        return false;
    envelope.set_sender(this->self);
    const auto bytes = envelope.SerializeAsString();
    const auto result = at->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    if (!result)
        return false;
    ++this->sentTraffic.messages;
    this->sentTraffic.bytes += bytes.size();
    return true;
}

void PeerLink::broadcast(const messages::Envelope &envelope)
{
    for (const auto &peer : this->peers)
        this->send(peer.name, envelope);
}

Traffic PeerLink::sent() const
{
    return this->sentTraffic;
}

Traffic PeerLink::received() const
{
    return this->receivedTraffic;
}

} // namespace sassafrasferry::peer
