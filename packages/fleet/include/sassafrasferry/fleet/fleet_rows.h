// Rows about VMs that are not simply in service, about waves, and about budgets. A VM without a row
// is in service in the pool that the document names.
#pragma once

#include <sassafrasferry/model/names.h>
#include <sassafrasferry/store/rows.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasferry::fleet {

using store::Awaitable;
using store::Json;
using store::RowKey;

/// Where a VM stands that is not in service.
enum class VmState {
    Draining, ///< no new work; the platform lets it finish what it has
    InMaintenance,
    BackFailing, ///< back from maintenance, and its check fails
    Arriving, ///< lent, or back: belongs to its next pool, and waits until every entry VM knows
    Lent, ///< in service in another pool than the document's
};

constexpr auto enumNames(VmState)
{
    using model::EnumName;
    return std::array{EnumName{VmState::Draining, "draining"},
                      EnumName{VmState::InMaintenance, "in-maintenance"},
                      EnumName{VmState::BackFailing, "back-failing"},
                      EnumName{VmState::Arriving, "arriving"}, EnumName{VmState::Lent, "lent"}};
}

/// A VM that is not in service in the pool of the document.
///
/// A loan goes Draining (target: the borrower) > Arriving > Lent > Draining (target: home) >
/// Arriving > no row. The pool changes when the VM is empty, and only then.
struct VmRow
{
    std::string name;
    std::string pool; ///< the one pool it belongs to until this row is gone
    std::string target; ///< a move or loan: the pool it goes to next; empty: none
    std::string home; ///< a loan: the pool that the document names; else empty
    std::string wave; ///< maintenance, or a loan for a wave: the wave; empty: a loan for demand
    VmState state = VmState::Draining;
    std::int64_t order = 0; ///< sent with every order to the platform, which ignores older ones
    std::int64_t revision = 0; ///< the document revision that it was decided by
    std::int64_t version = store::absent;

    bool isLoan() const;
    /// A loan: the pool that has the VM or awaits it; empty once it is back at home.
    const std::string &borrower() const;
    /// True if it goes back, or is about to be in service at home.
    bool isReturning() const;
};

/// Where a wave stands.
enum class WaveState { Running, Halted, Finished };

constexpr auto enumNames(WaveState)
{
    using model::EnumName;
    return std::array{EnumName{WaveState::Running, "running"},
                      EnumName{WaveState::Halted, "halted"},
                      EnumName{WaveState::Finished, "finished"}};
}

/// A wave and its progress.
struct WaveRow
{
    std::string name;
    WaveState state = WaveState::Running;
    std::string reason; ///< why it waits or has halted
    std::vector<std::string> done; ///< VMs that are back in service
    std::int64_t startedAt = 0; ///< Unix milliseconds
    std::int64_t version = store::absent;
};

/// What a pool's availability budget is charged with.
struct BudgetRow
{
    std::string pool;
    std::vector<std::string> out; ///< VMs of the pool that are out on permits, lent ones included
    std::vector<std::string> borrowed; ///< VMs lent to the pool and in service there
    std::int64_t version = store::absent;
};

/// All rows of the fleet, as read.
struct FleetRows
{
    std::vector<VmRow> vms;
    std::vector<WaveRow> waves;
    std::vector<BudgetRow> budgets;

    const VmRow *vm(const std::string &name) const;
    /// The budget of a pool; one of version `absent` if nothing is out.
    BudgetRow budget(const std::string &pool) const;
};

/// Changes with every write of a fleet row, so that one small read tells whether any changed.
RowKey fleetHeadKey();
RowKey vmKey(const std::string &name);
RowKey waveKey(const std::string &name);
RowKey budgetKey(const std::string &pool);

Json toJson(const VmRow &row);
Json toJson(const WaveRow &row);
Json toJson(const BudgetRow &row);
absl::StatusOr<VmRow> vmFrom(const store::Row &row);
absl::StatusOr<WaveRow> waveFrom(const store::Row &row);
absl::StatusOr<BudgetRow> budgetFrom(const store::Row &row);

} // namespace sassafrasferry::fleet
