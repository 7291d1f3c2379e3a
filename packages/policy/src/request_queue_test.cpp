// Order of waiting requests, and turns between classes.
#include <sassafrasferry/policy/request_queue.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::policy;
using sassafrasferry::model::RequestClass;

namespace {

Submission request(std::uint64_t id, RequestClass requestClass, bool isRetry = false)
{
    Submission submission;
    submission.id = RequestId{id};
    submission.requestClass = requestClass;
    submission.isRetry = isRetry;
    return submission;
}

} // namespace

TEST_CASE("oldest first, retries before them, cancelled ones gone")
{
    RequestQueue queue;
    queue.push(request(1, RequestClass::Normal));
    queue.push(request(2, RequestClass::Normal));
    queue.push(request(3, RequestClass::Normal, true));
    CHECK(queue.front(RequestClass::Normal)->id == RequestId{3});
    CHECK(queue.erase(RequestId{3}));
    CHECK_FALSE(queue.erase(RequestId{3}));
    CHECK(queue.erase(RequestId{1}));
    CHECK(queue.front(RequestClass::Normal)->id == RequestId{2});
    CHECK(queue.front(RequestClass::Urgent) == nullptr);
    CHECK(queue.size() == 1);
}

TEST_CASE("background work has one turn in sixteen while more pressing work never ends")
{
    // A reconciliation of the night must not wait for good because invoices never stop.
    ClassTurns turns;
    int background = 0;
    for (int i = 0; i < 160; ++i) {
        const std::array<bool, 3> waiting{true, false, true};
        const auto next = turns.next(waiting);
        background += next == RequestClass::Background ? 1 : 0;
        turns.granted(next, waiting);
    }
    CHECK(background == 10);
}
