// Keys and values of expiry lists.
#include <sassafrasferry/store/expiry_lists.h>

#include <cstdlib>

#include <absl/strings/str_format.h>

namespace sassafrasferry::store {

Put expiryList(policy::UnixMilliseconds expiresAt, const std::string &suffix,
               const std::vector<RowKey> &rows)
{
    auto list = Json::array();
    for (const auto &row : rows)
        list.push_back(toJson(row));
    // Zeros in front make the order of the keys that of the moments.
    return {{expiryTable, absl::StrFormat("%016d.%s", expiresAt, suffix)},
            Json{{"rows", std::move(list)}}};
}

policy::UnixMilliseconds expiryOf(const RowKey &list)
{
    constexpr int decimal = 10;
    return std::strtoll(list.key.c_str(), nullptr, decimal);
}

std::set<RowKey> listedKeys(const Row &list)
{
    std::set<RowKey> keys;
    const auto rows = list.value.find("rows");
    if (rows == list.value.end())
        return keys;
    for (const auto &row : *rows)
        keys.insert(rowKeyFrom(row));
    return keys;
}

} // namespace sassafrasferry::store
