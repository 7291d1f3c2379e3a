// Identifies a run on a worker.
#pragma once

#include <sassafrasferry/jobs/task_id.h>

#include <cstdint>

namespace sassafrasferry::scheduling {

/// Identifies a run on a worker.
struct RunKey
{
    jobs::TaskId task;
    std::int64_t number = 0;

    auto operator<=>(const RunKey &) const = default;
};

} // namespace sassafrasferry::scheduling
