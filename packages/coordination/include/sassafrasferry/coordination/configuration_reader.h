// The operators' configuration as an entry VM knows it, and how old that knowledge may be.
#pragma once

#include <sassafrasferry/coordination/operator_rows.h>
#include <sassafrasferry/coordination/pause_watch.h>
#include <sassafrasferry/coordination/table_refresher.h>
#include <sassafrasferry/policy/configuration_age.h>

namespace sassafrasferry::coordination {

/// How old the configuration may be that a request is routed by.
struct ConfigurationTimes
{
    /// A change has to be in force this long after the store acknowledged it.
    Duration maxDelay = std::chrono::milliseconds(2000);
    /// A removed key must not be served this long after the store acknowledged its removal.
    std::optional<Duration> maxKeyRemovalDelay;

    /// An older configuration is read again first.
    Duration maxAge() const
    {
        return this->maxDelay * 3 / 4;
    }

    /// A configuration that is known to be further behind serves no requests. A leader with one
    /// starts no tasks while customers have caps.
    Duration maxLag() const
    {
        return this->maxDelay - clockMargin;
    }

    /// Bounds on the age of the configuration by which a key is judged.
    policy::KeyTimes keyTimes() const
    {
        if (!this->maxKeyRemovalDelay)
            return {this->maxDelay, Duration::max()};
        return {this->maxDelay, *this->maxKeyRemovalDelay - clockMargin};
    }

    /// With an older configuration an entry VM asks the balancer for no further callers. The
    /// balancer needs time to notice, so this comes well before keys are refused.
    Duration maxReadyAge() const
    {
        return this->maxKeyRemovalDelay ? std::min(maxSilence, *this->maxKeyRemovalDelay / 2)
                                        : maxSilence;
    }

    /// A feed without changes tells only of the time before it was asked, so that the age of an
    /// unchanged configuration reaches twice this time.
    std::chrono::milliseconds feedWait() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(this->maxDelay / 4);
    }

private:
    static constexpr Duration maxSilence = std::chrono::milliseconds(4500);
    // For clocks that run at different speeds here and at the store.
    static constexpr Duration clockMargin = std::chrono::milliseconds(200);
};

/// Follows the operators' table and reads it again for requests that would be routed by a
/// configuration that may be outdated.
template<typename Platform>
class ConfigurationReader : public std::enable_shared_from_this<ConfigurationReader<Platform>>
{
public:
    using Store = typename Platform::Store;
    using Events = typename OperatorRows<Platform>::Events;

    ConfigurationReader(http::asio::any_io_executor executor, Store &store,
                        ConfigurationTimes times, Events events)
        : executor(std::move(executor))
        , times(times)
        , rows(std::move(events))
        , follower(std::make_shared<TableFollower<Store>>(
              store, FollowOptions{Platform::operatorTable(), {""}, times.feedWait()},
              [this](const auto &changes, bool) { this->rows.apply(changes); }))
        , refresher(std::make_shared<TableRefresher<Store>>(this->executor, this->follower))
    {}

    void begin()
    {
        this->follower->begin(this->executor);
        auto self = this->shared_from_this();
        spawn(this->executor, "watch pauses",
              [self] { return restarted("watch pauses", [self] { return self->watchPauses(); }); });
    }

    const scheduling::Configuration &configuration() const
    {
        return this->rows.configuration();
    }

    /// The keys of that configuration's customers.
    const CustomerKeys &keys() const
    {
        return this->rows.keys();
    }

    /// All waves that operators have ordered, by wave number.
    const std::map<std::int64_t, scheduling::Wave> &waves() const
    {
        return this->rows.waves();
    }

    const ConfigurationTimes &bounds() const
    {
        return this->times;
    }

    /// Time since the store was asked the newest question that it answered.
    Duration age() const
    {
        return bootNow() - this->coveredUntil();
    }

    /// Every change that the store acknowledged before this moment is known.
    Instant coveredUntil() const
    {
        return this->follower->coveredUntil();
    }

    /// Reads the configuration again if it is too old or if this process has paused since it was
    /// read: a request that waited in the pause must not be routed by an older configuration than
    /// one that came before it. Returns false if it can't be read by `latest`.
    Awaitable<bool> renew(Instant latest = Instant::max())
    {
        const auto now = bootNow();
        this->pauses.update(now);
        const auto moment = std::max(now - this->times.maxAge(), this->pauses.resumedAt());
        const CoverLimits limits{maxSilence, std::min(latest, now + maxArrivalWait)};
        co_return co_await this->refresher->cover(moment, limits);
    }

    /// False while a newer configuration is arriving and this one is too old for requests.
    bool mayRoute() const
    {
        const policy::ConfigurationKnowledge known{this->age(),
                                                   this->follower->isNewerArriving(bootNow())};
        return policy::mayRoute(known, this->times.maxLag());
    }

    /// Learns of all changes that the store has acknowledged by now. Returns false if that is not
    /// possible by `latest`.
    Awaitable<bool> reread(Instant latest = Instant::max())
    {
        const auto now = bootNow();
        const CoverLimits limits{maxRereadSilence, std::min(latest, now + maxRereadSilence)};
        co_return co_await this->refresher->cover(now, limits);
    }

private:
    // A request that must not be refused for the age of the configuration doesn't wait longer for a
    // store that is silent.
    static constexpr Duration maxSilence = std::chrono::milliseconds(400);
    // A refused caller comes back after a second, so a longer wait doesn't pay.
    static constexpr Duration maxArrivalWait = std::chrono::milliseconds(1000);
    // A request on an unknown queue is refused if the store does not answer: it can't be told
    // whether the queue exists. A slow store takes up to about 0.6 s.
    static constexpr Duration maxRereadSilence = std::chrono::milliseconds(1500);

    Awaitable<void> watchPauses()
    {
        for (;;) {
            co_await pause(PauseWatch::interval);
            this->pauses.update(bootNow());
        }
    }

    http::asio::any_io_executor executor;
    ConfigurationTimes times;
    OperatorRows<Platform> rows;
    PauseWatch pauses{bootNow()};
    std::shared_ptr<TableFollower<Store>> follower; // of the operators' table
    std::shared_ptr<TableRefresher<Store>> refresher;
};

} // namespace sassafrasferry::coordination
