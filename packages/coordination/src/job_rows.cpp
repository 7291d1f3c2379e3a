// Keys, parts and contents of the rows of jobs in the store.
#include <sassafrasferry/coordination/job_rows.h>

#include <sassafrasferry/http/json.h>
#include <sassafrasferry/policy/caller_access.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <xxhash.h>

#include <algorithm>

namespace sassafrasferry::coordination {

namespace {

constexpr char cancellationSuffix = '!';
// No record of a job begins with these: leaders of earlier versions take such a row for an
// unreadable job.
constexpr const char *takeoverPrefix = "fence=";
constexpr const char *withdrawalPrefix = "withdrawn=";
constexpr double jobShareOfRate = 0.5; // of the store's transactions
constexpr int maxCount = 32; // parts that a leader can load within a takeover

std::string partName(std::size_t index)
{
    return absl::StrCat("jobs-", index);
}

} // namespace

JobParts::JobParts(std::size_t count)
    : partCount(std::max(count, minCount))
{}

JobParts JobParts::forRates(double storeRate, double partRate)
{
    if (!(partRate > 0) || !(storeRate > 0))
        return JobParts();
    const auto wanted = std::min(storeRate * jobShareOfRate / partRate, double{maxCount});
    return JobParts(static_cast<std::size_t>(wanted));
}

std::size_t JobParts::count() const
{
    return this->partCount;
}

std::string JobParts::partOf(const std::string &job) const
{
    return partName(XXH3_64bits(job.data(), job.size()) % this->partCount);
}

std::vector<std::string> JobParts::all() const
{
    std::vector<std::string> parts;
    for (std::size_t i = 0; i < this->partCount; ++i)
        parts.push_back(partName(i));
    return parts;
}

std::vector<std::string> JobParts::candidatesOf(const std::string &job) const
{
    std::vector<std::string> parts{this->partOf(job)};
    const auto former = JobParts().partOf(job);
    if (former != parts.front())
        parts.push_back(former);
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

std::string takeoverValue(std::int64_t fence)
{
    return absl::StrCat(takeoverPrefix, fence);
}

std::optional<std::int64_t> takeoverFence(const store::PartRow &row)
{
    std::int64_t fence = 0;
    absl::string_view value = row.value;
    if (row.key != takeoverKey || row.deleted || !absl::ConsumePrefix(&value, takeoverPrefix)
        || !absl::SimpleAtoi(value, &fence))
        return std::nullopt;
    return fence;
}

bool Withdrawal::binds(const std::string &customer) const
{
    return std::any_of(this->customers.begin(), this->customers.end(),
                       [&](const auto &asker) { return policy::mayKnowJob(asker, customer); });
}

std::string withdrawalValue(const Withdrawal &withdrawal)
{
    return withdrawalPrefix + http::Json(withdrawal.customers).dump();
}

std::optional<Withdrawal> withdrawalIn(const store::PartRow &row)
{
    absl::string_view value = row.value;
    if (row.table != table::intake || row.deleted || !absl::ConsumePrefix(&value, withdrawalPrefix))
        return std::nullopt;
    Withdrawal withdrawal;
    const auto customers = http::parseJson(std::string(value));
    for (const auto &customer : customers) {
        if (customer.is_string())
            withdrawal.customers.insert(customer.get<std::string>());
    }
    return withdrawal;
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

namespace {

template<typename Message>
std::string customerIn(const std::string &bytes)
{
    Message message;
    return message.ParseFromString(bytes) ? message.customer() : "";
}

} // namespace

std::string customerOfRow(const store::PartRow &row)
{
    return row.table == table::intake ? customerIn<messages::JobRecord>(row.value)
                                      : customerIn<messages::JobProgress>(row.value);
}

std::string customerOfRecord(const std::string &record)
{
    return customerIn<messages::JobRecord>(record);
}

bool hasSameCustomer(const std::string &record, const store::PartRow &row)
{
    return policy::mayKnowJob(customerOfRecord(record), customerOfRow(row));
}

} // namespace sassafrasferry::coordination
