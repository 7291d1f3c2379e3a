// Registers and lists requests in flight.
#include "in_flight_requests.h"

namespace sassafrasferry::entry {

InFlightRequests::Registration::Registration(InFlightRequests &requests, std::string requestId)
    : requests(requests)
{
    const std::lock_guard lock(requests.mutex);
    this->number = ++requests.lastNumber;
    requests.requestIds.emplace(this->number, std::move(requestId));
}

InFlightRequests::Registration::~Registration()
{
    const std::lock_guard lock(this->requests.mutex);
    this->requests.requestIds.erase(this->number);
}

std::vector<std::string> InFlightRequests::ids() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> all;
    for (const auto &[number, id] : this->requestIds)
        all.push_back(id);
    return all;
}

} // namespace sassafrasferry::entry
