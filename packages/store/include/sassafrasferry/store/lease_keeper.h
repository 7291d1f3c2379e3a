// The control lease: one entry VM at a time plans waves and moves.
#pragma once

#include <sassafrasferry/policy/time.h>
#include <sassafrasferry/store/rows.h>

#include <string>
#include <utility>

namespace sassafrasferry::store {

/// Times of the lease.
struct LeaseTimes
{
    policy::Duration term = std::chrono::seconds(3);
    policy::Duration renew = std::chrono::seconds(1);
};

/// Takes, renews and watches the lease row.
///
/// No clocks are compared across VMs. A watcher takes the lease when the row has stood unchanged
/// for a whole term of its own clock; the holder counts its term from before it sent the renewal,
/// so its own view always ends first. A holder that was paused and does not know may still act:
/// that is why every control write also carries `fence()`, a condition on a row that each takeover
/// rewrites, and so fails at the store.
template<TableService Tables>
class LeaseKeeper
{
public:
    LeaseKeeper(Tables &tables, std::string holder, LeaseTimes times)
        : tables(tables)
        , holder(std::move(holder))
        , times(times)
    {}

    static RowKey leaseKey()
    {
        return {"control", "lease"};
    }

    static RowKey epochKey()
    {
        return {"control", "epoch"};
    }

    /// Takes the lease if it is free, renews it if it is held and due. `clock()` gives the time.
    template<typename Clock>
    Awaitable<void> step(Clock clock)
    {
        const auto begin = clock();
        if (this->holds(begin)) {
            if (begin >= this->renewAt)
                co_await this->write(begin, false);
            co_return;
        }
        const std::vector<RowKey> keys{leaseKey(), epochKey()};
        const auto rows = co_await this->tables.read(keys);
        if (!rows.ok())
            co_return;
        const auto *lease = findRow(*rows, leaseKey());
        const auto *epoch = findRow(*rows, epochKey());
        const auto version = lease ? lease->version : absent;
        this->seenHolder = lease ? lease->value.value("holder", "") : std::string();
        if (version != this->seenVersion || !this->hasSeen) {
            this->hasSeen = true;
            this->seenVersion = version;
            this->seenSince = begin;
        }
        this->epochVersion = epoch ? epoch->version : absent;
        this->epoch = epoch ? epoch->value.value("epoch", std::int64_t{0}) : 0;
        const bool isFree = version == absent || this->seenHolder.empty();
        if (isFree || begin - this->seenSince > this->times.term)
            co_await this->write(clock(), true);
    }

    /// Gives the lease up, so that another entry VM need not wait a term.
    Awaitable<void> release()
    {
        this->until = {};
        if (this->seenHolder != this->holder)
            co_return;
        Transaction transaction;
        transaction.conditions = {{leaseKey(), this->seenVersion}};
        transaction.puts = {{leaseKey(), {{"holder", ""}}}};
        co_await this->tables.commit(transaction);
    }

    /// True while this entry VM holds the lease by its own clock.
    bool holds(policy::Instant now) const
    {
        return now < this->until;
    }

    /// The condition that every control write carries.
    Condition fence() const
    {
        return {epochKey(), this->epochVersion};
    }

    std::int64_t currentEpoch() const
    {
        return this->epoch;
    }

private:
    Awaitable<void> write(policy::Instant begin, bool isTakeover)
    {
        Transaction transaction;
        transaction.conditions = {{leaseKey(), this->seenVersion},
                                  {epochKey(), this->epochVersion}};
        transaction.puts = {{leaseKey(), {{"holder", this->holder}}}};
        if (isTakeover)
            transaction.puts.push_back({epochKey(), {{"epoch", this->epoch + 1}}});
        const auto commit = co_await this->tables.commit(transaction);
        if (commit.state != CommitState::Committed) {
            // An unknown renewal may have moved the version on; the next step reads it.
            if (commit.state != CommitState::NotApplied)
                this->until = {};
            co_return;
        }
        this->seenVersion = commit.version;
        this->seenHolder = this->holder;
        if (isTakeover) {
            ++this->epoch;
            this->epochVersion = commit.version;
        }
        this->until = begin + this->times.term;
        this->renewAt = begin + this->times.renew;
    }

    Tables &tables;
    std::string holder;
    LeaseTimes times;
    bool hasSeen = false;
    std::int64_t seenVersion = absent; // of the lease row
    std::string seenHolder;
    policy::Instant seenSince{}; // when the row was first seen at this version
    std::int64_t epoch = 0;
    std::int64_t epochVersion = absent; // of the epoch row; the fence
    policy::Instant until{}; // end of the term that this entry VM holds
    policy::Instant renewAt{};
};

} // namespace sassafrasferry::store
