// How the scheduler of jobs is tied to its platform.
#pragma once

#include <sassafrasferry/coordination/fleet_keeper.h>
#include <sassafrasferry/coordination/worker_calls.h>

#include <absl/status/statusor.h>

namespace sassafrasferry::coordination {

/// Clients of the platform's parts, and decoders of what its rows hold.
template<typename T>
concept JobPlatform = requires(std::string text)
{
    requires store::PartStore<typename T::Store>;
    requires WorkerCalls<typename T::Worker>;
    requires CloudCalls<typename T::Cloud>;
    // The table in which workers list themselves.
    {
        T::workerTable()
        } -> std::convertible_to<std::string>;
    {
        T::decodeListing(text, text)
        } -> std::same_as<absl::StatusOr<scheduling::WorkerListing>>;
};

} // namespace sassafrasferry::coordination
