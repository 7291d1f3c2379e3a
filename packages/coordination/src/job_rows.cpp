// Keys, parts and contents of the rows of jobs in the store.
#include <sassafrasferry/coordination/job_rows.h>

#include <absl/strings/str_cat.h>

#include <xxhash.h>

namespace sassafrasferry::coordination {

namespace {

constexpr char cancellationSuffix = '!';

std::string partName(std::size_t index)
{
    return absl::StrCat("jobs-", index);
}

} // namespace

std::string partOf(const std::string &job)
{
    return partName(XXH3_64bits(job.data(), job.size()) % jobPartCount);
}

std::vector<std::string> allJobParts()
{
    std::vector<std::string> parts;
    for (std::size_t i = 0; i < jobPartCount; ++i)
        parts.push_back(partName(i));
    return parts;
}

std::string cancellationKey(const std::string &job)
{
    return job + cancellationSuffix;
}

IntakeKey parseIntakeKey(const std::string &key)
{
    if (!key.empty() && key.back() == cancellationSuffix)
        return {key.substr(0, key.size() - 1), true};
    return {key, false};
}

messages::JobRecord recordOf(const jobs::JobSpec &spec, const jobs::QueueTerms &terms)
{
    messages::JobRecord record;
    jobs::toRecord(spec, record);
    record.set_queue(terms.queue);
    record.set_service(terms.service);
    record.set_priority(static_cast<std::uint32_t>(terms.priority));
    record.set_max_attempts(terms.maxAttempts);
    record.set_stretch(terms.stretch);
    record.set_target_milliseconds(terms.target.count());
    return record;
}

jobs::QueueTerms termsFrom(const messages::JobRecord &record)
{
    jobs::QueueTerms terms;
    terms.queue = record.queue();
    terms.service = record.service();
    terms.priority = record.priority();
    terms.maxAttempts = record.max_attempts();
    terms.stretch = record.stretch();
    terms.target = std::chrono::milliseconds(record.target_milliseconds());
    return terms;
}

} // namespace sassafrasferry::coordination
