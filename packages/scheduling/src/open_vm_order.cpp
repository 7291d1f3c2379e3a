// Conversion of open orders about VMs to and from their stored form.
#include <sassafrasferry/scheduling/open_vm_order.h>

namespace sassafrasferry::scheduling {

messages::VmOrder toMessage(const OpenVmOrder &open)
{
    messages::VmOrder message;
    message.set_vm(open.order.vm);
    message.set_pool(open.order.pool);
    message.set_wave(open.order.wave);
    message.set_worker(open.worker);
    return message;
}

OpenVmOrder openVmOrderFrom(const messages::VmOrder &message)
{
    const auto action = message.pool().empty() ? FleetAction::Maintain : FleetAction::Move;
    return {{action, message.vm(), message.pool(), message.wave()}, message.worker()};
}

} // namespace sassafrasferry::scheduling
