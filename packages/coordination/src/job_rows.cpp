// Keys and parts of the rows of jobs.
#include <sassafrasferry/coordination/job_rows.h>

#include <absl/strings/str_cat.h>

#include <xxhash.h>

namespace sassafrasferry::coordination {

namespace {

constexpr char cancellationMark = '!';

std::string partName(std::size_t index)
{
    return absl::StrCat("jobs-", index);
}

} // namespace

std::string partOf(const std::string &job)
{
    return partName(XXH3_64bits(job.data(), job.size()) % jobParts);
}

std::vector<std::string> allJobParts()
{
    std::vector<std::string> parts;
    for (std::size_t i = 0; i < jobParts; ++i)
        parts.push_back(partName(i));
    return parts;
}

std::string cancellationKey(const std::string &job)
{
    return job + cancellationMark;
}

IntakeKey parseIntakeKey(const std::string &key)
{
    if (!key.empty() && key.back() == cancellationMark)
        return {key.substr(0, key.size() - 1), true};
    return {key, false};
}

} // namespace sassafrasferry::coordination
