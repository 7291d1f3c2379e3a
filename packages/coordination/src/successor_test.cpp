#include <sassafrasferry/coordination/successor.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::coordination;
using std::chrono::milliseconds;

namespace {

struct Heard
{
    std::string address;
    double cores;
    int ago; // ms
};

struct Case
{
    std::string name;
    double own;
    std::vector<Heard> heard;
    std::string better;
};

const std::vector<Case> cases{
    {"alone", 0.12, {}, ""},
    {"equals stay", 0.25, {{"a", 0.25, 0}, {"b", 0.25, 0}}, ""},
    {"a little stronger is not worth it", 0.3, {{"a", 0.5, 0}}, ""},
    {"the strongest of several", 0.12, {{"a", 0.25, 0}, {"b", 0.5, 0}, {"c", 0.3, 0}}, "b"},
    {"one that fell silent may be gone", 0.12, {{"a", 0.5, 1000}}, ""},
    {"one that can't lead says 0", 0.12, {{"a", 0.0, 0}}, ""},
    {"the silent one does not hide another", 0.12, {{"a", 0.5, 1000}, {"b", 0.25, 100}}, "b"},
};

sassafrasferry::messages::JobQuestion helloOf(const Heard &heard)
{
    sassafrasferry::messages::JobQuestion question;
    question.set_address(heard.address);
    question.set_cores(heard.cores);
    return question;
}

} // namespace

TEST_CASE("A weak leader names a stronger entry VM")
{
    const auto row = GENERATE(from_range(cases));
    CAPTURE(row.name);
    const auto now = Instant(std::chrono::seconds(100));
    SuccessorChoice choice(row.own);
    for (const auto &heard : row.heard)
        choice.heard(helloOf(heard), now - milliseconds(heard.ago));
    CHECK(choice.better(now) == row.better);
}

// A weak leader under load: entry VMs ask it for their callers all the time, so its latest question
// is hardly ever a hello. Were each taken for one, no one would seem able to lead.
TEST_CASE("Questions for callers do not hide who could lead")
{
    const auto now = Instant(std::chrono::seconds(100));
    SuccessorChoice choice(0.12);
    choice.heard(helloOf({"a", 0.5, 0}), now);
    sassafrasferry::messages::JobQuestion question;
    question.set_address("a");
    SECTION("about a job")
    {
        question.set_job("7f8be1e1ec950fbc");
    }
    SECTION("about a queue")
    {
        question.set_queue("q");
    }
    choice.heard(question, now);
    CHECK(choice.better(now) == "a");
}
