// Registers and lists requests in flight.
#include "in_flight.h"

namespace sassafrasferry::entry {

InFlight::Mark::Mark(InFlight &requests, std::string requestId)
    : requests(requests)
{
    const std::lock_guard lock(requests.mutex);
    this->number = ++requests.lastNumber;
    requests.marked.emplace(this->number, std::move(requestId));
}

InFlight::Mark::~Mark()
{
    const std::lock_guard lock(this->requests.mutex);
    this->requests.marked.erase(this->number);
}

std::vector<std::string> InFlight::ids() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> all;
    for (const auto &[number, id] : this->marked)
        all.push_back(id);
    return all;
}

} // namespace sassafrasferry::entry
