// What the platform does to VMs on order: drain, maintain, resume.
#pragma once

#include <sassafrasferry/model/names.h>
#include <sassafrasferry/store/rows.h>

#include <absl/status/statusor.h>

#include <concepts>
#include <string>

namespace sassafrasferry::fleet {

using store::Awaitable;

/// What the platform says a VM is at.
enum class VmPhase { Serving, Draining, Empty, Maintaining };

constexpr auto enumNames(VmPhase)
{
    using model::EnumName;
    return std::array{EnumName{VmPhase::Serving, "serving"},
                      EnumName{VmPhase::Draining, "draining"}, EnumName{VmPhase::Empty, "empty"},
                      EnumName{VmPhase::Maintaining, "maintaining"}};
}

/// The platform's word on a VM.
struct VmReport
{
    VmPhase phase = VmPhase::Serving;
    std::int64_t drainedOrder = 0; ///< the newest drain order it has taken
    std::int64_t maintainedOrder = 0; ///< the newest maintain order it has carried out
    bool isFailing = false; ///< its check fails
};

/// Orders to the platform. Each may be given many times: an order that is not newer than the last
/// one of its kind changes nothing, so neither a repetition nor a late one from a process that was
/// frozen does harm.
template<typename T>
concept VmControl = requires(T &control, std::string vm, std::int64_t order)
{
    {
        control.report(vm)
        } -> std::same_as<Awaitable<absl::StatusOr<VmReport>>>;
    {
        control.drain(vm, order)
        } -> std::same_as<Awaitable<absl::Status>>;
    {
        control.maintain(vm, order)
        } -> std::same_as<Awaitable<absl::Status>>;
    {
        control.resume(vm, order)
        } -> std::same_as<Awaitable<absl::Status>>;
};

} // namespace sassafrasferry::fleet
