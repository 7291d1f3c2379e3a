// Claims as rows of the table service.
#pragma once

#include <sassafrasferry/policy/claim.h>
#include <sassafrasferry/store/rows.h>

namespace sassafrasferry::store {

/// A claim and the version of its row; version `absent`: there is no claim.
struct VersionedClaim
{
    policy::Claim claim;
    std::int64_t version = absent;
};

/// The row key of a claim.
RowKey claimKey(const std::string &key);
Json toJson(const policy::Claim &claim);
/// The claim in a row; an error if the row does not hold one.
absl::StatusOr<VersionedClaim> claimFrom(const Row &row);

} // namespace sassafrasferry::store
