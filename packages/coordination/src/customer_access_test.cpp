// An entry VM serves the callers that hold a key, and shows each customer its own jobs only.
#include "../tests/test_node.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

constexpr const char *twoCustomers = "1 /a/ /open/ first:k1 second:k2";
constexpr Duration patience = 60s; // for what has to happen eventually
constexpr Duration keyRemovalDelay = 2s;

/// A node that checks keys, kept until the process ends.
TestNode &newNode(const std::string &configuration = twoCustomers)
{
    static auto &nodes = *new std::vector<std::unique_ptr<TestNode>>;
    NodeOptions options;
    options.checksKeys = true;
    options.configuration.maxKeyRemovalDelay = keyRemovalDelay;
    nodes.push_back(std::make_unique<TestNode>(configuration, options));
    auto &node = *nodes.back();
    const auto latest = bootNow() + patience;
    while (node.request(http::Verb::get, "/open/").result() != http::Status::ok) {
        REQUIRE(bootNow() < latest);
        node.pauseFor(100ms);
    }
    return node;
}

/// Repeats the call until its answer has the status. False if that takes longer than `within`.
bool becomes(TestNode &node, const std::string &key, http::Status status, Duration within)
{
    const auto latest = bootNow() + within;
    while (node.request(http::Verb::get, "/a/", key).result() != status) {
        if (bootNow() > latest)
            return false;
        node.pauseFor(50ms);
    }
    return true;
}

} // namespace

// Guards against calls of any kind that are served without a customer's key.
TEST_CASE("every call to a queue needs a key unless the queue is anonymous")
{
    auto &node = newNode();
    struct Row
    {
        http::Verb verb;
        const char *target;
    };
    const std::vector<Row> rows{{http::Verb::post, "j1"},
                                {http::Verb::get, "j1"},
                                {http::Verb::delete_, "j1"},
                                {http::Verb::get, ""}};
    for (const auto &row : rows) {
        CAPTURE(std::string(row.target));
        const auto withoutKey = node.request(row.verb, std::string("/a/") + row.target);
        CHECK(withoutKey.result() == http::Status::unauthorized);
        CHECK(http::fieldOf(withoutKey, "WWW-Authenticate") == "Token");
        CHECK(node.request(row.verb, std::string("/a/") + row.target, "k3").result()
              == http::Status::unauthorized);
        CHECK(node.request(row.verb, std::string("/open/") + row.target).result()
              != http::Status::unauthorized);
    }
    CHECK(node.request(http::Verb::post, "/a/j2", "k1").result() == http::Status::ok);
}

// Guards against a customer that sees, cancels or repeats a job of another one.
TEST_CASE("a customer learns nothing of another customer's job")
{
    auto &node = newNode();
    REQUIRE(node.request(http::Verb::post, "/a/j1", "k1").result() == http::Status::ok);
    REQUIRE(node.request(http::Verb::post, "/open/j2").result() == http::Status::ok);
    // Without a key on the anonymous queue, too.
    const std::vector<http::Response> strangers{node.request(http::Verb::get, "/a/j1", "k2"),
                                                node.request(http::Verb::delete_, "/a/j1", "k2"),
                                                node.request(http::Verb::get, "/open/j1"),
                                                node.request(http::Verb::delete_, "/open/j1")};
    for (const auto &answer : strangers)
        CHECK(answer.result() == http::Status::gone);
    CHECK(node.request(http::Verb::post, "/a/j1", "k2").result() == http::Status::conflict);
    CHECK(node.request(http::Verb::post, "/a/j1", "k1").result() == http::Status::ok);
    CHECK(node.request(http::Verb::get, "/open/j2").result() == http::Status::ok);
    const auto own = node.request(http::Verb::get, "/a/j1", "k1");
    REQUIRE(own.result() == http::Status::ok);
    CHECK(http::parseJson(own.body()).at("state") == "queued");
}

TEST_CASE("keys come and go with versions of the configuration")
{
    auto &node = newNode();
    REQUIRE(node.request(http::Verb::post, "/a/j1", "k1").result() == http::Status::ok);
    node.configure("2 /a/ /open/ first:k4 second:k2");
    CHECK(becomes(node, "k4", http::Status::ok, 2s));
    CHECK(node.request(http::Verb::get, "/a/", "k1").result() == http::Status::unauthorized);
    // The customer still has the job that came with the removed key.
    CHECK(node.request(http::Verb::get, "/a/j1", "k4").result() == http::Status::ok);
}

// Guards against a removed key that is served by an entry VM which the store does not answer.
TEST_CASE("an entry VM without news of the configuration refuses keys once they may be removed")
{
    auto &node = newNode();
    REQUIRE(node.request(http::Verb::post, "/a/j1", "k1").result() == http::Status::ok);
    CHECK(node.isReady());
    node.store.isAway = true;
    node.pauseFor(keyRemovalDelay);
    CHECK_FALSE(node.isReady());
    const auto refused = node.request(http::Verb::get, "/a/j1", "k1");
    CHECK(refused.result() == http::Status::service_unavailable);
    CHECK_FALSE(http::fieldOf(refused, "Retry-After").empty());
    CHECK(node.request(http::Verb::get, "/a/j1", "k3").result()
          == http::Status::service_unavailable);
    node.store.isAway = false;
    CHECK(becomes(node, "k1", http::Status::ok, patience));
}

// Guards against telling a caller that its job doesn't run, when it was accepted before the cap was
// cut and runs once the cap is raised.
TEST_CASE("a job above its customer's cap is refused unless it is stored")
{
    auto &node = newNode("1 /a/ /open/ first:k1=100 second:k2");
    REQUIRE(node.request(http::Verb::post, "/a/j1", "k1").result() == http::Status::ok);
    node.configure("2 /a/ /open/ first:k1=99 second:k2 third:k3");
    REQUIRE(becomes(node, "k3", http::Status::ok, patience));
    CHECK(node.request(http::Verb::post, "/a/j2", "k1").result()
          == http::Status::too_many_requests);
    CHECK(node.request(http::Verb::post, "/a/j1", "k1").result() == http::Status::ok);
    REQUIRE(node.request(http::Verb::post, "/a/j3", "k2").result() == http::Status::ok);
    CHECK(node.request(http::Verb::post, "/a/j3", "k1").result() == http::Status::conflict);
    node.store.isAway = true;
    CHECK(node.request(http::Verb::post, "/a/j4", "k1").result()
          == http::Status::service_unavailable);
    node.store.isAway = false;
}

// Guards against a removed key with which a peer stores a job for an entry VM that does not know of
// the removal.
TEST_CASE("a job that a peer hands in is refused if its key has been removed since")
{
    struct Row
    {
        std::string key;
        std::int64_t version; // of the sender's configuration
        IntakeResult result;
    };
    const std::vector<Row> rows{
        {"k1", 1, IntakeResult::Refused}, // removed in version 2
        {"k2", 1, IntakeResult::Stored},
        {"k5", 3, IntakeResult::Stored}, // added in a version that is not known here yet
        {"", 1, IntakeResult::Stored}, // on an anonymous queue
    };
    auto &node = newNode();
    node.configure("2 /a/ /open/ second:k2");
    REQUIRE(becomes(node, "k1", http::Status::unauthorized, patience));
    for (const auto &row : rows) {
        CAPTURE(row.version, row.result);
        messages::JobRecord record;
        record.set_queue("/a/");
        record.set_configuration(row.version);
        const auto digest = row.key.empty() ? "" : store::sha256(row.key);
        CHECK(node.handIn("job-of-" + row.key, record, digest) == row.result);
    }
}

// Guards against a leader or entry VM of another version during an update: rows of earlier versions
// name no customer, and their jobs stay within reach.
TEST_CASE("a job stored by an earlier version is within reach of its caller")
{
    auto &node = newNode();
    messages::JobRecord record;
    record.set_queue("/a/");
    record.set_configuration(1);
    record.add_steps()->set_count(1);
    REQUIRE(node.handIn("old", record) == IntakeResult::Stored);
    CHECK(node.request(http::Verb::get, "/a/old", "k1").result() == http::Status::ok);
    CHECK(node.request(http::Verb::post, "/a/old", "k1").result() == http::Status::ok);
}
