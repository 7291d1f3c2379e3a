// An order about a VM that the platform may still execute, as a leader records it for its
// successor.
#pragma once

#include <sassafrasferry/messages/jobs.pb.h>

#include <cstdint>
#include <string>

namespace sassafrasferry::scheduling {

enum class FleetAction {
    Move,
    Maintain,
};

/// A call to the platform about a VM. Executing it ends everything that runs on the VM.
struct FleetOrder
{
    FleetAction action = FleetAction::Move;
    std::string vm;
    std::string pool; ///< target pool of a move
    std::int64_t wave = 0; ///< wave that a maintenance order belongs to
};

/// An order that is about to be sent, or whose call was not answered.
struct OpenVmOrder
{
    FleetOrder order;
    std::string worker; ///< worker incarnation that the order ends; empty: none
};

messages::VmOrder toMessage(const OpenVmOrder &open);
OpenVmOrder openVmOrderFrom(const messages::VmOrder &message);

} // namespace sassafrasferry::scheduling
