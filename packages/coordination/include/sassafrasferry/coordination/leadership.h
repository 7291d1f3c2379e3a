// Elects the entry VM that leads, by a lease row in the store.
#pragma once

#include <sassafrasferry/coordination/job_rows.h>
#include <sassafrasferry/coordination/leadership_events.h>
#include <sassafrasferry/coordination/lease_row.h>
#include <sassafrasferry/coordination/read_index.h>
#include <sassafrasferry/coordination/tenure.h>
#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/model/settings.h>
#include <sassafrasferry/scheduling/open_vm_order.h>

#include <algorithm>
#include <functional>
#include <optional>

#include <glog/logging.h>

namespace sassafrasferry::coordination {

/// Takes, renews and watches the lease.
template<store::PartStore Store>
class Leadership
{
public:
    using Events = LeadershipEvents;

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
                co_await this->maintain();
            else if (this->mustReadLease())
                co_await this->watch();
            co_await pause(this->times.tick);
        }
    }

    bool isLeader() const
    {
        return this->leading;
    }

    /// When the newest read of the lease row was sent that the store answered; the epoch without
    /// one.
    Instant storeAnsweredAt() const
    {
        return this->answeredReadAt;
    }

    /// How long ago the store last confirmed this lease.
    Duration sinceConfirmed() const
    {
        return bootNow() - this->confirmedAt;
    }

    /// The latest end of a lease that may be granted to a worker now.
    Instant leasesEndBy() const
    {
        return this->confirmedAt + this->times.leaseLimit;
    }

    /// Version of the lease row, as last read or written.
    std::int64_t leaseVersion() const
    {
        return this->version;
    }

    /// Moments at which the store confirmed this tenure's lease, with their versions.
    const ReadIndex &confirmations() const
    {
        return this->readIndex;
    }

    /// Address of the current leader, if one is known.
    std::optional<model::Endpoint> leaderAddress() const
    {
        return this->leader;
    }

    /// Notes that the leader answered, and the version of its lease row that it reported. A lower
    /// version than the known one is ignored: the leader missed the store's answer to a renewal,
    /// and may have lost the store, so the row must not seem to have changed.
    void noteLeaderAnswer(std::int64_t leaseVersion)
    {
        // Asked before this tenure. The answer of a newer leader must not let this process renew
        // over its row.
        if (this->leading)
            return;
        this->leaderAnsweredAt = bootNow();
        if (leaseVersion >= this->version)
            this->noteVersion(leaseVersion);
    }

    /// Sets whether a live entry VM with far more processor cores should take an expired lease
    /// before this one.
    void setYielding(bool yields)
    {
        this->yields = yields;
    }

    /// Notes that the presumed leader does not lead, or is about to stop.
    void noteNotLeader()
    {
        this->leaderAnsweredAt = {};
    }

    /// Ends this tenure, for instance because a worker or the store knows a newer leader.
    void deposed(const std::string &why)
    {
        if (!this->leading)
            return;
        this->leading = false;
        LOG(WARNING) << "event=lead-lost fence=" << this->tenure.fence << " why=\"" << why << '"';
        this->events.onLost(why);
    }

    /// Records in the lease row that orders about these VMs are about to be given, so that a
    /// successor delays its orders about these VMs only, instead of all. If it returns false, the
    /// orders must not be given.
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

    /// Returns once the store has just confirmed the lease, this process no longer leads, or at
    /// `latest`.
    Awaitable<void> awaitConfirmation(Instant latest) const
    {
        while (this->leading && this->sinceConfirmed() > this->times.tick * 2 && bootNow() < latest)
            co_await pause(this->times.tick);
    }

    /// Releases the lease for good. `orderedVms` are the VMs about which orders were given within
    /// the hand-over delay.
    Awaitable<void> release(std::vector<std::string> orderedVms)
    {
        this->released = true;
        co_await this->writeRelease(std::move(orderedVms), "released", "");
    }

    /// Releases the lease because this process can't lead at present. `successor` is the address of
    /// the entry VM that should lead instead; empty if none is known.
    Awaitable<void> stepDown(std::vector<std::string> orderedVms, std::string why,
                             std::string successor)
    {
        this->heldOffUntil = bootNow() + this->times.holdOff;
        co_await this->writeRelease(std::move(orderedVms), std::move(why), std::move(successor));
    }

private:
    static constexpr auto writePause = std::chrono::milliseconds(5);

    /// Writes the lease row with this process as the holder, which renews the lease.
    Awaitable<store::CommitState> write()
    {
        const auto begin = bootNow();
        this->isWriting = true;
        this->renewedAt = begin;
        const auto record =
            this->record(this->events.openVmOrders(), this->events.restartedWorkers(), begin);
        const auto transaction = leaseTransaction(record, this->version);
        const auto commit = co_await this->store.commit(transaction);
        this->isWriting = false;
        if (this->leading && commit.state == store::CommitState::Committed) {
            this->version = commit.version;
            this->confirmed({begin, commit.version, begin});
        }
        co_return commit.state;
    }

    Awaitable<void> writeRelease(std::vector<std::string> orderedVms, std::string why,
                                 std::string successor)
    {
        // A renewal in flight changes the version of the row, and the release would be refused. The
        // lease would then have to expire before a successor can take it.
        while (this->leading && this->isWriting)
            co_await pause(writePause);
        if (!this->leading)
            co_return;
        // Before the events of this tenure end.
        auto record =
            this->record(this->events.openVmOrders(), this->events.restartedWorkers(), bootNow());
        this->deposed(why);
        record.clear_holder();
        record.clear_ordered_vms();
        record.set_successor(std::move(successor));
        for (auto &vm : orderedVms)
            record.add_ordered_vms(std::move(vm));
        auto state = co_await this->replaceRow(record);
        int tries = 1;
        // An earlier renewal may have been applied late and changed the row's version.
        if (state == store::CommitState::Conflict) {
            messages::LeaseRecord current;
            const bool isRead = co_await this->readLease(current);
            if (isRead && this->isMine(current) && !this->leading) {
                state = co_await this->replaceRow(record);
                ++tries;
            }
        }
        if (state == store::CommitState::Committed)
            LOG(INFO) << "event=lease-released tries=" << tries;
        else
            LOG(WARNING) << "event=lease-not-released tries=" << tries;
    }

    /// Writes the row if it still has the version that this process knows.
    Awaitable<store::CommitState> replaceRow(const messages::LeaseRecord &record)
    {
        const auto transaction = leaseTransaction(record, this->version);
        const auto commit = co_await this->store.commit(transaction);
        co_return commit.state;
    }

    messages::LeaseRecord record(const std::vector<scheduling::OpenVmOrder> &openVmOrders,
                                 const std::vector<scheduling::RestartedWorker> &restartedWorkers,
                                 Instant sentAt) const
    {
        messages::LeaseRecord record;
        record.set_holder(this->self);
        record.set_address(model::toString(this->address));
        record.set_incarnation(this->incarnation);
        record.set_term(this->tenure.term);
        record.set_announces_orders(true);
        record.set_renewed_milliseconds(sentAt.time_since_epoch() / std::chrono::milliseconds(1));
        setEarlierLeaders(record, this->tenure, sentAt);
        setRestartedWorkers(record, restartedWorkers, sentAt);
        for (const auto &vm : this->events.orderedVms())
            record.add_ordered_vms(vm);
        for (const auto &vm : this->announced)
            record.add_ordered_vms(vm);
        for (const auto &order : openVmOrders)
            *record.add_open_orders() = toMessage(order);
        return record;
    }

    void noteVersion(std::int64_t newVersion)
    {
        if (newVersion == this->version && this->hasVersion)
            return;
        this->hasVersion = true;
        this->version = newVersion;
        this->versionSince = bootNow();
    }

    void confirmed(const LeaseConfirmation &confirmation)
    {
        this->confirmedAt = std::max(this->confirmedAt, confirmation.writtenAt);
        this->readIndex.confirm(confirmation.version, confirmation.askedAt);
    }

    // A read confirms the lease as of the write that made the row. A successor may have seen the
    // same row before the read, and counts its wait from then.
    LeaseConfirmation readConfirmation(const messages::LeaseRecord &record, Instant askedAt) const
    {
        const Instant writtenAt{std::chrono::milliseconds(record.renewed_milliseconds())};
        return {writtenAt, this->readAtVersion, askedAt};
    }

    /// Reads the lease row. Returns false if the store did not answer.
    Awaitable<bool> readLease(messages::LeaseRecord &record)
    {
        const auto askedAt = bootNow();
        const store::PartRange range{table::lease, table::lease, "", ""};
        const auto page = co_await this->store.scan(range);
        if (!page.ok())
            co_return false;
        this->answeredReadAt = std::max(this->answeredReadAt, askedAt);
        this->readAtVersion = page->version;
        if (page->rows.empty()) {
            this->noteVersion(store::absent);
            co_return true;
        }
        if (!record.ParseFromString(page->rows.front().value))
            LOG(ERROR) << "event=lease-unreadable version=" << page->rows.front().version;
        this->noteVersion(page->rows.front().version);
        co_return true;
    }

    // True if the leader has not answered recently, or has reported no renewal of its lease. A
    // leader that answers without renewing has lost the store and can record nothing.
    bool mustReadLease() const
    {
        const auto now = bootNow();
        return now - this->leaderAnsweredAt > this->times.leaderAnswerMaxAge || !this->hasVersion
               || now - this->versionSince > std::min(this->times.maxRenewalGap, this->times.term);
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
        if (now - this->leaseReadAt < (isWaiting ? this->times.tick : this->times.readPeriod))
            co_return;
        this->leaseReadAt = now;
        messages::LeaseRecord record;
        if (!co_await this->readLease(record))
            co_return;
        auto openVmOrders = openVmOrdersOf(record);
        const bool isOwn = this->isMine(record);
        // This process acquired the lease, and the answer was lost.
        if (isOwn && record.term() > this->ledTerm) {
            this->pendingTenure.openVmOrders = std::move(openVmOrders);
            if (isHeldOff)
                co_return;
            this->lead(this->version, this->pendingTenure, this->readConfirmation(record, now));
            co_return;
        }
        this->leader = model::parseEndpoint(record.address());
        const bool isFree = record.holder().empty();
        const bool isEarlierProcess = record.holder() == this->self && !isOwn;
        const bool isExpired = bootNow() - this->versionSince > this->times.term;
        auto next = tenureAfter(record, isEarlierProcess, isOwn);
        next.predecessorConfirmedBy = this->versionSince;
        next.earlierConfirmedBy = earlierConfirmedBy(record, this->versionSince);
        next.openVmOrders = std::move(openVmOrders);
        next.restartedWorkers = restartedWorkersOf(record, this->versionSince);
        next.restartsKnownUntil = restartsKnownUntil(record, this->versionSince);
        if (!isFree && !isEarlierProcess && !isOwn && !isExpired) {
            this->freeSince = {};
            co_return;
        }
        if (this->freeSince == Instant{})
            this->freeSince = now;
        if (isHeldOff)
            co_return;
        if (isEarlierProcess || isOwn
            || now - this->freeSince >= takeDelayFor(record, this->address, now - this->startedAt,
                                                     this->yields, this->times))
            co_await this->acquire(next);
    }

    Awaitable<void> acquire(Tenure next)
    {
        const auto begin = bootNow();
        this->pendingTenure = next;
        this->tenure = next;
        const auto transaction = leaseTransaction(
            this->record(next.openVmOrders, next.restartedWorkers, begin), this->version);
        const auto commit = co_await this->store.commit(transaction);
        if (commit.state == store::CommitState::Committed && !this->released)
            this->lead(commit.version, next, {begin, commit.version, begin});
    }

    void lead(std::int64_t fence, const Tenure &next, const LeaseConfirmation &confirmation)
    {
        this->tenure = next;
        this->tenure.fence = fence;
        this->version = fence;
        this->readIndex = {};
        this->confirmedAt = {};
        this->confirmed(confirmation);
        this->renewedAt = confirmation.writtenAt;
        this->leading = true;
        this->ledTerm = next.term;
        this->leader = this->address;
        LOG(INFO) << "event=lead fence=" << fence << " term=" << this->tenure.term
                  << " predecessor-stopped=" << next.predecessorStopped << " first=" << next.isFirst
                  << " row-age-ms="
                  << (bootNow() - next.predecessorConfirmedBy) / std::chrono::milliseconds(1)
                  << " yielded=" << this->yields;
        this->events.onLead(this->tenure);
    }

    Awaitable<void> maintain()
    {
        const auto begin = bootNow();
        if (begin - this->confirmedAt > this->times.orderLimit) {
            this->deposed("the store has not confirmed the lease within the order limit");
            co_return;
        }
        if (begin - this->renewedAt < this->times.renew || this->isWriting)
            co_return;
        const auto state = co_await this->write();
        if (!this->leading || state == store::CommitState::Committed
            || state == store::CommitState::NotApplied || state == store::CommitState::Rejected)
            co_return;
        // An earlier renewal may have been applied late and changed the row's version.
        messages::LeaseRecord record;
        const auto asked = bootNow();
        if (!co_await this->readLease(record) || !this->leading)
            co_return;
        if (this->isMine(record))
            this->confirmed(this->readConfirmation(record, asked));
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
    bool isWriting = false; // a write of the lease row is in progress
    std::vector<std::string> announced; // VMs of orders that wait for the write of the lease row
    Tenure pendingTenure; // tenure that begins if the attempt to acquire succeeds
    /// Last term that this process led. A leader keeps its books in memory for one tenure, so a
    /// term, with its run numbers, is never led twice.
    std::int64_t ledTerm = 0;
    bool hasVersion = false;
    std::int64_t version = store::absent; // version of the lease row, as last read or written
    std::int64_t readAtVersion = store::absent; // of the store, when the lease row was last read
    Instant versionSince{}; // when this version of the lease row was first seen
    Instant confirmedAt{}; // when the last confirmed renewal was sent
    ReadIndex readIndex; // confirmations of this tenure
    Instant renewedAt{}; // when the last renewal was sent
    Instant leaderAnsweredAt{}; // when the leader last answered
    Instant leaseReadAt{}; // when the lease row was last read
    Instant answeredReadAt{}; // when the newest answered read of the lease row was sent
    Instant startedAt = bootNow(); // approximate start of this process
    Instant freeSince{}; // when the lease was first seen free
    Instant heldOffUntil{}; // this process takes no lease before
    bool yields = false; // a far stronger entry VM was alive when the leader last answered
    std::optional<model::Endpoint> leader;
};

} // namespace sassafrasferry::coordination
