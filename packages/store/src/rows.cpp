// Rows as JSON, the form in which the table service takes and gives them.
#include <sassafrasferry/store/rows.h>

namespace sassafrasferry::store {

const Row *findRow(const std::vector<Row> &rows, const RowKey &key)
{
    for (const auto &row : rows) {
        if (row.key == key)
            return &row;
    }
    return nullptr;
}

Json toJson(const RowKey &key)
{
    return {{"table", key.table}, {"key", key.key}};
}

Json toJson(const Row &row)
{
    auto json = toJson(row.key);
    json["version"] = row.version;
    json["value"] = row.value;
    return json;
}

Json toJson(const Transaction &transaction)
{
    auto conditions = Json::array();
    for (const auto &condition : transaction.conditions) {
        auto json = toJson(condition.key);
        json["version"] = condition.version;
        conditions.push_back(std::move(json));
    }
    auto puts = Json::array();
    for (const auto &put : transaction.puts) {
        auto json = toJson(put.key);
        json["value"] = put.value;
        puts.push_back(std::move(json));
    }
    auto deletes = Json::array();
    for (const auto &key : transaction.deletes)
        deletes.push_back(toJson(key));
    return {{"conditions", std::move(conditions)},
            {"puts", std::move(puts)},
            {"deletes", std::move(deletes)}};
}

RowKey rowKeyFrom(const Json &json)
{
    return {json.at("table").get<std::string>(), json.at("key").get<std::string>()};
}

Row rowFrom(const Json &json)
{
    return {rowKeyFrom(json), json.at("version").get<std::int64_t>(), json.at("value")};
}

Transaction transactionFrom(const Json &json)
{
    Transaction transaction;
    for (const auto &condition : json.at("conditions"))
        transaction.conditions.push_back(
            {rowKeyFrom(condition), condition.at("version").get<std::int64_t>()});
    for (const auto &put : json.at("puts"))
        transaction.puts.push_back({rowKeyFrom(put), put.at("value")});
    for (const auto &key : json.at("deletes"))
        transaction.deletes.push_back(rowKeyFrom(key));
    return transaction;
}

} // namespace sassafrasferry::store
