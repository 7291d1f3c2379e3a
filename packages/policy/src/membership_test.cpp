// Membership when entry VMs die, return, leave, or when this one is cut off.
#include <sassafrasferry/policy/membership.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::policy;
using namespace std::chrono_literals;

namespace {

const Instant start{};
const std::vector<std::string> peers{"b", "c", "d", "e", "f", "g"};

struct Case
{
    std::string title;
    std::vector<std::string> silent;
    std::size_t live;
    bool cutOff;
};

} // namespace

TEST_CASE("who is live after some fell silent")
{
    // The caller sees refusals by workers if two entry VMs count on the same slots. Peers fall
    // silent one after the other or all at once; only the second looks the same as a cut.
    const auto row = GENERATE(values<Case>({
        {"none", {}, 7, false},
        {"one", {"b"}, 6, false},
        {"half", {"b", "c", "d"}, 4, false},
        {"most", {"b", "c", "d", "e"}, 7, true},
        {"all", peers, 7, true},
    }));
    INFO(row.title);
    Membership membership("a", peers, 1500ms, start);
    for (auto at = start; at <= start + 3s; at += 250ms) {
        for (const auto &name : peers) {
            const bool isSilent =
                std::find(row.silent.begin(), row.silent.end(), name) != row.silent.end();
            if (at == start || !isSilent)
                membership.heard({name, 1, 1, false}, at);
        }
        membership.live(at);
    }
    CHECK(membership.live(start + 3s).size() == row.live);
    CHECK(membership.cutOff(start + 3s) == row.cutOff);
}

TEST_CASE("a cut keeps the view though its silences begin and end one by one")
{
    // The caller sees refusals by workers for as long as a cut entry VM counts on its peers' slots.
    // Heartbeats arrive at different moments of a round. So at the cut one peer's silence is over
    // the timeout before the others' are, and at its end one peer is heard before the others. Were
    // only full silences counted, the peers would be dropped one at a time, none of them "most".
    const auto count = GENERATE(as<std::size_t>{}, 2, 3, 6);
    const std::vector<std::string> names(peers.begin(), peers.begin() + static_cast<long>(count));
    const auto cutBegins = start + 2s;
    const auto cutEnds = start + 12s;
    Membership membership("a", names, 1500ms, start);
    std::size_t fewest = count + 1;
    for (auto at = start; at <= start + 15s; at += 10ms) {
        for (std::size_t i = 0; i < count; ++i) {
            const auto offset = 10ms * static_cast<long>(240 * i / count / 10);
            const bool isSent = (at - start) % 250ms == offset;
            if (isSent && (at < cutBegins || at >= cutEnds))
                membership.heard({names[i], 1, 1, false}, at);
        }
        fewest = std::min(fewest, membership.live(at).size());
    }
    CHECK(fewest == count + 1);
    CHECK_FALSE(membership.cutOff(start + 15s));
}

TEST_CASE("the loss of most entry VMs for good is accepted after a while, a cut is not")
{
    const auto heard = GENERATE(as<std::vector<std::string>>{}, std::vector<std::string>{},
                                std::vector<std::string>{"b", "c"});
    Membership membership("a", peers, 1500ms, start);
    for (auto at = start; at <= start + 60s; at += 250ms) {
        for (const auto &name : heard)
            membership.heard({name, 1, 1, false}, at);
        membership.live(at);
    }
    CHECK(membership.live(start + 60s).size() == (heard.empty() ? 7U : 3U));
}

TEST_CASE("a peer that says it leaves is out at once")
{
    Membership membership("a", peers, 1500ms, start);
    membership.heard({"b", 1, 1, true}, start + 1ms);
    CHECK(membership.live(start + 1ms).size() == 6);
}

TEST_CASE("the silence that counts grows with the peers that share heartbeats")
{
    struct Row
    {
        std::size_t peers;
        Duration silence;
    };
    const auto row = GENERATE(values<Row>({{6, 1500ms}, {8, 1500ms}, {19, 2250ms}, {59, 6000ms}}));
    CHECK(silenceOf(1500ms, 250ms, row.peers) == row.silence);
}

TEST_CASE("an entry VM that has just started counts its peers as live")
{
    Membership membership("a", peers, 1500ms, start);
    CHECK(membership.live(start).size() == 7);
}

TEST_CASE("a heartbeat of an older incarnation is ignored")
{
    // A frozen process wakes after its replacement started: its queued heartbeats must not make
    // claims of the old incarnation look live.
    Membership membership("a", peers, 1500ms, start);
    membership.heard({"b", 5, 9, false}, start);
    membership.heard({"b", 4, 12, false}, start + 1s);
    CHECK(membership.peer("b")->revision == 9);
    CHECK_FALSE(membership.mayRun("b", 4, start));
    CHECK(membership.mayRun("b", 5, start));
    CHECK_FALSE(membership.mayRun("b", 5, start + 2s));
}
