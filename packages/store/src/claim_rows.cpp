// Claims to rows and back.
#include <sassafrasferry/store/claim_rows.h>

namespace sassafrasferry::store {

using policy::Claim;
using policy::ClaimState;

RowKey claimKey(const std::string &key)
{
    return {"claims", key};
}

Json toJson(const Claim &claim)
{
    Json json{{"fingerprint", claim.fingerprint},
              {"operationId", claim.operationId},
              {"entry", claim.entry},
              {"incarnation", claim.incarnation},
              {"worker", claim.worker},
              {"workerAddress", claim.workerAddress},
              {"claimedAt", claim.claimedAt},
              {"settledAt", claim.settledAt},
              {"startDeadline", claim.startDeadline},
              {"startRefusal", claim.startRefusal},
              {"state", std::string(model::nameOf(claim.state))}};
    if (claim.state == ClaimState::Completed) {
        json["answer"] = {{"status", claim.answer.status},
                          {"contentType", claim.answer.contentType},
                          {"body", claim.answer.body},
                          {"object", claim.answer.object}};
    }
    return json;
}

absl::StatusOr<VersionedClaim> claimFrom(const Row &row)
{
    VersionedClaim result{{}, row.version};
    auto &claim = result.claim;
    claim.key = row.key.key;
    if (row.version == absent)
        return result;
    try {
        const auto &json = row.value;
        json.at("fingerprint").get_to(claim.fingerprint);
        json.at("operationId").get_to(claim.operationId);
        json.at("entry").get_to(claim.entry);
        json.at("incarnation").get_to(claim.incarnation);
        json.at("worker").get_to(claim.worker);
        json.at("workerAddress").get_to(claim.workerAddress);
        json.at("claimedAt").get_to(claim.claimedAt);
        // Rows of entry VMs of the version before have none.
        claim.settledAt = json.value("settledAt", claim.claimedAt);
        json.at("startDeadline").get_to(claim.startDeadline);
        json.at("startRefusal").get_to(claim.startRefusal);
        const auto state = model::valueOf<ClaimState>(json.at("state").get<std::string>());
        if (!state)
            return absl::DataLossError("unknown state of claim " + claim.key);
        claim.state = *state;
        if (claim.state == ClaimState::Completed) {
            const auto &answer = json.at("answer");
            answer.at("status").get_to(claim.answer.status);
            answer.at("contentType").get_to(claim.answer.contentType);
            answer.at("body").get_to(claim.answer.body);
            answer.at("object").get_to(claim.answer.object);
        }
    } catch (const Json::exception &error) {
        return absl::DataLossError(error.what());
    }
    return result;
}

} // namespace sassafrasferry::store
