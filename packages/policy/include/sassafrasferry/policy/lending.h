// Which VM of a spare pool is lent, and how many may be.
#pragma once

#include <sassafrasferry/policy/wave_planner.h>

#include <optional>
#include <string>
#include <vector>

namespace sassafrasferry::policy {

/// How many VMs of a spare pool may go: those that serve at home, as far as the pool's own
/// availability budget lets them be out.
std::size_t lendable(const WavePool &spare);

/// The VM to lend: one that serves at home, of the data centre that holds the fewest of the VMs
/// that the borrowing pool has, so that a loan spreads it rather than heaping it up. Nothing if
/// none may go.
std::optional<std::string> chooseToLend(const WavePool &spare, const WavePool &borrower);

/// True if a pool can do without one of its borrowed VMs: those out of service still fit its
/// budget.
bool mayGiveBack(const WavePool &borrower);

} // namespace sassafrasferry::policy
