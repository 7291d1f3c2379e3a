// Tells when a leader may give orders: by the age of its lease's confirmation, and by how far the
// rows that it has read are behind the store's answers to any entry VM.
#pragma once

#include <sassafrasferry/coordination/leader_options.h>
#include <sassafrasferry/coordination/tenure.h>

#include <algorithm>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// The moments up to which a leader knows all changes of the tables that it follows.
struct ReadTimes
{
    Instant intake{};
    Instant workers{};
};

/// The latest moment at which a start that is checked at `now` may take effect. `coveredUntil`: of
/// the intake. It lies so long before the end of the time after which a cancelled job's tasks must
/// not start that errors in the estimate of the worker's clock don't matter. While the store is
/// silent, starts go on and are valid for a short time.
inline Instant startsValidUntil(Instant coveredUntil, Instant now)
{
    constexpr Duration maxKnowledgeAge = std::chrono::milliseconds(2700);
    constexpr Duration minValidity = std::chrono::milliseconds(400);
    return std::max(coveredUntil + maxKnowledgeAge, now + minValidity);
}

/// `options` and `tenure` outlive it.
class OrderGate
{
public:
    OrderGate(const LeaderOptions &options, const Tenure &tenure, Instant tookOverAt)
        : options(options)
        , tenure(tenure)
        , tookOverAt(tookOverAt)
    {}

    /// After a suspension of the process its state may be outdated, so it must not give orders.
    bool canOrder() const
    {
        return this->options.sinceConfirmed() < this->options.leadership.orderLimit;
    }

    /// While the store answers an entry VM, that one can store cancellations, and workers can
    /// report that they drain. Starts then pause while the rows read here are too old to tell, and
    /// while there is no telling whether the store answers others. While it answers nobody, no row
    /// is behind its last answer, and starts go on. `hasCaps`: a customer has a cap.
    bool canStart(const ReadTimes &readTimes, bool hasCaps) const
    {
        const auto newest = this->newestAnswer();
        return this->canOrder() && !this->isAlone() && (!hasCaps || this->knowsCaps(newest))
               && newest - readTimes.intake < maxReadLag && newest - readTimes.workers < maxReadLag;
    }

    /// The latest moment at which the store is known to have answered an entry VM.
    Instant newestAnswer() const
    {
        return std::max(this->options.confirmations().newest(),
                        this->options.peerContact().storeAnsweredAt);
    }

    /// A predecessor of an earlier version does not announce its orders, and may have sent one just
    /// before the store stopped confirming its lease.
    bool canOrderVms() const
    {
        const bool knowsOrders = this->tenure.isFirst || this->tenure.knowsPredecessorOrders;
        return this->options.sinceConfirmed() < vmOrderLimit
               && (knowsOrders || bootNow() > this->deferredUntil());
    }

    /// No order is given before about a VM that the predecessor gave one about.
    Instant deferredUntil() const
    {
        return this->tookOverAt + this->options.handOverDelay + vmOrderMargin;
    }

private:
    // Less than the time after which a cancelled job's tasks must not start (3 s).
    static constexpr Duration maxReadLag = std::chrono::milliseconds(2000);
    // Orders about VMs are given only if the lease was confirmed within this time. It is shorter
    // than the term after which another entry VM may take the lease, so that a successor need not
    // add the whole limit to its wait.
    static constexpr Duration vmOrderLimit = std::chrono::milliseconds(800);
    static constexpr Duration vmOrderMargin = std::chrono::milliseconds(200);

    // Neither the store nor the other entry VMs can be heard, which may follow another leader.
    bool isAlone() const
    {
        return this->options.sinceConfirmed() >= maxReadLag && this->options.peerContact().isLost;
    }

    // A cap that was cut has to be kept once its configuration is in force.
    bool knowsCaps(Instant newestAnswer) const
    {
        const auto lag = newestAnswer - this->options.configurationCoveredUntil();
        return lag < this->options.maxConfigurationLag;
    }

    const LeaderOptions &options;
    const Tenure &tenure;
    Instant tookOverAt;
};

/// Logs when starts pause and resume.
class StartLog
{
public:
    void note(bool areAllowed, Instant newestAnswer, const ReadTimes &readTimes,
              Duration sinceConfirmed)
    {
        using std::chrono::milliseconds;
        if (areAllowed == this->wereAllowed)
            return;
        this->wereAllowed = areAllowed;
        LOG(WARNING) << "event=starts-" << (areAllowed ? "resumed" : "paused")
                     << " intake-lag-ms=" << (newestAnswer - readTimes.intake) / milliseconds(1)
                     << " workers-lag-ms=" << (newestAnswer - readTimes.workers) / milliseconds(1)
                     << " confirmed-ms=" << sinceConfirmed / milliseconds(1);
    }

private:
    bool wereAllowed = true;
};

} // namespace sassafrasferry::coordination
