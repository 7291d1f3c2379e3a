// What is to happen on virtual time, in the order of its moments.
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
    /// Events of one moment happen in the order in which they were added.
    void add(policy::Instant at, std::function<void()> happen)
    {
        this->events.push({at, ++this->lastNumber, std::move(happen)});
    }

    /// Lets everything happen that is due, also what these events add.
    void run(policy::Instant now)
    {
        while (!this->events.empty() && this->events.top().at <= now) {
            const auto event = this->events.top();
            this->events.pop();
            event.happen();
        }
    }

private:
    struct Event
    {
        policy::Instant at;
        std::uint64_t number = 0;
        std::function<void()> happen;

        bool operator>(const Event &other) const
        {
            return std::tie(this->at, this->number) > std::tie(other.at, other.number);
        }
    };

    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t lastNumber = 0;
};

} // namespace sassafrasferry::scheduling::tests
