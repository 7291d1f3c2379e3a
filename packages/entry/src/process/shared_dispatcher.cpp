// Suspends and resumes requests that wait for a slot.
#include "shared_dispatcher.h"

namespace sassafrasferry::entry {

using policy::Grant;
using policy::Queued;
using policy::Refusal;
using policy::RequestId;

SharedDispatcher::SharedDispatcher(const model::RoutingSettings &settings, const std::string &entry,
                                   std::uint64_t seed)
    : dispatcher(settings, entry, seed)
{}

void SharedDispatcher::setLeavingHandler(LeavingHandler handler)
{
    this->leavingHandler = std::move(handler);
}

Awaitable<SlotResult> SharedDispatcher::acquireSlot(policy::Submission submission,
                                                    Cancellation &cancellation)
{
    if (cancellation.requested())
        co_return SlotCancelled{};
    std::unique_lock lock(this->mutex);
    const auto id = RequestId{++this->lastId};
    submission.id = id;
    auto admission =
        this->dispatcher.submit(std::move(submission), std::chrono::steady_clock::now());
    if (auto *grant = std::get_if<Grant>(&admission))
        co_return std::move(*grant);
    if (const auto *refusal = std::get_if<Refusal>(&admission))
        co_return *refusal;
    // The waiter is registered before the lock is released, so that no grant is lost.
    auto result =
        co_await http::awaitCallback<SlotResult>([this, id, &cancellation, &lock](Done done) {
            this->waiters.emplace(id, std::move(done));
            lock.unlock();
            cancellation.onCancel([this, id] { this->cancel(id); });
        });
    cancellation.onCancel(nullptr);
    co_return result;
}

void SharedDispatcher::cancel(RequestId id)
{
    std::unique_lock lock(this->mutex);
    if (!this->dispatcher.cancel(id))
        return; // already granted or refused; the result is being delivered
    const auto at = this->waiters.find(id);
    auto done = std::move(at->second);
    this->waiters.erase(at);
    lock.unlock();
    done(SlotCancelled{});
}

void SharedDispatcher::whenPreempted(RequestId id, std::function<void()> stop)
{
    std::unique_lock lock(this->mutex);
    const auto [at, isFirst] = this->stops.emplace(id, stop);
    lock.unlock();
    if (!isFirst)
        stop();
}

void SharedDispatcher::finish(const policy::RunReport &report, policy::Instant now)
{
    this->change([&](policy::Dispatcher &policyDispatcher) {
        // Erased under the same lock as the end of the run: a preemption in between would leave an
        // entry that is never removed.
        this->stops.erase(report.id);
        return policyDispatcher.finish(report, now);
    });
}

std::vector<std::function<void()>> SharedDispatcher::takeStops(const policy::Changes &changes)
{
    std::vector<std::function<void()>> taken;
    for (const auto id : changes.preempted) {
        auto &stop = this->stops[id];
        if (stop)
            taken.push_back(std::exchange(stop, nullptr));
    }
    return taken;
}

std::vector<SharedDispatcher::WakeUp> SharedDispatcher::takeWakeUps(policy::Changes &changes)
{
    std::vector<WakeUp> wakeUps;
    const auto take = [&](RequestId id, SlotResult result) {
        const auto at = this->waiters.find(id);
        wakeUps.push_back({std::move(at->second), std::move(result)});
        this->waiters.erase(at);
    };
    for (auto &grant : changes.grants) {
        const auto id = grant.id;
        take(id, std::move(grant));
    }
    for (const auto &refusal : changes.refusals)
        take(refusal.id, refusal);
    return wakeUps;
}

void SharedDispatcher::deliver(std::vector<WakeUp> &wakeUps, const policy::Changes &changes)
{
    for (auto &wakeUp : wakeUps)
        wakeUp.done(std::move(wakeUp.result));
    for (const auto &item : changes.news) {
        if (this->leavingHandler)
            this->leavingHandler(item);
    }
}

} // namespace sassafrasferry::entry
