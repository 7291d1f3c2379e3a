// Lists of rows that may be deleted after a time, kept as rows in the order of that time.
#pragma once

#include <sassafrasferry/policy/time.h>
#include <sassafrasferry/store/rows.h>

#include <set>
#include <string>
#include <vector>

namespace sassafrasferry::store {

/// The table of the lists.
inline const std::string expiryTable = "expiry";

/// The list of `rows` under the moment from which they may go. `suffix` keeps lists of the same
/// moment apart.
Put expiryList(policy::UnixMilliseconds expiresAt, const std::string &suffix,
               const std::vector<RowKey> &rows);
/// The moment in the key of a list.
policy::UnixMilliseconds expiryOf(const RowKey &list);
/// The rows on a list.
std::set<RowKey> listedKeys(const Row &list);

} // namespace sassafrasferry::store
