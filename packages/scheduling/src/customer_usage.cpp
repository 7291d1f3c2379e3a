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
    for (const auto &customer : customers) {
        if (customer.cap != jobs::Resources{})
            this->byCustomer[customer.name].cap = customer.cap;
    }
}

bool CustomerUsage::hasCaps() const
{
    return !this->byCustomer.empty();
}

void CustomerUsage::add(const std::string &customer, const jobs::Resources &need)
{
    if (const auto at = this->byCustomer.find(customer); at != this->byCustomer.end())
        at->second.used += need;
}

bool CustomerUsage::hasRoom(const std::string &customer, const jobs::Resources &need,
                            std::size_t count) const
{
    const auto at = this->byCustomer.find(customer);
    return at == this->byCustomer.end()
           || isWithin(at->second.used, times(need, count), at->second.cap);
}

bool CustomerUsage::take(const std::string &customer, const jobs::Resources &need)
{
    const auto at = this->byCustomer.find(customer);
    if (at == this->byCustomer.end())
        return true;
    if (!isWithin(at->second.used, need, at->second.cap))
        return false;
    at->second.used += need;
    return true;
}

const std::unordered_map<std::string, CustomerUsage::Entry> &CustomerUsage::entries() const
{
    return this->byCustomer;
}

bool canEverRun(const jobs::JobSpec &job, const jobs::Resources &cap)
{
    return std::all_of(job.steps.begin(), job.steps.end(), [&](const jobs::StepSpec &step) {
        return isWithin({}, times(step.need, step.gang ? step.count : 1), cap);
    });
}

} // namespace sassafrasferry::scheduling
