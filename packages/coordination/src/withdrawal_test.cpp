// Jobs that are cancelled before the store has them, while a hand-in of the job is still on its
// way.
#include "../tests/test_node.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Duration patience = 60s; // for what has to happen eventually

/// A node that leads, kept until the process ends.
TestNode &newNode(const std::string &configuration, bool checksKeys)
{
    static auto &nodes = *new std::vector<std::unique_ptr<TestNode>>;
    NodeOptions options;
    options.checksKeys = checksKeys;
    nodes.push_back(std::make_unique<TestNode>(configuration, options));
    auto &node = *nodes.back();
    const auto latest = bootNow() + patience;
    while (node.request(http::Verb::get, "/open/").result() != http::Status::ok) {
        REQUIRE(bootNow() < latest);
        node.pauseFor(100ms);
    }
    return node;
}

messages::JobRecord recordOfCustomer(const std::string &customer)
{
    jobs::JobSpec spec;
    spec.steps.emplace_back();
    spec.steps.front().count = 1;
    jobs::QueueTerms terms;
    terms.queue = "/open/";
    terms.service = "s";
    auto record = recordOf(spec, terms);
    record.set_customer(customer);
    record.set_configuration(1);
    return record;
}

/// A hand-in that arrives after the cancellation of an unknown job was answered.
struct LateHandIn
{
    std::string name;
    std::string cancelledWith; // key; empty: none
    std::string submittedBy; // customer; empty: none
    bool isStored;
};

const std::vector<LateHandIn> lateHandIns{
    {"without customers", "", "", false},
    {"of the customer who cancelled", "k1", "first", false},
    {"of another customer", "k1", "second", true},
    {"of a caller without a key", "k1", "", false},
};

} // namespace

// Guards against a job that is stored and runs after its caller was told that there is no such job.
TEST_CASE("A hand-in that arrives after its job was cancelled is not stored")
{
    const auto row = GENERATE(from_range(lateHandIns));
    CAPTURE(row.name);
    auto &node = newNode("1 /open/ /a/ first:k1 second:k2", true);
    const auto target = row.cancelledWith.empty() ? "/open/j" : "/a/j";
    const auto cancel = [&] {
        return row.cancelledWith.empty()
                   ? node.request(http::Verb::delete_, target)
                   : node.request(http::Verb::delete_, target, row.cancelledWith);
    };
    REQUIRE(cancel().result() == http::Status::gone);
    const auto result = node.handIn("j", recordOfCustomer(row.submittedBy));
    REQUIRE(result);
    CHECK((*result == IntakeResult::Stored) == row.isStored);
    CHECK(cancel().result() == http::Status::gone);
}

// Guards against callers who see a job that nobody has submitted, or take its repetition for one
// that runs.
TEST_CASE("A job that was cancelled before it was stored stays unknown")
{
    auto &node = newNode("1 /open/", false);
    REQUIRE(node.request(http::Verb::delete_, "/open/j").result() == http::Status::gone);
    CHECK(node.request(http::Verb::get, "/open/j").result() == http::Status::gone);
    CHECK(node.request(http::Verb::delete_, "/open/j").result() == http::Status::gone);
    const auto repeated = node.submit("/open/j", "payload");
    CHECK(repeated.result() == http::Status::gone);
    CHECK(repeated.find(http::Field::retry_after) == repeated.end());
    CHECK(node.request(http::Verb::get, "/open/j").result() == http::Status::gone);
    CHECK(node.submit("/open/k", "payload").result() == http::Status::ok);
    CHECK(node.request(http::Verb::delete_, "/open/k").result() == http::Status::ok);
}

// Guards against a final answer to a cancellation that the store has not taken.
TEST_CASE("A cancellation of an unknown job is not confirmed while the store takes no writes")
{
    auto &node = newNode("1 /open/", false);
    node.store.refusesCommits(true);
    const auto response = node.request(http::Verb::delete_, "/open/j");
    CHECK(response.result() == http::Status::service_unavailable);
    CHECK(response.find(http::Field::retry_after) != response.end());
    node.store.refusesCommits(false);
    const auto latest = bootNow() + patience;
    while (node.request(http::Verb::delete_, "/open/j").result() != http::Status::gone) {
        REQUIRE(bootNow() < latest);
        node.pauseFor(100ms);
    }
}

// Guards against callers with little time who are told to come again although the answer is known.
TEST_CASE("A cancellation whose answer is known needs no time to be stored")
{
    auto &node = newNode("1 /open/", false);
    REQUIRE(node.request(http::Verb::delete_, "/open/j").result() == http::Status::gone);
    http::Request request{http::Verb::delete_, "/open/j", 11};
    request.set(http::Field::host, queueHost);
    request.set(TestPlatform::deadlineHeader(), "1");
    CHECK(node.send(request).result() == http::Status::gone);
}
