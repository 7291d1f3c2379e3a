// What a leader learns from hellos of the store's answers to other entry VMs.
#include <sassafrasferry/coordination/peer_store_answers.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

namespace {

const Instant now(1h);

struct Hello
{
    std::string address;
    Duration ago; // when it was heard
    std::optional<Duration> age; // of the store's answer
};

struct Case
{
    std::string name;
    std::vector<Hello> hellos;
    Instant storeAnsweredAt;
    bool isLost;
};

const std::vector<Case> cases{
    {"alone", {}, Instant{}, false},
    {"one is heard", {{"a", 100ms, 300ms}}, now - 400ms, false},
    {"the newest answer", {{"a", 200ms, 1s}, {"b", 200ms, 10ms}}, now - 210ms, false},
    {"an older answer follows", {{"a", 200ms, 0ms}, {"a", 100ms, 1s}}, now - 200ms, false},
    {"the store answers nobody for long", {{"a", 100ms, 5s}}, now - 5100ms, false},
    {"an earlier version", {{"a", 2s, std::nullopt}}, Instant{}, false},
    {"it was heard a moment ago", {{"a", 899ms, 0ms}}, now - 899ms, false},
    {"it is silent", {{"a", 900ms, 0ms}}, now - 900ms, true},
    {"one of two is silent", {{"a", 5s, 0ms}, {"b", 100ms, 0ms}}, now - 100ms, false},
    {"both are silent", {{"a", 5s, 0ms}, {"b", 1s, 0ms}}, now - 1s, true},
    {"only an earlier version is heard", {{"a", 1s, 0ms}, {"b", 0ms, {}}}, now - 1s, true},
    {"it went back to an earlier version", {{"a", 1s, 0ms}, {"a", 0ms, {}}}, now - 1s, true},
    {"it was silent for long", {{"a", 10s, 0ms}}, now - 10s, true},
    {"it is gone", {{"a", 10001ms, 0ms}}, now - 10001ms, false},
};

messages::JobQuestion questionOf(const Hello &hello)
{
    messages::JobQuestion question;
    question.set_address(hello.address);
    if (hello.age)
        question.set_store_answer_age_milliseconds(
            static_cast<std::uint32_t>(*hello.age / std::chrono::milliseconds(1)));
    return question;
}

} // namespace

// Guards against a leader that alone is cut off from the store and takes its knowledge for recent,
// or takes its peers' silence for that of the store.
TEST_CASE("A leader knows when the store last answered a peer, and whether its peers are silent")
{
    const auto row = GENERATE(from_range(cases));
    CAPTURE(row.name);
    PeerStoreAnswers answers;
    for (const auto &hello : row.hellos)
        answers.noteQuestion(questionOf(hello), now - hello.ago);
    CHECK(answers.contact(now).storeAnsweredAt == row.storeAnsweredAt);
    CHECK(answers.contact(now).isLost == row.isLost);
}

TEST_CASE("Questions on behalf of callers tell nothing of the store's answers")
{
    PeerStoreAnswers answers;
    auto question = questionOf({"a", 0ms, 0ms});
    SECTION("about a job")
    {
        question.set_job("7f8be1e1ec950fbc");
    }
    SECTION("about a queue")
    {
        question.set_queue("q");
    }
    SECTION("that hands in a job")
    {
        question.mutable_hand_in();
    }
    answers.noteQuestion(question, now);
    CHECK(answers.contact(now).storeAnsweredAt == Instant{});
}

TEST_CASE("A hello tells the age of the store's last answer to its sender, if there is one")
{
    struct Row
    {
        std::string name;
        Instant storeAnsweredAt;
        std::optional<std::uint32_t> age;
    };
    const std::vector<Row> rows{
        {"never answered", Instant{}, std::nullopt},
        {"just now", now, 0},
        {"some time ago", now - 1500ms, 1500},
        {"later than now", now + 1s, 0},
    };
    for (const auto &row : rows) {
        CAPTURE(row.name);
        const auto hello = helloOf(0.5, row.storeAnsweredAt, now);
        CHECK(isHello(hello));
        CHECK(hello.cores() == 0.5);
        CHECK(hello.has_store_answer_age_milliseconds() == row.age.has_value());
        CHECK(hello.store_answer_age_milliseconds() == row.age.value_or(0));
    }
}
