// The dispatcher, shared by the traffic threads and the control thread. A decision takes about a
// microsecond, so one lock serves all of them.
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

/// Serialises access to a `policy::Dispatcher` and wakes requests that wait for it.
class SharedDispatcher
{
public:
    /// Called, on whatever thread, when this entry VM is the first to learn that a worker leaves.
    using News = std::function<void(const policy::LeavingNews &)>;

    SharedDispatcher(const model::RoutingSettings &settings, const std::string &entry,
                     std::uint64_t seed);

    /// Set before traffic begins.
    void onNews(News news);

    /// A slot for a request, or its refusal. Suspends while it waits.
    Awaitable<SlotResult> slot(policy::Submission submission, Cancellation &cancellation);

    /// Calls `stop` once, on whatever thread, if a granted request must make room; at once if it
    /// had to before this call.
    void whenPreempted(policy::RequestId id, std::function<void()> stop);
    /// A granted request has ended.
    void finish(const policy::RunReport &report, policy::Instant now);

    /// Calls `use(dispatcher)` under the lock.
    template<typename Use>
    auto locked(Use use)
    {
        const std::lock_guard lock(this->mutex);
        return use(this->dispatcher);
    }

    /// Calls `use(dispatcher)` under the lock, and wakes those whom the changes concern.
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

    std::mutex mutex; // guards all below but `news`
    policy::Dispatcher dispatcher;
    std::unordered_map<policy::RequestId, Done> waiters; // one for each waiting request
    // One for each preemptible request that runs; empty once it has been told to stop, or if it is
    // to be told when it says how.
    std::unordered_map<policy::RequestId, std::function<void()>> stops;
    std::uint64_t lastId = 0;
    News news;
};

} // namespace sassafrasferry::entry
