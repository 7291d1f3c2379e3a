// Tests that requests are answered from a configuration that is recent enough.
#include "../tests/test_node.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

// A configuration has to be in force this long after the store acknowledged it.
constexpr Duration maxDelay = 2s;
constexpr Duration patience = 60s; // for what has to happen eventually

struct Case
{
    std::string name;
    FeedFault fault;
};

const std::vector<Case> cases{
    {"the feed gets no answer", FeedFault::Unanswered},
    {"the feed fails", FeedFault::Fails},
    {"the feed is answered late, with what the table held when it was asked", FeedFault::Late},
};

/// A node that routes requests to the queue `/a/`, kept until the process ends.
TestNode &newNode()
{
    static auto &nodes = *new std::vector<std::unique_ptr<TestNode>>;
    nodes.push_back(std::make_unique<TestNode>("1 /a/"));
    auto &node = *nodes.back();
    const auto latest = bootNow() + patience;
    while (node.request(http::Verb::get, "/a/").result() != http::Status::ok) {
        REQUIRE(bootNow() < latest);
        node.pauseFor(100ms);
    }
    return node;
}

} // namespace

// Guards against requests that are answered on a queue which was dropped long ago: the store can be
// read, but the feed of the operators' table brings nothing new.
TEST_CASE("A dropped queue is gone within the bound while the feed of the configuration is silent",
          "[!mayfail]")
{
    const auto row = GENERATE(from_range(cases));
    CAPTURE(row.name);
    auto &node = newNode();
    node.store.lateness = 5s;
    node.store.faultyFeed = TestPlatform::operatorTable();
    node.store.fault = row.fault;
    // A feed that was asked before the fault sees the change.
    node.pauseFor(3s);
    node.configure("2 /b/");
    node.pauseFor(maxDelay);
    CHECK(node.request(http::Verb::get, "/a/").result() == http::Status::not_found);
    CHECK(node.request(http::Verb::get, "/b/").result() == http::Status::ok);
}
