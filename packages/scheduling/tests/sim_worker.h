// A worker on virtual time: its runs, its lease, and the ends it lists until they are acknowledged.
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

/// What a worker tells the world, and asks it.
struct SimWorkerEvents
{
    std::function<void(const RunKey &)> onStart; ///< before the run is there
    std::function<SimRun()> draw; ///< how a new run will end
    std::function<void(const TaskId &, jobs::RunEnd)> onEnd;
    std::function<void(const ListedEnd &)> onNoted;
};

struct SimWorker
{
    std::string id;
    std::int64_t born = 0;
    Instant bornAt{};
    double clockRate = 1;
    bool alive = true;
    bool gone = false; ///< for good, though still listed for a while
    Instant cutUntil{};
    std::int64_t fence = 0;
    std::int64_t until = 0; ///< end of the lease, by its clock
    std::map<RunKey, SimRun> runs;
    std::map<TaskId, std::int64_t> highestEnded;
    std::deque<ListedEnd> ends;
    std::int64_t lastEnd = 0;

    std::int64_t clockAt(Instant now) const
    {
        return 1
               + static_cast<std::int64_t>(policy::seconds(now - this->bornAt) * 1000
                                           * this->clockRate);
    }

    bool isReached(Instant now) const
    {
        return this->alive && now >= this->cutUntil;
    }

    /// It begins anew under its id, and knows nothing of before.
    void rebirth(std::int64_t birth, Instant now)
    {
        this->born = birth;
        this->bornAt = now;
        this->fence = 0;
        this->until = 0;
        this->runs.clear();
        this->highestEnded.clear();
        this->ends.clear();
        this->lastEnd = 0;
    }

    /// Ends what is through, and everything once the lease is over.
    void run(Instant now, const SimWorkerEvents &events)
    {
        const bool lapsed = this->clockAt(now) > this->until;
        std::vector<std::pair<RunKey, jobs::RunEnd>> over;
        for (const auto &entry : this->runs) {
            if (lapsed)
                over.push_back({entry.first, jobs::RunEnd::Lapsed});
            else if (now >= entry.second.endsAt)
                over.push_back(
                    {entry.first, entry.second.fails ? jobs::RunEnd::Failed : jobs::RunEnd::Done});
        }
        for (const auto &end : over)
            this->end(end.first, end.second, events);
    }

    OrderAnswer start(const StartOrder &order, std::int64_t leaseEnd, std::int64_t orderFence,
                      Instant now, const SimWorkerEvents &events)
    {
        if (orderFence < this->fence)
            return OrderAnswer::Fenced;
        this->fence = orderFence;
        const RunKey key{order.task, order.run};
        if (this->runs.count(key) != 0)
            return OrderAnswer::Accepted;
        if (leaseEnd < this->clockAt(now))
            return OrderAnswer::Expired;
        this->until = std::max(this->until, leaseEnd);
        const auto highest = this->highestEnded.find(order.task);
        if (highest != this->highestEnded.end() && highest->second >= order.run)
            return OrderAnswer::Superseded;
        events.onStart(key);
        this->runs[key] = events.draw();
        return OrderAnswer::Accepted;
    }

    OrderAnswer stop(const StopOrder &order, std::int64_t orderFence, const SimWorkerEvents &events)
    {
        if (orderFence < this->fence)
            return OrderAnswer::Fenced;
        this->fence = orderFence;
        const RunKey key{order.task, order.run};
        if (this->runs.count(key) != 0)
            this->end(key, jobs::RunEnd::Stopped, events);
        auto &highest = this->highestEnded[order.task];
        highest = std::max(highest, order.run);
        return OrderAnswer::Accepted;
    }

    /// Nothing if it has heard a newer leader.
    std::optional<WorkerReport> hold(std::int64_t holdFence, std::int64_t acknowledged,
                                     std::optional<std::int64_t> leaseEnd, Instant now,
                                     const SimWorkerEvents &events)
    {
        if (holdFence < this->fence)
            return std::nullopt;
        this->fence = holdFence;
        if (leaseEnd)
            this->until = std::max(this->until, *leaseEnd);
        while (!this->ends.empty() && this->ends.front().number <= acknowledged) {
            events.onNoted(this->ends.front());
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
    void end(const RunKey &key, jobs::RunEnd how, const SimWorkerEvents &events)
    {
        this->runs.erase(key);
        auto &highest = this->highestEnded[key.task];
        highest = std::max(highest, key.number);
        this->ends.push_back({++this->lastEnd, key.task, key.number, how, ""});
        events.onEnd(key.task, how);
    }
};

} // namespace sassafrasferry::scheduling::tests
