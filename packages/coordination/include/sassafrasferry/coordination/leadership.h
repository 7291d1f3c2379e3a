// Which entry VM leads: a lease row in the store.
#pragma once

#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/model/settings.h>

#include <functional>
#include <optional>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// Times of the scheduling lease.
struct LeadershipTimes
{
    Duration renew = std::chrono::milliseconds(400);
    /// A row that stood unchanged for this long is anybody's. For liveness alone: what keeps two
    /// leaders apart is the fence.
    Duration term = std::chrono::milliseconds(1600);
    /// How long a leader goes on giving orders that the store does not confirm. The store may be
    /// away for some seconds, and the workers' leases must outlast that.
    Duration orderLimit = std::chrono::milliseconds(6500);
    Duration heard = std::chrono::milliseconds(600); ///< no look at the row while a leader answers
    Duration look = std::chrono::milliseconds(200); ///< between looks at the row
    Duration tick = std::chrono::milliseconds(50);
    /// Before a free lease is taken, so that entry VMs with more processor come first.
    Duration takeDelay = std::chrono::milliseconds(0);
    /// The wait for a lease that was given up grows to this with the age of the process, up to that
    /// age.
    Duration youthDelay = std::chrono::milliseconds(300);
    Duration restartMemory = std::chrono::seconds(30);
    /// One that stepped down because it could not lead lets others go first for this long.
    Duration holdOff = std::chrono::seconds(3);
    /// The one that the leader before named comes first by this.
    Duration successorLead = std::chrono::milliseconds(600);
};

/// What a new leader has to know of its lease.
struct Tenure
{
    std::int64_t fence = 0; ///< higher than that of every leader before
    std::int64_t term = 0;
    /// The leader before is known to have stopped: it gave the lease up, or it was an earlier
    /// process of this entry VM.
    bool predecessorStopped = false;
    bool isFirst = false; ///< nobody led before, or an earlier process of this entry VM
    /// The leader before named all VMs that it may have given orders about lately.
    bool knowsOrders = false;
    std::vector<std::string> orderedVms; ///< these; no order about them for the hand-over delay
};

/// Takes, renews and watches the lease.
template<store::PartStore Store>
class Leadership
{
public:
    struct Events
    {
        std::function<void(const Tenure &)> onLead;
        std::function<void(const std::string &why)> onLost;
        /// VMs about which orders were given lately.
        std::function<std::vector<std::string>()> orderedVms = [] {
            return std::vector<std::string>{};
        };
    };

    Leadership(Store &store, std::string self, model::Endpoint address, std::int64_t incarnation,
               Events events, LeadershipTimes times = {})
        : store(store)
        , self(std::move(self))
        , address(std::move(address))
        , incarnation(incarnation)
        , events(std::move(events))
        , times(times)
    {}

    Awaitable<void> run()
    {
        while (!this->released) {
            if (this->leading)
                co_await this->keep();
            else if (this->mustLook())
                co_await this->watch();
            co_await pause(this->times.tick);
        }
    }

    bool leads() const
    {
        return this->leading;
    }

    /// How long ago the store last confirmed this lease.
    Duration sinceConfirmed() const
    {
        return bootNow() - this->confirmedAt;
    }

    std::int64_t leaseVersion() const
    {
        return this->version;
    }

    /// Where the leader is asked; nothing while none is known.
    std::optional<model::Endpoint> leaderAddress() const
    {
        return this->leader;
    }

    /// The leader has answered, with the version of its lease row.
    void heard(std::int64_t leaseVersion)
    {
        this->heardAt = bootNow();
        this->see(leaseVersion);
    }

    /// The one asked does not lead, or is about to stop.
    void denied()
    {
        this->heardAt = {};
    }

    /// A worker has heard a newer leader.
    void deposed(const std::string &why)
    {
        if (!this->leading)
            return;
        this->leading = false;
        LOG(WARNING) << "event=lead-lost fence=" << this->tenure.fence << " why=\"" << why << '"';
        this->events.onLost(why);
    }

    /// Writes into the lease row that orders about these VMs are about to be given. A successor
    /// then knows which VMs to leave alone for a while, and need not wait with all others. False:
    /// they must not be given.
    Awaitable<bool> announce(std::vector<std::string> vms)
    {
        while (this->leading && this->isWriting)
            co_await pause(writePause);
        if (!this->leading)
            co_return false;
        this->announced = std::move(vms);
        const auto state = co_await this->write();
        this->announced.clear();
        co_return this->leading &&state == store::CommitState::Committed;
    }

    /// Returns once the store has just confirmed the lease, or this process does not lead.
    Awaitable<void> awaitConfirmation(Instant latest) const
    {
        while (this->leading && this->sinceConfirmed() > this->times.tick * 2 && bootNow() < latest)
            co_await pause(this->times.tick);
    }

    /// Gives the lease up for good. `orderedVms` are those that it gave orders about lately.
    Awaitable<void> release(std::vector<std::string> orderedVms)
    {
        this->released = true;
        co_await this->free(std::move(orderedVms), "released", "");
    }

    /// Gives the lease up because this process can't lead now. `successor` is the address of the
    /// one who should lead, if one is known.
    Awaitable<void> stepDown(std::vector<std::string> orderedVms, std::string why,
                             std::string successor)
    {
        this->heldOffUntil = bootNow() + this->times.holdOff;
        co_await this->free(std::move(orderedVms), std::move(why), std::move(successor));
    }

private:
    static constexpr auto writePause = std::chrono::milliseconds(5);

    /// Writes the row under this lease, which renews it.
    Awaitable<store::CommitState> write()
    {
        const auto begin = bootNow();
        this->isWriting = true;
        this->renewedAt = begin;
        const auto transaction = this->transaction(this->record());
        const auto commit = co_await this->store.commit(transaction);
        this->isWriting = false;
        if (this->leading && commit.state == store::CommitState::Committed) {
            this->version = commit.version;
            this->confirmedAt = begin;
        }
        co_return commit.state;
    }

    Awaitable<void> free(std::vector<std::string> orderedVms, std::string why,
                         std::string successor)
    {
        if (!this->leading)
            co_return;
        this->deposed(why);
        auto record = this->record();
        record.clear_holder();
        record.clear_ordered_vms();
        record.set_successor(std::move(successor));
        for (auto &vm : orderedVms)
            record.add_ordered_vms(std::move(vm));
        const auto transaction = this->transaction(record);
        const auto commit = co_await this->store.commit(transaction);
        if (commit.state != store::CommitState::Committed)
            LOG(WARNING) << "event=lease-not-released";
    }

    messages::LeaseRecord record() const
    {
        messages::LeaseRecord record;
        record.set_holder(this->self);
        record.set_address(model::toString(this->address));
        record.set_incarnation(this->incarnation);
        record.set_term(this->tenure.term);
        record.set_announces_orders(true);
        for (const auto &vm : this->events.orderedVms())
            record.add_ordered_vms(vm);
        for (const auto &vm : this->announced)
            record.add_ordered_vms(vm);
        return record;
    }

    store::PartTransaction transaction(const messages::LeaseRecord &record) const
    {
        return {table::lease,
                {{table::lease, table::lease, this->version}},
                {{table::lease, table::lease, record.SerializeAsString()}},
                {}};
    }

    void see(std::int64_t seenVersion)
    {
        if (seenVersion == this->version && this->hasSeen)
            return;
        this->hasSeen = true;
        this->version = seenVersion;
        this->seenSince = bootNow();
    }

    /// Reads the row; false if the store did not answer.
    Awaitable<bool> look(messages::LeaseRecord &record)
    {
        const store::PartRange range{table::lease, table::lease, "", ""};
        const auto page = co_await this->store.scan(range);
        if (!page.ok())
            co_return false;
        if (page->rows.empty()) {
            this->see(store::absent);
            co_return true;
        }
        if (!record.ParseFromString(page->rows.front().value))
            LOG(ERROR) << "event=lease-unreadable version=" << page->rows.front().version;
        this->see(page->rows.front().version);
        co_return true;
    }

    // A leader that answers but does not renew has lost the store, and can record nothing.
    bool mustLook() const
    {
        const auto now = bootNow();
        return now - this->heardAt > this->times.heard || !this->hasSeen
               || now - this->seenSince > this->times.term;
    }

    bool isMine(const messages::LeaseRecord &record) const
    {
        return record.holder() == this->self && record.incarnation() == this->incarnation;
    }

    Awaitable<void> watch()
    {
        const auto now = bootNow();
        const bool isHeldOff = now < this->heldOffUntil;
        const bool isWaiting = this->freeSince != Instant{};
        if (now - this->lookedAt < (isWaiting ? this->times.tick : this->times.look))
            co_return;
        this->lookedAt = now;
        messages::LeaseRecord record;
        if (!co_await this->look(record))
            co_return;
        if (this->isMine(record)) {
            // The take of this lease was applied, though its answer was lost; or giving it up was
            // not, and then it runs out.
            if (!isHeldOff)
                this->lead(this->version, now, this->takes);
            co_return;
        }
        this->leader = model::parseEndpoint(record.address());
        const bool isFree = record.holder().empty();
        const bool isOwnPast = record.holder() == this->self;
        const bool isOver = bootNow() - this->seenSince > this->times.term;
        Tenure next;
        next.term = record.term() + 1;
        next.predecessorStopped = isFree || isOwnPast;
        next.isFirst = record.term() == 0 || isOwnPast;
        next.knowsOrders = record.term() > 0 && (isFree || record.announces_orders());
        // Orders of this entry VM's earlier process are its own.
        if (!isOwnPast)
            next.orderedVms.assign(record.ordered_vms().begin(), record.ordered_vms().end());
        if (!isFree && !isOwnPast && !isOver) {
            this->freeSince = {};
            co_return;
        }
        if (this->freeSince == Instant{})
            this->freeSince = now;
        if (isHeldOff)
            co_return;
        if (isOwnPast || now - this->freeSince >= this->delayFor(record, now))
            co_await this->take(next);
    }

    // Where entry VMs are restarted in turn, those that have had theirs lead on.
    Duration delayFor(const messages::LeaseRecord &record, Instant now) const
    {
        if (!record.holder().empty())
            return this->times.takeDelay;
        if (!record.successor().empty())
            return record.successor() == model::toString(this->address)
                       ? Duration::zero()
                       : this->times.takeDelay + this->times.successorLead;
        const auto age = std::min(now - this->begunAt, this->times.restartMemory);
        return this->times.takeDelay
               + this->times.youthDelay * (age / std::chrono::milliseconds(1))
                     / (this->times.restartMemory / std::chrono::milliseconds(1));
    }

    Awaitable<void> take(Tenure next)
    {
        const auto begin = bootNow();
        this->takes = next;
        this->tenure.term = next.term;
        const auto transaction = this->transaction(this->record());
        const auto commit = co_await this->store.commit(transaction);
        if (commit.state == store::CommitState::Committed && !this->released)
            this->lead(commit.version, begin, next);
    }

    void lead(std::int64_t fence, Instant confirmed, const Tenure &next)
    {
        this->tenure = next;
        this->tenure.fence = fence;
        this->version = fence;
        this->confirmedAt = confirmed;
        this->renewedAt = confirmed;
        this->leading = true;
        this->leader = this->address;
        LOG(INFO) << "event=lead fence=" << fence << " term=" << this->tenure.term
                  << " predecessor-stopped=" << next.predecessorStopped;
        this->events.onLead(this->tenure);
    }

    Awaitable<void> keep()
    {
        const auto begin = bootNow();
        if (begin - this->confirmedAt > this->times.orderLimit) {
            this->deposed("the store does not confirm the lease");
            co_return;
        }
        if (begin - this->renewedAt < this->times.renew || this->isWriting)
            co_return;
        const auto state = co_await this->write();
        if (!this->leading || state == store::CommitState::Committed
            || state == store::CommitState::NotApplied)
            co_return;
        // An earlier renewal may have been applied late, which moves the version on.
        messages::LeaseRecord record;
        const auto asked = bootNow();
        if (!co_await this->look(record) || !this->leading)
            co_return;
        if (this->isMine(record))
            this->confirmedAt = asked;
        else
            this->deposed("the lease was taken by " + record.holder());
    }

    Store &store;
    std::string self;
    model::Endpoint address;
    std::int64_t incarnation;
    Events events;
    LeadershipTimes times;
    Tenure tenure;
    bool leading = false;
    bool released = false;
    bool isWriting = false; // a write of the row is under way
    std::vector<std::string> announced; // VMs of orders that wait for that write
    Tenure takes; // of the take that is under way
    bool hasSeen = false;
    std::int64_t version = store::absent; // of the row, as last seen or written
    Instant seenSince{}; // when the row was first seen at this version
    Instant confirmedAt{}; // when the last confirmed renewal was sent
    Instant renewedAt{};
    Instant heardAt{};
    Instant lookedAt{};
    Instant begunAt = bootNow(); // when this process began
    Instant freeSince{}; // when the lease was first seen free
    Instant heldOffUntil{}; // until then it takes no lease
    std::optional<model::Endpoint> leader;
};

} // namespace sassafrasferry::coordination
