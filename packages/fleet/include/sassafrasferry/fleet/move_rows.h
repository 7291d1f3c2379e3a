// Moves of VMs between pools, as a change of the document asks for them.
#pragma once

#include <sassafrasferry/fleet/fleet_rows.h>
#include <sassafrasferry/model/document.h>

namespace sassafrasferry::fleet {

/// A VM that one document has in another pool than the other does.
struct VmMove
{
    std::string vm;
    std::string from;
    std::string to;
};

/// The VMs that a change moves.
std::vector<VmMove> movesBetween(const model::Document &current, const model::Document &changed);

/// The rows by which a change takes the VMs it moves out of service. They are written in the
/// change's own transaction: at no moment does a VM serve in two pools, since it belongs to the old
/// one until it is empty. Entry VMs read them with every new revision. `order` numbers the orders
/// to the platform.
std::vector<store::Put> moveRows(const model::Document &current, const model::Document &changed,
                                 std::int64_t order);

} // namespace sassafrasferry::fleet
