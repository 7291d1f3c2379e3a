// Which calls may be served, for each state of the key and age of the configuration.
#include <sassafrasferry/policy/caller_access.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::policy;
using namespace std::chrono_literals;

namespace {

constexpr KeyTimes times{3s, 5s};

struct Case
{
    KeyState key;
    Duration age;
    Access access;
};

const std::vector<Case> cases{
    {KeyState::NotNeeded, 0s, Access::Allowed},
    {KeyState::NotNeeded, 1h, Access::Allowed},
    {KeyState::Missing, 0s, Access::Unauthenticated},
    {KeyState::Missing, 1h, Access::Unauthenticated},
    {KeyState::Malformed, 0s, Access::Unauthenticated},
    {KeyState::Malformed, 1h, Access::Unauthenticated},
    {KeyState::Unknown, 0s, Access::Unauthenticated},
    {KeyState::Unknown, 3s, Access::Unauthenticated},
    {KeyState::Unknown, 3001ms, Access::Unavailable},
    {KeyState::Held, 0s, Access::Allowed},
    {KeyState::Held, 5s, Access::Allowed},
    {KeyState::Held, 5001ms, Access::Unavailable},
    {KeyState::Held, 1h, Access::Unavailable},
};

/// A change of one key, and a call with that key. Times are seconds.
struct Ordering
{
    double acknowledged = 0; ///< when the store acknowledged the change
    double covered = 0; ///< every change acknowledged until then is known
    double sent = 0; ///< when the caller sent the call
    double decided = 0; ///< later than `sent`: the call waited, or the process was suspended
};

Access decide(const Ordering &row, bool isRemoval, const KeyTimes &bounds)
{
    const bool isKnown = row.acknowledged <= row.covered;
    const auto key = isKnown == isRemoval ? KeyState::Unknown : KeyState::Held;
    return decideAccess(key, fromSeconds(row.decided - row.covered), bounds);
}

/// Calls `onOrdering` for all orderings of change, last answer of the store, call and decision
/// within 12 s, in steps of 0.5 s.
template<typename OnOrdering>
void forEachOrdering(OnOrdering onOrdering)
{
    constexpr double last = 12;
    constexpr double step = 0.5;
    for (double acknowledged = 0; acknowledged <= last; acknowledged += step) {
        for (double covered = 0; covered <= last; covered += step) {
            for (double sent = 0; sent <= last; sent += step) {
                for (double decided = std::max(sent, covered); decided <= last; decided += step)
                    onOrdering(Ordering{acknowledged, covered, sent, decided});
            }
        }
    }
}

/// Calls that break the rule: served 5 s or more after the removal of their key, or refused as
/// unknown more than 3 s after its addition.
std::size_t countViolations(const KeyTimes &bounds)
{
    std::size_t violations = 0;
    forEachOrdering([&](const Ordering &row) {
        const double delay = row.sent - row.acknowledged;
        violations += delay > 5 && decide(row, true, bounds) == Access::Allowed ? 1 : 0;
        violations += delay > 3 && decide(row, false, bounds) == Access::Unauthenticated ? 1 : 0;
    });
    return violations;
}

} // namespace

TEST_CASE("a call is served by the state of its key and the age of the configuration")
{
    for (const auto &row : cases) {
        CAPTURE(model::nameOf(row.key), seconds(row.age));
        CHECK(decideAccess(row.key, row.age, times) == row.access);
    }
}

// Guards against a removed key that is served, or a new one that is refused, by an entry VM that is
// cut off from the store, suspended, or holds a call back.
TEST_CASE("in no ordering a removed key is served too long or a new one refused too late")
{
    CHECK(countViolations(times) == 0);
}

// The exploration finds the violations that each bound prevents.
TEST_CASE("without a bound on the age the orderings contain violations")
{
    struct Row
    {
        const char *name;
        KeyTimes times;
    };
    const std::vector<Row> rows{{"no bound on removals", {3s, Duration::max()}},
                                {"no bound on additions", {Duration::max(), 5s}}};
    for (const auto &row : rows) {
        CAPTURE(row.name);
        CHECK(countViolations(row.times) > 0);
    }
}

TEST_CASE("only the customer of a job may know of it, and anybody of a job without a customer")
{
    CHECK(mayKnowJob("a", "a"));
    CHECK(mayKnowJob("a", ""));
    CHECK(mayKnowJob("", ""));
    CHECK_FALSE(mayKnowJob("a", "b"));
    CHECK_FALSE(mayKnowJob("", "b"));
}
