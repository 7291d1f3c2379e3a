// The dispatcher, shared by the traffic threads and the control thread. A decision takes about one
// microsecond, so a single lock is sufficient.
#pragma once

#include "../request/cancellation.h"
#include "../request/request_types.h"

#include <sassafrasferry/http/await_callback.h>
#include <sassafrasferry/policy/dispatcher.h>

#include <functional>
#include <mutex>
#include <unordered_map>

namespace sassafrasferry::entry {

using http::Awaitable;

/// Serialises access to a `policy::Dispatcher` and resumes requests that wait for a slot.
class SharedDispatcher
{
public:
    /// Called on any thread when this entry VM is the first to learn that a worker is leaving.
    using LeavingHandler = std::function<void(const policy::LeavingNews &)>;

    SharedDispatcher(const model::RoutingSettings &settings, const std::string &entry,
                     std::uint64_t seed);

    /// Must be called before traffic begins.
    void setLeavingHandler(LeavingHandler handler);

    /// Returns a slot for a request, or its refusal. Suspends while the request is queued.
    Awaitable<SlotResult> acquireSlot(policy::Submission submission, Cancellation &cancellation);

    /// Calls `stop` once, on any thread, when the granted request is preempted; immediately if it
    /// has been preempted before this call.
    void whenPreempted(policy::RequestId id, std::function<void()> stop);
    /// Reports the end of a granted request.
    void finish(const policy::RunReport &report, policy::Instant now);

    /// Calls `use(dispatcher)` under the lock.
    template<typename Use>
    auto locked(Use use)
    {
        const std::lock_guard lock(this->mutex);
        return use(this->dispatcher);
    }

    /// Calls `use(dispatcher)` under the lock and notifies the requests affected by its changes.
    template<typename Use>
    void change(Use use)
    {
        std::unique_lock lock(this->mutex);
        auto changes = use(this->dispatcher);
        auto wakeUps = this->takeWakeUps(changes);
        const auto stops = this->takeStops(changes);
        lock.unlock();
        this->deliver(wakeUps, changes);
        for (const auto &stop : stops)
            stop();
    }

private:
    using Done = std::function<void(SlotResult)>;
    struct WakeUp
    {
        Done done;
        SlotResult result;
    };

    void cancel(policy::RequestId id);
    std::vector<WakeUp> takeWakeUps(policy::Changes &changes);
    std::vector<std::function<void()>> takeStops(const policy::Changes &changes);
    void deliver(std::vector<WakeUp> &wakeUps, const policy::Changes &changes);

    std::mutex mutex; // guards all members below except `leavingHandler`
    policy::Dispatcher dispatcher;
    std::unordered_map<policy::RequestId, Done> waiters; // one for each waiting request
    // Stop handlers of running preemptible requests. The handler is empty if it has been called, or
    // if the request was preempted before it registered a handler.
    std::unordered_map<policy::RequestId, std::function<void()>> stops;
    std::uint64_t lastId = 0;
    LeavingHandler leavingHandler;
};

} // namespace sassafrasferry::entry
