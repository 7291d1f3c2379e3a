// Identifier of a task: its job, occurrence, step and index in the step.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sassafrasferry::jobs {

/// Identifies a task of a job.
struct TaskId
{
    std::string job;
    std::size_t occurrence = 0; ///< 0 for a job that is not repeated
    std::size_t step = 0;
    std::size_t index = 0;

    auto operator<=>(const TaskId &) const = default;
};

/// Formats the id as `JOB.OCCURRENCE.STEP.INDEX`, which is the form that workers use.
std::string toString(const TaskId &task);
std::optional<TaskId> parseTaskId(std::string_view text);

} // namespace sassafrasferry::jobs
