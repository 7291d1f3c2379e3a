// Tests what an entry VM that follows a leader tells it in hellos, and what the leader makes of it.
#include <sassafrasferry/coordination/hello.h>

#include "../tests/test_node.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Duration patience = 60s; // for what has to happen eventually
constexpr Duration outage = 3s;
constexpr Duration tolerance = 1s; // between two hellos, and for a process that stands still
constexpr Duration maxAge = 2s; // of the newest answer while the store answers

struct Case
{
    std::string name;
    FeedFault fault; // of the operators' table
    bool leaderAnswers; // otherwise the follower reads the lease
};

const std::vector<Case> cases{
    {"the follower reads the configuration", FeedFault::None, true},
    {"the follower reads the lease", FeedFault::Unanswered, false},
};

/// An entry VM that follows a leader, both kept until the process ends.
class FollowingNode
{
public:
    explicit FollowingNode(bool leaderAnswers, ConfigurationTimes configuration = {})
        : node("1 /q/", options(configuration))
    {
        const auto address = freeEndpoint();
        this->node.addPeer(address, [this, leaderAnswers](const auto &question) {
            if (isHello(question))
                this->hello = question;
            messages::JobAnswer answer;
            answer.set_leads(leaderAnswers);
            answer.set_lease_version(++this->leaseVersion);
            return answer;
        });
        messages::LeaseRecord record;
        record.set_holder("leader");
        record.set_address(model::toString(address));
        record.set_term(1);
        this->node.commit(leaseTransaction(record, store::absent));
    }

    /// Age of the store's newest answer as the next hello tells it; `nullopt` if it tells none.
    std::optional<Duration> nextAge()
    {
        this->hello.reset();
        const auto latest = bootNow() + patience;
        while (!this->hello && bootNow() < latest)
            this->node.pauseFor(10ms);
        REQUIRE(this->hello);
        if (!this->hello->has_store_answer_age_milliseconds())
            return std::nullopt;
        return std::chrono::milliseconds(this->hello->store_answer_age_milliseconds());
    }

    TestNode node;

private:
    static NodeOptions options(ConfigurationTimes configuration)
    {
        NodeOptions options;
        options.configuration = configuration;
        // The lease isn't taken, neither before its row is written nor after.
        options.leadership.takeDelay = patience;
        options.leadership.term = patience;
        return options;
    }

    std::optional<messages::JobQuestion> hello; // the newest
    std::int64_t leaseVersion = 1;
};

/// A new node, kept until the process ends.
template<typename Node, typename... Arguments>
Node &newNode(Arguments &&...arguments)
{
    static auto &nodes = *new std::vector<std::unique_ptr<Node>>;
    nodes.push_back(std::make_unique<Node>(std::forward<Arguments>(arguments)...));
    return *nodes.back();
}

/// Counts the log lines that tell that starts pause.
class PauseCount : public google::LogSink
{
public:
    PauseCount()
    {
        google::AddLogSink(this);
    }

    ~PauseCount() override
    {
        google::RemoveLogSink(this);
    }

    PauseCount(const PauseCount &) = delete;
    PauseCount &operator=(const PauseCount &) = delete;

    void send(google::LogSeverity, const char *, const char *, int, const tm *, const char *message,
              std::size_t length) override
    {
        const std::string_view line(message, length);
        this->pauses += line.find("event=starts-paused") != std::string_view::npos ? 1 : 0;
    }

    int pauses = 0;
};

} // namespace

// Guards against a leader that alone is cut off from the store and hears nothing of its answers to
// others, or that hears of answers which the store didn't give.
TEST_CASE("A follower's hellos tell how long ago the store last answered it")
{
    const auto row = GENERATE(from_range(cases));
    CAPTURE(row.name);
    auto &follower = newNode<FollowingNode>(row.leaderAnswers);
    auto &store = follower.node.store;
    store.faultyFeed = TestPlatform::operatorTable();
    store.fault = row.fault;
    follower.node.pauseFor(outage);
    const auto age = follower.nextAge();
    REQUIRE(age);
    CHECK(*age < maxAge);
    store.isAway = true;
    follower.node.pauseFor(outage);
    const auto ageWithoutStore = follower.nextAge();
    REQUIRE(ageWithoutStore);
    CHECK(*ageWithoutStore > outage - tolerance);
    store.isAway = false;
    follower.node.pauseFor(tolerance);
    const auto ageAfterwards = follower.nextAge();
    REQUIRE(ageAfterwards);
    CHECK(*ageAfterwards < maxAge);
}

// Guards against a leader that alone is cut off from the store and doesn't hear of cancellations
// that others store, as they read nothing at the time.
TEST_CASE("A cancellation that a follower stored counts as an answer of the store in its hellos")
{
    // The follower doesn't read the configuration again.
    auto &follower = newNode<FollowingNode>(true, ConfigurationTimes{400s, std::nullopt});
    auto &node = follower.node;
    node.pauseFor(tolerance); // until the configuration is known
    REQUIRE(node.request(http::Verb::post, "/q/j1").result() == http::Status::ok);
    node.pauseFor(outage);
    const auto ageBefore = follower.nextAge();
    REQUIRE(ageBefore);
    CHECK(*ageBefore > outage - tolerance);
    REQUIRE(node.request(http::Verb::delete_, "/q/j1").result() == http::Status::ok);
    const auto ageAfterwards = follower.nextAge();
    REQUIRE(ageAfterwards);
    CHECK(*ageAfterwards < tolerance);
}

// Guards against hellos that the leader receives but doesn't heed.
TEST_CASE("A leader without the store pauses starts once a hello tells that it answers others")
{
    struct Row
    {
        std::string name;
        std::optional<Duration> age; // of the store's answer
        bool pauses;
    };
    const std::vector<Row> rows{
        {"the store answers the peer", 0s, true},
        {"it doesn't", 60s, false},
        {"the peer runs an earlier version", std::nullopt, false},
    };
    const auto row = GENERATE_COPY(from_range(rows));
    CAPTURE(row.name);
    auto &node = newNode<TestNode>("1 /q/");
    const auto latest = bootNow() + patience;
    while (node.request(http::Verb::get, "/q/").result() != http::Status::ok) {
        REQUIRE(bootNow() < latest);
        node.pauseFor(100ms);
    }
    node.pauseFor(1s); // until the rows of workers are read as well
    const PauseCount count;
    node.store.isAway = true;
    const auto begin = bootNow();
    while (bootNow() - begin < outage) {
        const auto now = bootNow();
        node.sayHello(helloOf(0, row.age ? now - *row.age : Instant{}, now));
        node.pauseFor(200ms);
    }
    if (row.pauses) {
        CHECK(count.pauses > 0);
        return;
    }
    // A process that stands still hears no hellos.
    const bool stoodStill = node.stalledAt > begin;
    CHECK((count.pauses == 0 || stoodStill));
}
