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
TEST_CASE("A dropped queue is gone within the bound while the feed of the configuration is silent")
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

// Guards against a VM that goes back to an older configuration: two requests wait while it is
// suspended, and only the earlier one names an unknown queue, for which the configuration is read.
TEST_CASE("Requests that waited in a pause are routed by the same configuration")
{
    auto &node = newNode();
    node.store.faultyFeed = TestPlatform::operatorTable();
    node.store.fault = FeedFault::Unanswered;
    node.configure("2 /b/");
    TestNode::block(400ms);
    const std::vector expected{http::Status::not_found, http::Status::ok};
    CHECK(node.requestTogether({"/a/", "/b/"}) == expected);
}

// Guards against jobs on a queue that was dropped while an entry VM was cut off from the store: it
// routes them by its old configuration, and a peer stores them.
TEST_CASE("A job that a peer hands in is refused if its queue has been dropped since")
{
    struct Row
    {
        std::string queue;
        std::int64_t version; // of the sender's configuration
        IntakeResult result;
    };
    const std::vector<Row> rows{
        {"/a/", 1, IntakeResult::Refused}, // dropped in version 2
        {"/b/", 1, IntakeResult::Stored}, // in force
        {"/c/", 3, IntakeResult::Stored}, // added in a version that is not known here yet
    };
    const auto row = GENERATE_COPY(from_range(rows));
    CAPTURE(row.queue);
    auto &node = newNode();
    node.store.faultyFeed = TestPlatform::operatorTable();
    node.store.fault = FeedFault::Unanswered;
    node.configure("2 /b/");
    node.pauseFor(maxDelay);
    messages::JobRecord record;
    record.set_queue(row.queue);
    record.set_configuration(row.version);
    CHECK(node.handIn("j1", record) == row.result);
}

TEST_CASE("A pause of the process is noticed by the first update after it")
{
    struct Row
    {
        std::string name;
        std::vector<Duration> gaps; // between updates
        std::optional<std::size_t> resumedAfter; // number of gaps until the last pause ended
    };
    const std::vector<Row> rows{
        {"timely updates", {100ms, 130ms, 0ms, 199ms}, std::nullopt},
        {"one pause", {100ms, 300ms, 100ms}, 2},
        {"two pauses", {5s, 100ms, 251ms}, 3},
    };
    const auto row = GENERATE_COPY(from_range(rows));
    CAPTURE(row.name);
    const Instant begin{1h};
    PauseWatch pauses(begin);
    auto now = begin;
    Instant resumed{};
    for (std::size_t i = 0; i < row.gaps.size(); ++i) {
        now += row.gaps[i];
        pauses.update(now);
        if (row.resumedAfter == i + 1)
            resumed = now;
    }
    CHECK(pauses.resumedAt() == resumed);
}
