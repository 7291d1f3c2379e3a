// Callbacks on virtual time, called in the order of their times.
#pragma once

#include <sassafrasferry/policy/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace sassafrasferry::scheduling::tests {

class EventQueue
{
public:
    /// Events with the same time are called in the order in which they were added.
    void add(policy::Instant at, std::function<void()> callback)
    {
        this->events.push({at, ++this->lastNumber, std::move(callback)});
    }

    /// Calls all due events, including those that are added meanwhile.
    void run(policy::Instant now)
    {
        while (!this->events.empty() && this->events.top().at <= now) {
            const auto event = this->events.top();
            this->events.pop();
            event.callback();
        }
    }

private:
    struct Event
    {
        policy::Instant at;
        std::uint64_t number = 0;
        std::function<void()> callback;

        bool operator>(const Event &other) const
        {
            return std::tie(this->at, this->number) > std::tie(other.at, other.number);
        }
    };

    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t lastNumber = 0;
};

} // namespace sassafrasferry::scheduling::tests
