// Notifies the operations of a request that its caller has disconnected.
#pragma once

#include <functional>
#include <utility>

namespace sassafrasferry::entry {

/// Cancellation signal of one request. Not thread-safe: used only on the request's executor.
class Cancellation
{
public:
    /// Sets the action to run on cancellation while an operation is awaited. Pass nullptr when the
    /// operation has ended.
    void onCancel(std::function<void()> action)
    {
        this->action = std::move(action);
    }

    /// Requests cancellation, because the caller has disconnected, and runs the action once.
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
