// Finds the VMs that a document change moves between pools, and builds their rows.
#pragma once

#include <sassafrasferry/fleet/fleet_rows.h>
#include <sassafrasferry/model/document.h>

namespace sassafrasferry::fleet {

/// A VM whose pool differs between two documents.
struct VmMove
{
    std::string vm;
    std::string from;
    std::string to;
};

/// The VMs that a document change moves to another pool.
std::vector<VmMove> movesBetween(const model::Document &current, const model::Document &changed);

/// The rows that take the moved VMs out of service. They must be written in the transaction of the
/// document change: a VM then belongs to its old pool until it is empty, and never serves in two
/// pools. Entry VMs read these rows with every new revision. `order` is the fencing token of orders
/// to the platform.
std::vector<store::Put> moveRows(const model::Document &current, const model::Document &changed,
                                 std::int64_t order);

} // namespace sassafrasferry::fleet
