// Which sessions give way, on the loads that the decisions answer.
#include "precompiled.h"

#include <sassafrasferry/http/session_ledger.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::http;
using namespace std::chrono_literals;

namespace {

using Ids = std::vector<SessionLedger::Id>;

/// A ledger that tells sessions by their order of arrival, one a millisecond.
struct Bench
{
    explicit Bench(model::CallerLimits limits)
        : ledger(limits)
    {}

    SessionLedger::Id reading(std::size_t bytes)
    {
        this->now += 1ms;
        const auto id = *this->ledger.admit(this->now).session;
        this->ledger.reading(id, this->now);
        this->yields = this->ledger.hold(id, bytes);
        return id;
    }

    SessionLedger ledger;
    SessionLedger::Time now{};
    Ids yields; // of the last call of `reading`
};

model::CallerLimits limitsOf(std::int64_t pendingBytes)
{
    model::CallerLimits limits;
    limits.headerBytes = 0;
    limits.bodyBytes = 100;
    limits.pendingBytes = pendingBytes;
    return limits;
}

} // namespace

// Guards against a process that runs out of memory for requests that stop short of their end, and
// against a crowd of them that keeps other callers out.
TEST_CASE("the longest unfinished requests give way where requests hold too many bytes")
{
    Bench bench(limitsOf(1000));
    for (int i = 0; i < 10; ++i)
        bench.reading(100);
    CHECK(bench.yields.empty());
    const auto last = bench.reading(150);
    CHECK(bench.yields == Ids{1, 2});
    CHECK(bench.ledger.isYielding(1));
    CHECK(bench.ledger.answer(last));
    CHECK_FALSE(bench.ledger.answer(1));
    bench.ledger.close(1);
    bench.ledger.close(2);
    bench.reading(0);
    CHECK(bench.yields.empty());
}

TEST_CASE("a request gives way itself where answers under way hold all there is")
{
    Bench bench(limitsOf(200));
    for (int i = 0; i < 2; ++i)
        CHECK(bench.ledger.answer(bench.reading(100)));
    const auto large = bench.reading(1);
    CHECK(bench.yields == Ids{large});
    // One that arrives with its first read holds no more than its connection does.
    const auto small = bench.reading(0);
    CHECK(bench.yields.empty());
    CHECK(bench.ledger.answer(small));
    bench.ledger.idle(1, bench.now);
    CHECK(bench.ledger.answer(bench.reading(100)));
}

// Guards against a crowd of silent connections that keeps other callers out.
TEST_CASE("the session that has waited longest for its caller gives way to a new connection")
{
    auto limits = limitsOf(1000);
    limits.connections = 3;
    Bench bench(limits);
    const auto served = bench.reading(0);
    CHECK(bench.ledger.answer(served));
    bench.ledger.idle(served, bench.now);
    const auto silent = *bench.ledger.admit(bench.now + 1ms).session;
    bench.ledger.answer(bench.reading(0));
    const auto first = bench.ledger.admit(bench.now);
    CHECK(first.session.has_value());
    CHECK(first.yields == silent);
    const auto second = bench.ledger.admit(bench.now); // before the one that yields has closed
    CHECK_FALSE(second.session.has_value());
    bench.ledger.close(silent);
    const auto third = bench.ledger.admit(bench.now);
    CHECK(third.yields == first.session);
    bench.ledger.close(*first.session);
    bench.ledger.answer(*third.session);
    CHECK(bench.ledger.admit(bench.now).yields == served);
}

TEST_CASE("a connection is refused where all others are being answered")
{
    auto limits = limitsOf(1000);
    limits.connections = 1;
    Bench bench(limits);
    CHECK(bench.ledger.answer(bench.reading(0)));
    const auto admission = bench.ledger.admit(bench.now);
    CHECK_FALSE(admission.session.has_value());
    CHECK_FALSE(admission.yields.has_value());
}

TEST_CASE("one request within the limits is always read")
{
    Bench bench(limitsOf(0));
    const auto id = bench.reading(200);
    CHECK(bench.yields.empty());
    CHECK(bench.ledger.answer(id));
}
