// The interface for orders to the platform: drain, maintain and resume a VM.
#pragma once

#include <sassafrasferry/model/names.h>
#include <sassafrasferry/store/rows.h>

#include <absl/status/statusor.h>

#include <concepts>
#include <string>

namespace sassafrasferry::fleet {

using store::Awaitable;

/// The phase of a VM, as reported by the platform.
enum class VmPhase { Serving, Draining, Empty, Maintaining };

constexpr auto enumNames(VmPhase)
{
    using model::EnumName;
    return std::array{EnumName{VmPhase::Serving, "serving"},
                      EnumName{VmPhase::Draining, "draining"}, EnumName{VmPhase::Empty, "empty"},
                      EnumName{VmPhase::Maintaining, "maintaining"}};
}

/// The platform's report on a VM.
struct VmReport
{
    VmPhase phase = VmPhase::Serving;
    std::int64_t drainedOrder = 0; ///< the newest drain order that the platform has accepted
    std::int64_t maintainedOrder = 0; ///< the newest maintain order that was completed
    bool isFailing = false; ///< the health check of the VM fails
};

/// Orders to the platform. Orders are idempotent and fenced: one that is not newer than the last of
/// its kind has no effect, so a retry, or a late order from a process that was paused, is harmless.
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
