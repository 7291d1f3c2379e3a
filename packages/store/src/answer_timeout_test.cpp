#include <sassafrasferry/store/answer_timeout.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace sassafrasferry::store;
using std::chrono::milliseconds;

namespace {

constexpr int lost = 0;

struct Case
{
    std::string name;
    std::vector<int> answers; // ms, in this order; `lost`: none came
    int wait; // ms
};

const std::vector<Case> cases{
    {"at first", {}, 250},
    {"a quick store", {8, 9, 8, 12}, 250},
    {"a loss now and then", {8, lost, 9, lost, 8}, 250},
    {"one loss", {8, lost}, 500},
    {"a store that fell silent", {8, lost, lost, lost, lost}, 1500},
    {"a slow store", {100}, 800},
    {"a very slow store", {600}, 1500},
};

} // namespace

// Callers wait for their job to be stored; two of five answers of the store get lost. With the wait
// of the slowest store, each loss takes half of a caller's time, and all later jobs queue behind.
TEST_CASE("The wait for an answer follows what answers take")
{
    const auto row = GENERATE(from_range(cases));
    CAPTURE(row.name);
    AnswerTimeout timeout;
    for (const auto answer : row.answers) {
        if (answer == lost)
            timeout.missed();
        else
            timeout.answered(milliseconds(answer));
    }
    CHECK(timeout.wait() == milliseconds(row.wait));
}

TEST_CASE("A store that is quick again is soon taken for quick")
{
    AnswerTimeout timeout;
    timeout.answered(milliseconds(600));
    int answers = 0;
    while (timeout.wait() > milliseconds(250)) {
        timeout.answered(milliseconds(8));
        ++answers;
    }
    CHECK(answers < 40); // some two seconds of a leader's writes
}
