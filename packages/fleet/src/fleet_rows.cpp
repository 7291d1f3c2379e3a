// Conversion of fleet rows to and from JSON.
#include <sassafrasferry/fleet/fleet_rows.h>

namespace sassafrasferry::fleet {

namespace {

template<typename Enum>
Enum stateFrom(const Json &json)
{
    const auto state = model::valueOf<Enum>(json.at("state").get<std::string>());
    if (!state)
        throw Json::other_error::create(0, "unknown state", &json);
    return *state;
}

// Reads a row by `read`; a malformed row becomes a data loss status.
template<typename T, typename Read>
absl::StatusOr<T> parseRow(const store::Row &row, Read read)
{
    try {
        T result;
        result.version = row.version;
        read(row.value, result);
        return result;
    } catch (const Json::exception &error) {
        return absl::DataLossError(row.key.table + "/" + row.key.key + ": " + error.what());
    }
}

} // namespace

bool VmRow::isLoan() const
{
    return !this->home.empty();
}

const std::string &VmRow::borrower() const
{
    return this->pool == this->home ? this->target : this->pool;
}

bool VmRow::isReturning() const
{
    const bool leavesBorrower = this->state == VmState::Draining && this->target == this->home;
    const bool arrivesAtHome = this->state == VmState::Arriving && this->pool == this->home;
    return this->isLoan() && (leavesBorrower || arrivesAtHome);
}

const VmRow *FleetRows::vm(const std::string &name) const
{
    for (const auto &row : this->vms) {
        if (row.name == name)
            return &row;
    }
    return nullptr;
}

BudgetRow FleetRows::budget(const std::string &pool) const
{
    for (const auto &row : this->budgets) {
        if (row.pool == pool)
            return row;
    }
    return {pool, {}, {}, store::absent};
}

RowKey fleetHeadKey()
{
    return {"fleet", "head"};
}

RowKey vmKey(const std::string &name)
{
    return {"vms", name};
}

RowKey waveKey(const std::string &name)
{
    return {"waves", name};
}

RowKey budgetKey(const std::string &pool)
{
    return {"budgets", pool};
}

Json toJson(const VmRow &row)
{
    return {{"pool", row.pool},
            {"target", row.target},
            {"home", row.home},
            {"wave", row.wave},
            {"state", std::string(model::nameOf(row.state))},
            {"order", row.order},
            {"revision", row.revision}};
}

Json toJson(const WaveRow &row)
{
    return {{"state", std::string(model::nameOf(row.state))},
            {"reason", row.reason},
            {"done", row.done},
            {"startedAt", row.startedAt}};
}

Json toJson(const BudgetRow &row)
{
    return {{"out", row.out}, {"borrowed", row.borrowed}};
}

absl::StatusOr<VmRow> vmFrom(const store::Row &row)
{
    return parseRow<VmRow>(row, [&](const Json &json, VmRow &result) {
        result.name = row.key.key;
        json.at("pool").get_to(result.pool);
        json.at("target").get_to(result.target);
        result.home = json.value("home", "");
        json.at("wave").get_to(result.wave);
        json.at("order").get_to(result.order);
        json.at("revision").get_to(result.revision);
        result.state = stateFrom<VmState>(json);
    });
}

absl::StatusOr<WaveRow> waveFrom(const store::Row &row)
{
    return parseRow<WaveRow>(row, [&](const Json &json, WaveRow &result) {
        result.name = row.key.key;
        json.at("reason").get_to(result.reason);
        json.at("done").get_to(result.done);
        json.at("startedAt").get_to(result.startedAt);
        result.state = stateFrom<WaveState>(json);
    });
}

absl::StatusOr<BudgetRow> budgetFrom(const store::Row &row)
{
    return parseRow<BudgetRow>(row, [&](const Json &json, BudgetRow &result) {
        result.pool = row.key.key;
        json.at("out").get_to(result.out);
        result.borrowed = json.value("borrowed", std::vector<std::string>());
    });
}

} // namespace sassafrasferry::fleet
