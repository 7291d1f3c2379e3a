// Requirements on the platform that the job scheduler runs on.
#pragma once

#include <sassafrasferry/coordination/fleet_controller.h>
#include <sassafrasferry/coordination/worker_calls.h>

#include <absl/status/statusor.h>

namespace sassafrasferry::coordination {

/// Client types of the platform's services, and decoders for the contents of its rows.
template<typename T>
concept JobPlatform = requires(std::string text)
{
    requires store::PartStore<typename T::Store>;
    requires WorkerCalls<typename T::Worker>;
    requires CloudCalls<typename T::Cloud>;
    // Name of the table in which workers register themselves.
    {
        T::workerTable()
        } -> std::convertible_to<std::string>;
    {
        T::decodeListing(text, text)
        } -> std::same_as<absl::StatusOr<scheduling::WorkerListing>>;
};

} // namespace sassafrasferry::coordination
