// Stores a submitted job from this entry VM or, if the store doesn't serve it, through a peer.
#pragma once

#include <sassafrasferry/coordination/customer_keys.h>
#include <sassafrasferry/coordination/intake.h>
#include <sassafrasferry/scheduling/queue.h>

#include <boost/asio/this_coro.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace sassafrasferry::coordination {

/// Whether the store has shown what it holds under the job's id.
constexpr bool isProven(IntakeResult result)
{
    return result == IntakeResult::Stored || result == IntakeResult::AlreadyStored
           || result == IntakeResult::Taken || result == IntakeResult::Withdrawn;
}

/// Outcome for a job after this entry VM and then a peer tried to store it. `peer` is `nullopt` if
/// the peer did not answer, in which case it may have stored the job.
constexpr IntakeResult combineResults(IntakeResult own, std::optional<IntakeResult> peer)
{
    if (isProven(own))
        return own;
    if (!peer)
        return IntakeResult::Unknown;
    if (isProven(*peer))
        return *peer;
    const bool neverStored = own == IntakeResult::Refused && *peer == IntakeResult::Refused;
    return neverStored ? IntakeResult::Refused : IntakeResult::Unknown;
}

/// Whether the job's queue is gone since the version by which the entry VM that accepted the job
/// routed it.
inline bool isQueueDropped(const messages::JobRecord &record,
                           const scheduling::Configuration &configuration)
{
    return record.configuration() < configuration.version
           && configuration.findQueue(record.queue()) == nullptr;
}

/// Whether the key that the job came with was removed after the version by which the entry VM that
/// accepted the job checked it. `digest`: of that key; empty if none was needed.
inline bool isKeyRemoved(const messages::JobRecord &record, const std::string &digest,
                         const scheduling::Configuration &configuration, const CustomerKeys &keys)
{
    return !digest.empty() && record.configuration() < configuration.version
           && keys.holderOf(digest) == nullptr;
}

/// Where a job can be stored, and where it is known that it is stored.
struct HandInRoutes
{
    /// Lets a peer store the job; the result as in `combineResults`, Refused if there is no peer.
    std::function<Awaitable<std::optional<IntakeResult>>(std::string job, std::string record)>
        askPeer;
    /// Whether the leader knows the job, which proves that it is stored.
    std::function<Awaitable<bool>(std::string job)> isKnownToLeader;
    /// Whether the store is seen to hold the job.
    std::function<Awaitable<bool>(std::string job)> isSeenInStore;
};

/// Stores a job from this entry VM or, if the store refuses it here or doesn't answer, through a
/// peer.
///
/// The store may refuse or not answer some entry VMs while it serves others. Without a peer,
/// callers of such an entry VM would be refused until they happen to reach another one, which takes
/// most of the time they have.
template<typename OwnIntake>
Awaitable<IntakeResult> storeHereOrThroughPeer(OwnIntake &intake, HandInRoutes routes,
                                               std::string job, std::string record,
                                               Instant deadline)
{
    const auto own = co_await intake.submit(job, record, deadline);
    if (isProven(own) || bootNow() >= deadline)
        co_return own;
    const auto peer = co_await routes.askPeer(std::move(job), std::move(record));
    co_return combineResults(own, peer);
}

/// Stores a job as `storeHereOrThroughPeer` does. While an answer of the store is late or its
/// result unknown, the leader is asked beside it: the feed may have told it of the row.
///
/// Callers can't repeat a request of unknown result, so the work of such a job would be in vain.
template<typename OwnIntake>
class HandIn : public std::enable_shared_from_this<HandIn<OwnIntake>>
{
public:
    HandIn(OwnIntake &intake, HandInRoutes routes, std::string job, Instant deadline)
        : intake(intake)
        , routes(std::move(routes))
        , job(std::move(job))
        , deadline(deadline)
    {}

    Awaitable<IntakeResult> run(std::string record)
    {
        const auto executor = co_await http::asio::this_coro::executor;
        co_return co_await http::awaitCallback<IntakeResult>([&](auto done) {
            auto self = this->shared_from_this();
            this->done = std::move(done);
            spawn(executor, "hand-in",
                  [self, record = std::move(record)] { return self->store(record); });
            spawn(executor, "hand-in-proof", [self] { return self->lookForProof(); });
        });
    }

private:
    // An answer that takes longer is late: a sound store takes some 20 ms.
    static constexpr auto lateAfter = std::chrono::milliseconds(350);
    static constexpr auto lookPause = std::chrono::milliseconds(200);
    // At the deadline the intake tells which jobs were never sent; that answer goes first.
    static constexpr auto ownAnswerMargin = std::chrono::milliseconds(20);

    Awaitable<void> store(std::string record)
    {
        const auto result = co_await storeHereOrThroughPeer(this->intake, this->routes, this->job,
                                                            std::move(record), this->deadline);
        this->isResultUnknown = result == IntakeResult::Unknown;
        if (!this->isResultUnknown)
            this->answer(result);
    }

    Awaitable<void> lookForProof()
    {
        co_await pause(std::min<Duration>(lateAfter, this->deadline - bootNow()));
        while (this->done && bootNow() < this->deadline) {
            bool isStored = co_await this->routes.isKnownToLeader(this->job);
            if (!isStored && this->isResultUnknown)
                isStored = co_await this->routes.isSeenInStore(this->job);
            if (isStored)
                this->answer(IntakeResult::AlreadyStored);
            else
                co_await pause(std::min<Duration>(lookPause, this->deadline - bootNow()));
        }
        if (this->done)
            co_await pause(ownAnswerMargin);
        this->answer(IntakeResult::Unknown);
    }

    void answer(IntakeResult result)
    {
        if (this->done)
            std::exchange(this->done, nullptr)(result);
    }

    OwnIntake &intake;
    HandInRoutes routes;
    std::string job;
    Instant deadline;
    std::function<void(IntakeResult)> done; // empty after the answer
    bool isResultUnknown = false; // storing has ended without a proof
};

} // namespace sassafrasferry::coordination
