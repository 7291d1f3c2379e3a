// What the tasks of each customer may be using, against the customers' caps.
#include <sassafrasferry/scheduling/customer_usage.h>

#include <algorithm>

namespace sassafrasferry::scheduling {

namespace {

bool isWithin(std::int64_t used, std::int64_t need, std::int64_t cap)
{
    // Without a need the resource doesn't hold the task back, even if its cap was cut below the
    // use.
    return cap == 0 || need == 0 || used + need <= cap;
}

bool isWithin(const jobs::Resources &used, const jobs::Resources &need, const jobs::Resources &cap)
{
    return isWithin(used.cpu, need.cpu, cap.cpu) && isWithin(used.memory, need.memory, cap.memory)
           && isWithin(used.accelerators, need.accelerators, cap.accelerators);
}

jobs::Resources times(const jobs::Resources &need, std::size_t count)
{
    const auto factor = static_cast<std::int64_t>(count);
    return {need.cpu * factor, need.memory * factor, need.accelerators * factor};
}

} // namespace

CustomerUsage::CustomerUsage(const std::vector<Customer> &customers)
{
    this->accounts.reserve(customers.size());
    for (const auto &customer : customers)
        this->accounts.push_back({customer.name, customer.cap, {}});
}

CustomerUsage::Account CustomerUsage::accountOf(std::size_t number)
{
    const bool hasCap =
        number < this->accounts.size() && this->accounts[number].cap != jobs::Resources{};
    return Account(hasCap ? &this->accounts[number] : nullptr);
}

CustomerUsage::Account::Account(Entry *entry)
    : entry(entry)
{}

bool CustomerUsage::Account::hasRoom(const jobs::Resources &need, std::size_t count) const
{
    return !this->entry || isWithin(this->entry->used, times(need, count), this->entry->cap);
}

void CustomerUsage::Account::add(const jobs::Resources &need)
{
    if (this->entry)
        this->entry->used += need;
}

bool CustomerUsage::Account::take(const jobs::Resources &need)
{
    if (!this->hasRoom(need))
        return false;
    this->add(need);
    return true;
}

const std::vector<CustomerUsage::Entry> &CustomerUsage::entries() const
{
    return this->accounts;
}

bool canEverRun(const jobs::JobSpec &job, const jobs::Resources &cap)
{
    return std::all_of(job.steps.begin(), job.steps.end(), [&](const jobs::StepSpec &step) {
        return isWithin({}, times(step.need, step.gang ? step.count : 1), cap);
    });
}

} // namespace sassafrasferry::scheduling
