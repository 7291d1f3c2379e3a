// Names a task: its job, its occurrence, its step and its index in the step.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasferry::jobs {

/// A task of a job.
struct TaskId
{
    std::string job;
    std::size_t occurrence = 0; ///< 0 for a job that is not repeated
    std::size_t step = 0;
    std::size_t index = 0;

    auto operator<=>(const TaskId &) const = default;
};

/// `JOB.OCCURRENCE.STEP.INDEX`, as workers know it.
std::string toString(const TaskId &task);
std::optional<TaskId> parseTaskId(std::string_view text);

} // namespace sassafrasferry::jobs
