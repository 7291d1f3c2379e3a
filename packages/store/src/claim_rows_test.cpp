// A claim survives its way into a row and back.
#include <sassafrasferry/store/claim_rows.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::store;

TEST_CASE("a claim is the same after a round through its row")
{
    const auto state = GENERATE(policy::ClaimState::Claimed, policy::ClaimState::Completed,
                                policy::ClaimState::NotRun);
    policy::Claim claim;
    claim.key = "k";
    claim.fingerprint = "f";
    claim.operationId = "o";
    claim.entry = "e";
    claim.incarnation = 7;
    claim.worker = "w";
    claim.workerAddress = "127.0.0.1:1";
    claim.claimedAt = 11;
    claim.settledAt = 14;
    claim.startDeadline = 12;
    claim.state = state;
    if (state == policy::ClaimState::Completed)
        claim.answer = {201, "text/plain", "body", "object"};
    const auto back = claimFrom({claimKey("k"), 3, toJson(claim)});
    REQUIRE(back.ok());
    CHECK(back->version == 3);
    CHECK(toJson(back->claim) == toJson(claim));
    CHECK(back->claim.answer.object == claim.answer.object);
}

TEST_CASE("a row that is no claim is an error")
{
    CHECK_FALSE(claimFrom({claimKey("k"), 3, Json{{"state", "odd"}}}).ok());
    CHECK_FALSE(claimFrom({claimKey("k"), 3, Json{}}).ok());
    CHECK(claimFrom({claimKey("k"), absent, Json{}})->version == absent);
}
