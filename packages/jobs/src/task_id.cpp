// Formatting and parsing of task identifiers.
#include <sassafrasferry/jobs/task_id.h>

#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace sassafrasferry::jobs {

std::string toString(const TaskId &task)
{
    return absl::StrCat(task.job, ".", task.occurrence, ".", task.step, ".", task.index);
}

std::optional<TaskId> parseTaskId(std::string_view text)
{
    const std::vector<std::string> parts =
        absl::StrSplit(absl::string_view(text.data(), text.size()), '.');
    constexpr std::size_t partCount = 4;
    if (parts.size() != partCount || parts[0].empty())
        return std::nullopt;
    TaskId task{parts[0], 0, 0, 0};
    if (!absl::SimpleAtoi(parts[1], &task.occurrence) || !absl::SimpleAtoi(parts[2], &task.step)
        || !absl::SimpleAtoi(parts[3], &task.index))
        return std::nullopt;
    return task;
}

} // namespace sassafrasferry::jobs
