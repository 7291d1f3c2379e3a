// A service's availability budget: how many VMs of its pool may be out of service at once, planned
// and failed ones together.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace sassafrasferry::policy {

/// What a pool promises: `required` VMs in service. Borrowed VMs beyond `members` widen what may
/// be out, VM by VM.
struct AvailabilityBudget
{
    std::size_t members = 0; ///< VMs that the document puts into the pool
    std::size_t borrowed = 0; ///< VMs lent to it from a spare pool and in service
    std::size_t required = 0; ///< that must stay in service

    /// VMs that may be out at once.
    std::size_t mayBeOut() const;
};

/// The budget of a pool whose services promise `availability` (0 to 1) of `members`.
AvailabilityBudget budgetOf(std::size_t members, double availability, std::size_t borrowed);

} // namespace sassafrasferry::policy
