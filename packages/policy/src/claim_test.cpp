// The decisions on claims, as tables.
#include <sassafrasferry/policy/claim.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::policy;

namespace {

struct ExistingCase
{
    std::string title;
    ClaimState state;
    std::string fingerprint;
    bool ownerActive;
    ExistingClaim expected;
};

struct SettlementCase
{
    std::string title;
    RunState state;
    UnixMilliseconds workerStartedAt;
    UnixMilliseconds workerNow;
    bool startRefusal;
    Settlement expected;
};

} // namespace

TEST_CASE("what is done with a key that has a claim")
{
    const auto row = GENERATE(values<ExistingCase>({
        {"completed", ClaimState::Completed, "f", false, ExistingClaim::Replay},
        {"completed, other body", ClaimState::Completed, "g", false, ExistingClaim::Mismatch},
        {"claimed, other body", ClaimState::Claimed, "g", true, ExistingClaim::Mismatch},
        {"owner at it", ClaimState::Claimed, "f", true, ExistingClaim::InProgress},
        {"owner gone", ClaimState::Claimed, "f", false, ExistingClaim::Settle},
        {"settled not run", ClaimState::NotRun, "f", false, ExistingClaim::Reclaim},
    }));
    INFO(row.title);
    Claim claim;
    claim.fingerprint = "f";
    claim.state = row.state;
    CHECK(decideExisting(claim, row.fingerprint, row.ownerActive) == row.expected);
}

TEST_CASE("how a worker's word settles a claim")
{
    // The claim was written at 10000 with the start deadline 12000. A frozen entry VM may wake
    // and send until the worker's clock passes 12000; a worker started after 10000 has forgotten.
    const auto row = GENERATE(values<SettlementCase>({
        {"done", RunState::Done, 1, 11000, true, Settlement::Complete},
        {"done, and no start refusal", RunState::Done, 1, 11000, false, Settlement::Complete},
        {"running", RunState::Running, 1, 13000, true, Settlement::Open},
        {"unreachable", RunState::Unreachable, 0, 0, true, Settlement::Open},
        {"never seen, may still come", RunState::NeverSeen, 1, 12000, true, Settlement::Open},
        {"never seen, too late now", RunState::NeverSeen, 1, 12001, true, Settlement::NotRun},
        {"worker restarted", RunState::NeverSeen, 10001, 13000, true, Settlement::Open},
        {"restarted within clock tolerance", RunState::NeverSeen, 9600, 13000, true,
         Settlement::Open},
        {"no start refusal", RunState::NeverSeen, 1, 13000, false, Settlement::Open},
    }));
    INFO(row.title);
    Claim claim;
    claim.claimedAt = 10000;
    claim.startDeadline = 12000;
    claim.startRefusal = row.startRefusal;
    const WorkerWord word{row.state, row.workerStartedAt, row.workerNow, {}};
    CHECK(decideSettlement(claim, word) == row.expected);
}
