// The dispatcher's state as status pages and metrics show it.
#pragma once

#include <sassafrasferry/policy/worker_choice.h>

#include <cstdint>
#include <string>

namespace sassafrasferry::policy {

/// One pool, for status pages.
struct PoolStatus
{
    std::string name;
    std::size_t waiting = 0;
    std::uint32_t inUse = 0;
    std::uint32_t allowed = 0; ///< slots this entry VM may fill
    std::uint32_t slots = 0; ///< slots in all
};

/// One worker, for status pages.
struct WorkerStatus
{
    std::string name;
    std::string pool;
    std::uint32_t inUse = 0;
    std::uint32_t allowed = 0;
    WorkerHealth::State health = WorkerHealth::State::Fit;
    LeavingSignal leaving = LeavingSignal::None;
};

/// One team with a quota, for status pages. In processors, but for `waiting`.
struct TeamStatus
{
    std::string name;
    std::size_t waiting = 0;
    std::uint32_t inUse = 0;
    std::uint32_t allowed = 0; ///< on this entry VM
    std::uint32_t quota = 0; ///< of the whole system
};

} // namespace sassafrasferry::policy
