// When a leader may give orders, by the age of what it knows.
#include <sassafrasferry/coordination/order_gate.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;
using namespace std::chrono_literals;

// Guards against starts by rows of jobs or workers, or by a configuration, that the store has long
// replaced, also by a leader that alone the store doesn't answer, and against a leader that stops
// while the store answers nobody.
TEST_CASE("starts pause while what the leader has read is too far behind the store's answers")
{
    struct Case
    {
        std::string name;
        Duration sinceConfirmed;
        Duration intakeLag;
        Duration workersLag;
        Duration configurationLag;
        bool hasCaps;
        bool canStart;
        // The store's newest answer to another entry VM, after the lease's newest confirmation.
        Duration peerAhead = -1h;
        bool isPeerContactLost = false;
    };
    const std::vector<Case> cases{
        {"all is recent", 100ms, 0ms, 0ms, 0ms, true, true},
        {"the lease was not confirmed for long", 6500ms, 0ms, 0ms, 0ms, true, false},
        {"the store is silent", 6400ms, 0ms, 0ms, 0ms, true, true},
        {"jobs are behind", 100ms, 2s, 0ms, 0ms, true, false},
        {"jobs are almost too far behind", 100ms, 1999ms, 0ms, 0ms, true, true},
        {"workers are behind", 100ms, 0ms, 2s, 0ms, true, false},
        {"the configuration is behind", 100ms, 0ms, 0ms, 2s, true, false},
        {"the configuration is behind, without caps", 100ms, 0ms, 0ms, 2s, false, true},
        {"others have had no later answer", 6400ms, 0ms, 0ms, 0ms, true, true, 0ms},
        {"others were answered a little longer", 6400ms, 0ms, 0ms, 0ms, true, true, 1999ms},
        {"others were answered for long", 2100ms, 0ms, 0ms, 0ms, false, false, 2s},
        {"jobs are behind others' answers", 100ms, 1s, 0ms, 0ms, false, false, 1s},
        {"workers are behind others' answers", 100ms, 0ms, 1s, 0ms, false, false, 1s},
        {"the configuration is behind others' answers", 100ms, 0ms, 0ms, 1s, true, false, 1s},
        {"the same without caps", 100ms, 0ms, 0ms, 1s, false, true, 1s},
        {"the leader is alone", 2s, 0ms, 0ms, 0ms, false, false, 0ms, true},
        {"it was not confirmed for almost too long", 1999ms, 0ms, 0ms, 0ms, false, true, 0ms, true},
    };
    const Instant newest(1h);
    ReadIndex confirmations;
    confirmations.confirm(1, newest);
    for (const auto &row : cases) {
        CAPTURE(row.name);
        LeaderOptions options;
        options.sinceConfirmed = [&] {
            return row.sinceConfirmed;
        };
        options.confirmations = [&]() -> const ReadIndex & {
            return confirmations;
        };
        options.configurationCoveredUntil = [&] {
            return newest - row.configurationLag;
        };
        options.peerContact = [&] {
            return PeerContact{newest + row.peerAhead, row.isPeerContactLost};
        };
        const Tenure tenure;
        const OrderGate gate(options, tenure, newest);
        const ReadTimes readTimes{newest - row.intakeLag, newest - row.workersLag};
        CHECK(gate.canStart(readTimes, row.hasCaps) == row.canStart);
    }
}

// Guards against an order about a VM that crosses one of a predecessor.
TEST_CASE("orders about VMs wait for those of a predecessor that doesn't announce them")
{
    struct Case
    {
        std::string name;
        Duration sinceConfirmed;
        bool isFirst;
        bool knowsOrders;
        Duration sinceTakeover;
        bool canOrder;
    };
    const std::vector<Case> cases{
        {"the first leader", 0ms, true, false, 0ms, true},
        {"the predecessor announced its orders", 0ms, false, true, 0ms, true},
        {"it did not", 0ms, false, false, 1s, false},
        {"it did not, long ago", 0ms, false, false, 10s, true},
        {"the lease was not confirmed just now", 800ms, true, true, 10s, false},
    };
    for (const auto &row : cases) {
        CAPTURE(row.name);
        LeaderOptions options;
        options.sinceConfirmed = [&] {
            return row.sinceConfirmed;
        };
        Tenure tenure;
        tenure.isFirst = row.isFirst;
        tenure.knowsPredecessorOrders = row.knowsOrders;
        CHECK(OrderGate(options, tenure, bootNow() - row.sinceTakeover).canOrderVms()
              == row.canOrder);
    }
}
