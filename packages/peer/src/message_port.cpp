// ZeroMQ sockets on an io_context: one PULL socket to receive, one PUSH socket for each peer.
#include <sassafrasferry/peer/message_port.h>

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
constexpr int pingMilliseconds = 1000; // an open connection may have gone silent for good
constexpr int pingTimeoutMilliseconds = 1500;
constexpr std::int64_t largestMessage = 16LL * 1024 * 1024;
constexpr auto sweep = std::chrono::milliseconds(100);

std::string urlOf(const model::Endpoint &endpoint)
{
    return "tcp://" + model::toString(endpoint);
}

} // namespace

struct MessagePort::Sockets
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
    std::map<std::string, zmq::socket_t> pushes; // by address
    asio::posix::stream_descriptor readable;
    asio::steady_timer sweeper;
};

MessagePort::MessagePort(asio::io_context &context, Unconnected unconnected, Receive receive)
    : unconnected(unconnected)
    , receive(std::move(receive))
    , sockets(std::make_unique<Sockets>(context))
{}

MessagePort::~MessagePort() = default;

absl::Status MessagePort::open(const model::Endpoint &own)
{
    try {
        this->sockets->pull.set(zmq::sockopt::linger, 0);
        this->sockets->pull.set(zmq::sockopt::maxmsgsize, largestMessage);
        this->sockets->pull.bind(urlOf(own));
        this->sockets->readable.assign(this->sockets->pull.get(zmq::sockopt::fd));
    } catch (const zmq::error_t &error) {
        return absl::UnavailableError(model::toString(own) + ": " + error.what());
    }
    this->drain();
    return absl::OkStatus();
}

absl::Status MessagePort::connect(const model::Endpoint &peer)
{
    const auto address = model::toString(peer);
    if (this->sockets->pushes.count(address) != 0)
        return absl::OkStatus();
    try {
        zmq::socket_t push(this->sockets->zmq, zmq::socket_type::push);
        push.set(zmq::sockopt::linger, 0);
        push.set(zmq::sockopt::immediate, this->unconnected == Unconnected::Drop ? 1 : 0);
        push.set(zmq::sockopt::sndhwm, queueBound);
        push.set(zmq::sockopt::reconnect_ivl, reconnectMilliseconds);
        push.set(zmq::sockopt::reconnect_ivl_max, longestReconnectMilliseconds);
        push.set(zmq::sockopt::heartbeat_ivl, pingMilliseconds);
        push.set(zmq::sockopt::heartbeat_timeout, pingTimeoutMilliseconds);
        push.connect(urlOf(peer));
        this->sockets->pushes.emplace(address, std::move(push));
    } catch (const zmq::error_t &error) {
        return absl::UnavailableError(address + ": " + error.what());
    }
    return absl::OkStatus();
}

// ZeroMQ's descriptor is edge-triggered: it may only be waited on when all messages have been
// taken. An edge that is missed all the same would silence a peer for good; the sweep bounds that.
void MessagePort::waitReadable()
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

void MessagePort::drain()
{
    zmq::message_t message;
    while (this->sockets->pull.recv(message, zmq::recv_flags::dontwait)) {
        ++this->receivedTraffic.messages;
        this->receivedTraffic.bytes += message.size();
        this->receive({static_cast<const char *>(message.data()), message.size()});
    }
    this->waitReadable();
}

bool MessagePort::send(const model::Endpoint &peer, std::string_view bytes)
{
    if (!this->connect(peer).ok())
        return false;
    auto &push = this->sockets->pushes.at(model::toString(peer));
    if (!push.send(zmq::buffer(bytes.data(), bytes.size()), zmq::send_flags::dontwait))
        return false;
    ++this->sentTraffic.messages;
    this->sentTraffic.bytes += bytes.size();
    return true;
}

Traffic MessagePort::sent() const
{
    return this->sentTraffic;
}

Traffic MessagePort::received() const
{
    return this->receivedTraffic;
}

} // namespace sassafrasferry::peer
