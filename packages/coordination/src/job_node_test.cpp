// Tests the counts of pending jobs that a leading entry VM answers while it reads the table of
// accepted jobs late or not at all.
#include "../tests/test_node.h"

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

constexpr const char *queuePrefix = "/q/";
constexpr Duration maxCountAge = 2s; // a count of pending jobs may be this old
constexpr Duration submitFor = 2s;
constexpr Duration countFor = 9s; // includes a time without new jobs that is longer than a feed
constexpr Duration roundPause = 100ms;
constexpr Duration patience = 60s; // for what has to happen eventually

/// An answer to a request for the number of pending jobs.
struct CountAnswer
{
    Instant askedAt{};
    http::Response response;

    bool isCount() const
    {
        return this->response.result() == http::Status::ok;
    }

    std::size_t count() const
    {
        return http::parseJson(this->response.body()).at("pending").get<std::size_t>();
    }
};

/// An entry VM whose accepted jobs are counted.
class LeadingNode : public TestNode
{
public:
    LeadingNode()
        : TestNode(std::string("1 ") + queuePrefix)
    {
        REQUIRE(this->awaitCount());
    }

    /// Submits a job. Once it is accepted, counts that are too old have to include it.
    void submit()
    {
        const auto target = queuePrefix + ("j" + std::to_string(this->submittedJobs++));
        const auto response = this->request(http::Verb::post, target);
        REQUIRE(response.result() == http::Status::ok);
        this->acceptedAt.push_back(bootNow());
    }

    CountAnswer askCount()
    {
        CountAnswer answer;
        answer.askedAt = bootNow();
        answer.response = this->request(http::Verb::get, queuePrefix);
        return answer;
    }

    /// Asks until the answer is the number of all jobs. False if that takes too long.
    bool awaitCount()
    {
        const auto latest = bootNow() + patience;
        while (bootNow() < latest) {
            const auto answer = this->askCount();
            if (answer.isCount() && answer.count() == this->submittedJobs)
                return true;
            this->pauseFor(roundPause);
        }
        return false;
    }

    /// Number of jobs that were accepted so long before this time that a count must include them.
    std::size_t jobsAcceptedLongBefore(Instant time) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->acceptedAt.begin(), this->acceptedAt.end(),
                          [&](Instant accepted) { return accepted + maxCountAge < time; }));
    }

    std::size_t submittedJobs = 0;

private:
    std::vector<Instant> acceptedAt; // of each job
};

/// A new node, kept until the process ends: a node runs until then.
LeadingNode &newNode()
{
    static auto &nodes = *new std::vector<std::unique_ptr<LeadingNode>>;
    nodes.push_back(std::make_unique<LeadingNode>());
    return *nodes.back();
}

/// What the answers to requests for the count were like.
struct Findings
{
    std::size_t counts = 0;
    std::size_t refusals = 0;
    std::size_t refusalsWithoutStall = 0;
    std::size_t refusalsWithoutWait = 0; ///< without a Retry-After header
    std::size_t countsThatLackJobs = 0;
    std::size_t countsAboveAllJobs = 0;
    std::size_t mostLacking = 0; ///< jobs that a single count lacked
};

/// Submits jobs for a time and asks for the count during a longer one.
Findings submitAndCount(LeadingNode &node)
{
    Findings findings;
    const auto begin = bootNow();
    while (bootNow() - begin < countFor) {
        if (bootNow() - begin < submitFor)
            node.submit();
        const auto answer = node.askCount();
        if (answer.isCount()) {
            ++findings.counts;
            const auto required = node.jobsAcceptedLongBefore(answer.askedAt);
            const auto count = answer.count();
            findings.countsAboveAllJobs += count > node.submittedJobs ? 1 : 0;
            if (count < required) {
                ++findings.countsThatLackJobs;
                findings.mostLacking = std::max(findings.mostLacking, required - count);
            }
        } else {
            ++findings.refusals;
            const bool isRefusal =
                answer.response.result() == http::Status::service_unavailable
                && answer.response.find(http::Field::retry_after) != answer.response.end();
            findings.refusalsWithoutWait += isRefusal ? 0 : 1;
            // A process that stood still has to get its lease confirmed first.
            findings.refusalsWithoutStall += answer.askedAt - node.stalledAt > maxCountAge ? 1 : 0;
        }
        node.pauseFor(roundPause);
    }
    return findings;
}

struct Case
{
    std::string name;
    FeedFault fault;
};

const std::vector<Case> cases{
    {"the feed of jobs gets no answer", FeedFault::Unanswered},
    {"the feed of jobs fails", FeedFault::Fails},
};

} // namespace

// Guards against counts that lack jobs which were accepted many seconds ago. The store confirms the
// leader's lease all the time, while the leader's reads of the accepted jobs get no answer.
TEST_CASE("A count of pending jobs includes all jobs that are older than two seconds")
{
    const auto row = GENERATE(from_range(cases));
    CAPTURE(row.name);
    auto &node = newNode();
    node.store.faultyFeed = table::intake;
    node.store.fault = row.fault;
    const auto findings = submitAndCount(node);
    CAPTURE(node.submittedJobs, findings.counts, findings.refusals, findings.mostLacking);
    CHECK(findings.countsThatLackJobs == 0);
    CHECK(findings.countsAboveAllJobs == 0);
    CHECK(findings.refusalsWithoutWait == 0);
    node.store.fault = FeedFault::None;
    CHECK(node.awaitCount());
}

// Guards against refusals by a leader that has read all jobs: the feed of a table without changes
// answers only every few seconds.
TEST_CASE("A leader whose reads are answered counts its pending jobs at any time")
{
    auto &node = newNode();
    const auto findings = submitAndCount(node);
    CAPTURE(node.submittedJobs, findings.counts, findings.refusals, findings.mostLacking);
    CHECK(findings.refusalsWithoutStall == 0);
    CHECK(findings.refusalsWithoutWait == 0);
    CHECK(findings.countsThatLackJobs == 0);
    CHECK(findings.countsAboveAllJobs == 0);
    CHECK(node.awaitCount());
}

// Guards against callers who are told to come again with a job that the store never takes.
TEST_CASE("A job larger than a row of the store is refused at once with a reason")
{
    auto &node = newNode();
    node.submit();
    const auto begin = bootNow();
    const auto response =
        node.TestNode::submit(queuePrefix + std::string("large"), std::string(70000, 'p'));
    CHECK(response.result() == http::Status::bad_request);
    CHECK(response.find(http::Field::retry_after) == response.end());
    CHECK(bootNow() - begin < 1s);
    node.submit();
}
