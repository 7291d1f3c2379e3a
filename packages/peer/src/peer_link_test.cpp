// Messages cross between two links, and what cannot be parsed is passed over.
#include <sassafrasferry/peer/peer_link.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <catch2/catch.hpp>

#include <zmq.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::peer;

namespace {

// A loopback port that was free a moment ago.
model::Endpoint freeEndpoint()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(context,
                                                  {boost::asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

} // namespace

TEST_CASE("what one sends the other receives, with the sender's name, nonsense left out")
{
    boost::asio::io_context context;
    const auto endpointA = freeEndpoint();
    const auto endpointB = freeEndpoint();
    std::vector<messages::Envelope> received;
    PeerLink b(context, "b", {{"a", endpointA}}, [&](const messages::Envelope &envelope) {
        received.push_back(envelope);
        if (received.size() == 3)
            context.stop();
    });
    PeerLink a(context, "a", {{"b", endpointB}}, [](const messages::Envelope &) {});
    REQUIRE(b.open(endpointB).ok());
    REQUIRE(a.open(endpointA).ok());
    zmq::context_t zmq;
    zmq::socket_t stranger(zmq, zmq::socket_type::push);
    stranger.connect("tcp://" + model::toString(endpointB));
    stranger.send(zmq::str_buffer("\xff\xff nonsense"), zmq::send_flags::none);
    std::int64_t next = 1;
    boost::asio::steady_timer timer(context);
    // Sends until the link is up; what is sent before is dropped.
    std::function<void()> tick = [&] {
        messages::Envelope envelope;
        envelope.mutable_heartbeat()->set_revision(next);
        if (a.send("b", envelope))
            ++next;
        timer.expires_after(std::chrono::milliseconds(5));
        timer.async_wait([&](const boost::system::error_code &) { tick(); });
    };
    tick();
    context.run();
    REQUIRE(received.size() == 3);
    CHECK(received[0].sender() == "a");
    CHECK(received[2].heartbeat().revision() == 3);
    CHECK_FALSE(a.send("nobody", {}));
}
