// Stored rows of VMs, waves and availability budgets. A VM without a row is in service in the pool
// that the document names.
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

/// The state of a VM that has a row.
enum class VmState {
    Draining, ///< gets no new work; the platform lets it finish its current work
    InMaintenance,
    BackFailing, ///< maintenance is done, but the health check of the VM fails
    Arriving, ///< has joined its next pool; waits until every entry VM has read the row
    Lent, ///< in service in a pool other than the document's
};

constexpr auto enumNames(VmState)
{
    using model::EnumName;
    return std::array{EnumName{VmState::Draining, "draining"},
                      EnumName{VmState::InMaintenance, "in-maintenance"},
                      EnumName{VmState::BackFailing, "back-failing"},
                      EnumName{VmState::Arriving, "arriving"}, EnumName{VmState::Lent, "lent"}};
}

/// The row of a VM that is not in service in the pool that the document names.
///
/// States of a loan: Draining (target: the borrower) > Arriving > Lent > Draining (target: home) >
/// Arriving > no row. The VM changes its pool only when it is empty.
struct VmRow
{
    std::string name;
    std::string pool; ///< the only pool that the VM belongs to while this row exists
    std::string target; ///< the next pool of a move or loan; empty: none
    std::string home; ///< the document's pool of a lent VM; empty: not a loan
    std::string wave; ///< the wave that took or borrowed the VM; empty: a move or a loan for demand
    VmState state = VmState::Draining;
    std::int64_t order = 0; ///< fencing token of platform orders; the platform ignores lower ones
    std::int64_t revision = 0; ///< the document revision that the decision was based on
    std::int64_t version = store::absent;

    bool isLoan() const;
    /// The pool that borrows the lent VM; empty once the VM is back in its home pool.
    const std::string &borrower() const;
    /// True while a lent VM drains to return, or arrives in its home pool.
    bool isReturning() const;
};

/// The state of a maintenance wave.
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
    std::string reason; ///< why the wave waits or has halted
    std::vector<std::string> done; ///< VMs that are back in service
    std::int64_t startedAt = 0; ///< Unix milliseconds
    std::int64_t version = store::absent;
};

/// The VMs that a pool's availability budget accounts for.
struct BudgetRow
{
    std::string pool;
    std::vector<std::string> out; ///< VMs of the pool that are out by permit, including lent ones
    std::vector<std::string> borrowed; ///< VMs lent to the pool and in service there
    std::int64_t version = store::absent;
};

/// All fleet rows, as read from the table service.
struct FleetRows
{
    std::vector<VmRow> vms;
    std::vector<WaveRow> waves;
    std::vector<BudgetRow> budgets;

    const VmRow *vm(const std::string &name) const;
    /// The budget of a pool; an empty one of version `absent` if the pool has no row.
    BudgetRow budget(const std::string &pool) const;
};

/// The row that every write of a fleet row also updates, so that one small read shows whether any
/// fleet row has changed.
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
