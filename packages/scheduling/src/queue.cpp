// Lookups in the configuration.
#include <sassafrasferry/scheduling/queue.h>

#include <algorithm>

namespace sassafrasferry::scheduling {

const Queue *Configuration::findQueue(std::string_view name) const
{
    for (const auto &queue : this->queues) {
        if (queue.terms.queue == name)
            return &queue;
    }
    return nullptr;
}

const Queue *Configuration::route(std::string_view host, std::string_view path) const
{
    const Queue *best = nullptr;
    for (const auto &queue : this->queues) {
        if (queue.host != host || path.substr(0, queue.prefix.size()) != queue.prefix)
            continue;
        if (!best || queue.prefix.size() > best->prefix.size())
            best = &queue;
    }
    return best;
}

const Service *Configuration::findService(std::string_view name) const
{
    for (const auto &service : this->services) {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

const Customer *Configuration::findCustomer(std::string_view name) const
{
    for (const auto &customer : this->customers) {
        if (customer.name == name)
            return &customer;
    }
    return nullptr;
}

bool Configuration::hasCaps() const
{
    return std::any_of(this->customers.begin(), this->customers.end(),
                       [](const auto &customer) { return customer.cap != jobs::Resources{}; });
}

} // namespace sassafrasferry::scheduling
