// Tells what works for a request that its caller has gone.
#pragma once

#include <functional>
#include <utility>

namespace sassafrasferry::entry {

/// Passed along with a request; used on the request's executor.
class Cancellation
{
public:
    /// What to do if the caller goes while something is awaited; nullptr once it no longer is.
    void whenRequested(std::function<void()> action)
    {
        this->action = std::move(action);
    }

    /// The caller is gone.
    void request()
    {
        this->isRequested = true;
        if (this->action)
            std::exchange(this->action, nullptr)();
    }

    bool requested() const
    {
        return this->isRequested;
    }

private:
    std::function<void()> action;
    bool isRequested = false;
};

} // namespace sassafrasferry::entry
