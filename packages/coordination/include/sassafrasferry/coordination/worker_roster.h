// Keeps a session between the leader and each worker that has an entry in the store.
#pragma once

#include <sassafrasferry/coordination/worker_session.h>
#include <sassafrasferry/http/clock.h>
#include <sassafrasferry/model/settings.h>
#include <sassafrasferry/store/part_rows.h>

#include <map>
#include <memory>
#include <set>

namespace sassafrasferry::coordination {

/// Opens and closes sessions as the workers' entries change. `Platform` decodes the entries;
/// `Worker` is the client of a worker.
template<typename Platform, WorkerCalls Worker>
class WorkerRoster
{
public:
    using Session = WorkerSession<Worker>;
    using MakeWorker = std::function<std::unique_ptr<Worker>(const std::string &id,
                                                             const model::Endpoint &address)>;

    WorkerRoster(http::asio::any_io_executor executor, scheduling::Scheduler &scheduler,
                 std::int64_t fence, MakeWorker makeWorker, SessionEvents events)
        : executor(std::move(executor))
        , scheduler(scheduler)
        , fence(fence)
        , makeWorker(std::move(makeWorker))
        , events(std::move(events))
    {}

    /// Applies the entries of workers: all of them if `isWhole`, else those that changed.
    void take(const std::vector<store::PartRow> &rows, bool isWhole)
    {
        const auto now = bootNow();
        std::set<std::string> seen;
        for (const auto &row : rows) {
            if (row.deleted) {
                this->scheduler.unlistWorker(row.key);
                continue;
            }
            seen.insert(row.key);
            this->takeEntry(row, now);
        }
        if (isWhole)
            this->unlistAllBut(seen);
    }

    void give(scheduling::Orders orders)
    {
        this->giveAll(std::move(orders.stops));
        this->giveAll(std::move(orders.starts));
        this->giveAll(std::move(orders.paces));
    }

    /// Called when ends of runs have been recorded, and so can be acknowledged to the workers.
    void acknowledgeRecorded()
    {
        for (auto &entry : this->sessions)
            entry.second->onEndsRecorded();
    }

    /// Drops the state of workers that are gone.
    void forget(Instant now)
    {
        this->scheduler.forgetWorkers(now);
        std::erase_if(this->sessions, [&](const auto &entry) {
            const bool isGone = !this->scheduler.findWorker(entry.first);
            if (isGone)
                entry.second->stop();
            return isGone;
        });
        std::erase_if(this->addresses,
                      [&](const auto &entry) { return this->sessions.count(entry.first) == 0; });
    }

    /// Stops all sessions. No worker is called and the scheduler is not accessed afterwards.
    void stop()
    {
        for (auto &entry : this->sessions)
            entry.second->stop();
        this->sessions.clear();
    }

private:
    void unlistAllBut(const std::set<std::string> &seen)
    {
        std::vector<std::string> gone;
        for (const auto &entry : this->scheduler.workers()) {
            if (entry.second.listed && seen.count(entry.first) == 0)
                gone.push_back(entry.first);
        }
        for (const auto &id : gone)
            this->scheduler.unlistWorker(id);
    }

    void takeEntry(const store::PartRow &row, Instant now)
    {
        const auto listing = Platform::decodeListing(row.key, row.value);
        if (!listing.ok()) {
            LOG(WARNING) << "event=worker-unreadable worker=" << row.key
                         << " version=" << row.version << " error=\"" << listing.status().message()
                         << '"';
            this->scheduler.unlistWorker(row.key);
            return;
        }
        auto &known = this->addresses[row.key];
        const bool isNew = this->sessions.count(row.key) == 0 || !(known == listing->address);
        const auto age =
            std::chrono::milliseconds(std::max<std::int64_t>(http::unixNow() - listing->born, 0));
        this->scheduler.listWorker(*listing, now, now - age);
        if (!isNew)
            return;
        known = listing->address;
        if (const auto at = this->sessions.find(row.key); at != this->sessions.end())
            at->second->stop();
        auto session = std::make_shared<Session>(this->executor, this->scheduler, row.key,
                                                 this->makeWorker(row.key, listing->address),
                                                 this->fence, this->events);
        this->sessions[row.key] = session;
        session->begin();
    }

    template<typename Order>
    void giveAll(std::vector<Order> orders)
    {
        for (auto &order : orders) {
            const auto at = this->sessions.find(order.worker);
            if (at != this->sessions.end())
                at->second->order(std::move(order));
        }
    }

    http::asio::any_io_executor executor;
    scheduling::Scheduler &scheduler;
    std::int64_t fence;
    MakeWorker makeWorker;
    SessionEvents events;
    std::map<std::string, std::shared_ptr<Session>> sessions; // by worker
    std::map<std::string, model::Endpoint> addresses; // by worker, as used by its session
};

} // namespace sassafrasferry::coordination
