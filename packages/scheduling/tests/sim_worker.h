// A simulated worker on virtual time, with its runs, its lease, and the ended runs that it reports
// until the leader acknowledges them.
#pragma once

#include <sassafrasferry/scheduling/scheduler.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace sassafrasferry::scheduling::tests {

struct SimRun
{
    Instant endsAt{};
    bool fails = false;
};

/// Callbacks from a worker into its simulation.
struct SimWorkerCallbacks
{
    std::function<void(const RunKey &)> onStart; ///< called before the run is added
    std::function<SimRun()> createRun; ///< decides when and how a new run ends
    std::function<void(const TaskId &, jobs::RunEnd)> onEnd;
    std::function<void(const ListedEnd &)> onEndAcknowledged;
};

struct SimWorker
{
    std::string id;
    std::int64_t born = 0;
    Instant startedAt{};
    std::int64_t listedBorn = 0; ///< as its entry has it, which may still be the former one's
    Instant listedStart{}; ///< likewise
    double clockRate = 1;
    bool alive = true;
    bool isLost = false; ///< the worker never returns, but a leader may still list it
    Instant downUntil{}; ///< its process ended, and the next incarnation starts then
    Instant partitionedUntil{}; ///< no call reaches the worker before
    Instant holdsLostUntil{}; ///< holds before are not answered, and may not be carried out
    Instant pathLostUntil{}; ///< no call of a leader in `unheardLeaders` reaches the worker before
    std::int64_t unheardLeaders = 0; ///< 0: those with an even fence, 1: with an odd one
    std::int64_t fence = 0;
    std::int64_t leaseEnd = 0; ///< milliseconds on the clock of the worker
    std::map<RunKey, SimRun> runs;
    std::map<TaskId, std::int64_t> highestEndedRun;
    std::deque<ListedEnd> ends;
    std::int64_t lastEnd = 0;

    std::int64_t clockAt(Instant now) const
    {
        return 1
               + static_cast<std::int64_t>(policy::seconds(now - this->startedAt) * 1000
                                           * this->clockRate);
    }

    bool isReachable(Instant now) const
    {
        return this->alive && now >= this->downUntil && now >= this->partitionedUntil;
    }

    bool isReachableFor(std::int64_t leader, Instant now) const
    {
        const bool hasPath = now >= this->pathLostUntil || leader % 2 != this->unheardLeaders;
        return this->isReachable(now) && hasPath;
    }

    /// Writes the entry of the present incarnation.
    void writeEntry()
    {
        this->listedBorn = this->born;
        this->listedStart = this->startedAt;
    }

    /// Restarts the worker, which keeps its id and loses all other state.
    void restart(std::int64_t incarnation, Instant now)
    {
        this->born = incarnation;
        this->startedAt = now;
        this->fence = 0;
        this->leaseEnd = 0;
        this->runs.clear();
        this->highestEndedRun.clear();
        this->ends.clear();
        this->lastEnd = 0;
    }

    /// Ends the runs that have finished, or all runs if the lease has expired.
    void run(Instant now, const SimWorkerCallbacks &callbacks)
    {
        const bool isLeaseExpired = this->clockAt(now) > this->leaseEnd;
        std::vector<std::pair<RunKey, jobs::RunEnd>> finished;
        for (const auto &entry : this->runs) {
            if (isLeaseExpired)
                finished.push_back({entry.first, jobs::RunEnd::LeaseExpired});
            else if (now >= entry.second.endsAt)
                finished.push_back(
                    {entry.first, entry.second.fails ? jobs::RunEnd::Failed : jobs::RunEnd::Done});
        }
        for (const auto &end : finished)
            this->end(end.first, end.second, callbacks);
    }

    OrderAnswer start(const StartOrder &order, std::int64_t newLeaseEnd, std::int64_t orderFence,
                      Instant now, const SimWorkerCallbacks &callbacks)
    {
        if (orderFence < this->fence)
            return OrderAnswer::Fenced;
        this->fence = orderFence;
        const RunKey key{order.task, order.run};
        if (this->runs.count(key) != 0)
            return OrderAnswer::Accepted;
        if (newLeaseEnd < this->clockAt(now))
            return OrderAnswer::Expired;
        this->extendLease(newLeaseEnd, now);
        const auto highest = this->highestEndedRun.find(order.task);
        if (highest != this->highestEndedRun.end() && highest->second >= order.run)
            return OrderAnswer::Superseded;
        callbacks.onStart(key);
        this->runs[key] = callbacks.createRun();
        return OrderAnswer::Accepted;
    }

    OrderAnswer stop(const StopOrder &order, std::int64_t orderFence,
                     const SimWorkerCallbacks &callbacks)
    {
        if (orderFence < this->fence)
            return OrderAnswer::Fenced;
        this->fence = orderFence;
        const RunKey key{order.task, order.run};
        if (this->runs.count(key) != 0)
            this->end(key, jobs::RunEnd::Stopped, callbacks);
        auto &highest = this->highestEndedRun[order.task];
        highest = std::max(highest, order.run);
        return OrderAnswer::Accepted;
    }

    /// Empty if the worker has been called by a newer leader.
    std::optional<WorkerReport> hold(std::int64_t holdFence, std::int64_t acknowledged,
                                     std::optional<std::int64_t> newLeaseEnd, Instant now,
                                     const SimWorkerCallbacks &callbacks)
    {
        if (holdFence < this->fence)
            return std::nullopt;
        this->fence = holdFence;
        if (newLeaseEnd)
            this->extendLease(*newLeaseEnd, now);
        while (!this->ends.empty() && this->ends.front().number <= acknowledged) {
            callbacks.onEndAcknowledged(this->ends.front());
            this->ends.pop_front();
        }
        WorkerReport report;
        report.worker = this->id;
        report.born = this->born;
        report.clock = this->clockAt(now);
        for (const auto &run : this->runs)
            report.running.push_back({run.first.task, run.first.number, "", 100, 0});
        report.ended.assign(this->ends.begin(), this->ends.end());
        return report;
    }

private:
    static constexpr std::int64_t longestLease = 10000; // milliseconds

    void extendLease(std::int64_t newLeaseEnd, Instant now)
    {
        this->leaseEnd =
            std::max(this->leaseEnd, std::min(newLeaseEnd, this->clockAt(now) + longestLease));
    }

    void end(const RunKey &key, jobs::RunEnd how, const SimWorkerCallbacks &callbacks)
    {
        this->runs.erase(key);
        auto &highest = this->highestEndedRun[key.task];
        highest = std::max(highest, key.number);
        this->ends.push_back({++this->lastEnd, key.task, key.number, how, ""});
        callbacks.onEnd(key.task, how);
    }
};

} // namespace sassafrasferry::scheduling::tests
