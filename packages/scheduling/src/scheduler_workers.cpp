// The scheduler's table of workers: their entries, incarnations and leases, and their removal.
#include <sassafrasferry/scheduling/scheduler.h>

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace sassafrasferry::scheduling {

namespace {

// How long a run is remembered after the lease of its worker has expired.
constexpr auto expiredRunMemory = std::chrono::seconds(30);

} // namespace

void Scheduler::listWorker(const WorkerListing &listing, Instant now, Instant startedAt)
{
    if (this->isEarlierIncarnation(listing))
        return;
    auto &worker = this->workerTable[listing.id];
    if (listing.born < worker.listing.born)
        return;
    if (listing.born != worker.listing.born)
        worker.listedAt = now;
    if (listing.born != worker.listing.born && worker.listing.born != 0)
        this->nextIncarnationNamed(worker, EndEvidence::Entry, now);
    const bool isNew = worker.listing.born == 0;
    // An incarnation that started after the takeover has no runs of earlier leaders. Clocks differ,
    // so start times can't show this; it holds for incarnations first listed after all workers were
    // known.
    if (isNew && worker.inheritedUntil == Instant{})
        worker.inheritedUntil = this->allWorkersKnown
                                    ? this->tookOverAt
                                    : this->tookOverAt + this->times.inheritedLease;
    if (isNew) {
        worker.formerLeaseUntil = this->inheritedFormerLease(listing.id, startedAt);
        worker.inheritedUntil = std::max(worker.inheritedUntil, worker.formerLeaseUntil);
    }
    const bool wasDraining = worker.listing.draining;
    if (worker.listing.vm != listing.vm || isNew) {
        worker.listing.id = listing.id;
        this->assignToVm(worker, listing.vm);
    }
    worker.listing = listing;
    this->setListed(worker, !worker.hasEnded);
    if (isNew || wasDraining != listing.draining) {
        this->note("worker", listing.id,
                   absl::StrCat("service=", listing.service, " draining=", listing.draining ? 1 : 0,
                                " cpu=", listing.capacity.cpu, " rack=", listing.rack));
    }
}

void Scheduler::inheritRestarts(const std::vector<RestartedWorker> &workers, Instant knownUntil)
{
    for (const auto &worker : workers)
        this->inheritedRestarts[worker.id] = worker.until;
    this->restartsKnownUntil = knownUntil;
}

std::vector<RestartedWorker> Scheduler::restartedWorkers(Instant now) const
{
    std::map<std::string, Instant> until = this->inheritedRestarts;
    for (const auto &entry : this->workerTable)
        until[entry.first] = std::max(until[entry.first], entry.second.formerLeaseUntil);
    std::vector<RestartedWorker> workers;
    for (const auto &entry : until) {
        if (entry.second > now)
            workers.push_back({entry.first, entry.second});
    }
    return workers;
}

// A restart that the predecessor missed shows in the start time alone, which doesn't tell it from a
// first start. Leases by a former clock come from calls that were sent before the sender missed the
// answers of the former incarnation.
Instant Scheduler::inheritedFormerLease(const std::string &id, Instant startedAt) const
{
    Instant until{};
    if (const auto at = this->inheritedRestarts.find(id); at != this->inheritedRestarts.end())
        until = at->second;
    const bool wasMissed = startedAt >= this->restartsKnownUntil
                           && startedAt <= this->tookOverAt + this->times.inheritedLease;
    if (wasMissed)
        until = std::max(until, startedAt + this->times.orderTimeout
                                    + this->maxLeaseDuration(this->times.maxLease));
    return until;
}

void Scheduler::unlistWorker(const std::string &id)
{
    const auto at = this->workerTable.find(id);
    if (at == this->workerTable.end())
        return;
    this->setListed(at->second, false);
    this->note("worker-unlisted", id, absl::StrCat("runs=", at->second.runs.size()));
}

void Scheduler::addUnlistedWorker(const std::string &id, const std::string &service,
                                  const std::string &vm)
{
    if (this->workerTable.count(id) != 0)
        return;
    auto &worker = this->workerTable[id];
    worker.listing.id = id;
    worker.listing.service = service;
    this->assignToVm(worker, vm);
    worker.formerLeaseUntil = this->inheritedFormerLease(id, Instant{});
    worker.inheritedUntil =
        std::max(this->tookOverAt + this->times.inheritedLease, worker.formerLeaseUntil);
    this->note("worker-expected", id, absl::StrCat("service=", service));
}

void Scheduler::setAllWorkersKnown()
{
    this->allWorkersKnown = true;
}

void Scheduler::noteEnded(const Worker &worker, EndEvidence evidence)
{
    this->note("worker-ended", worker.listing.id,
               absl::StrCat(
                   "runs=", worker.runs.size(), " unrecorded-ends=", worker.pendingEnds.size(),
                   " vm=", worker.listing.vm, " evidence=", std::string(model::nameOf(evidence))));
}

void Scheduler::incarnationEnded(const std::string &id, EndEvidence evidence, Instant now)
{
    const auto at = this->workerTable.find(id);
    if (at == this->workerTable.end() || at->second.hasEnded)
        return;
    auto &worker = at->second;
    // Another worker has the address, so no call can have reached a next incarnation of this one.
    const bool isAddressReused = evidence == EndEvidence::OtherIncarnation;
    if (!isAddressReused || worker.hasReported || !worker.runs.empty())
        this->noteEnded(worker, evidence);
    if (isAddressReused) {
        worker.inheritedUntil = this->tookOverAt;
        worker.lateCalls = {};
        this->dropAllRuns(worker, now);
    } else {
        this->dropRunsOfIncarnation(worker, now);
        this->reopenStarts(worker, now);
        for (const auto &run : worker.runs)
            worker.unconfirmedRuns.insert(run.first);
        // Calls sent earlier may have reached the next incarnation. Its clock has restarted, so a
        // lease end computed from the previous clock lies far ahead, and the worker limits it to
        // the longest lease that it accepts. A start without an answer may still be carried out.
        const auto lateness = worker.runs.empty() ? Duration::zero() : this->times.lateCallLimit;
        worker.formerLeaseUntil = now + lateness + this->maxLeaseDuration(this->times.maxLease);
        worker.inheritedUntil = std::max(this->leaseExpiry(worker), worker.formerLeaseUntil);
        // The next incarnation knows no fence, so an earlier leader may have started tasks there.
        if (this->leasesKnownUntil(now) <= this->tookOverAt + this->times.inheritedLease)
            this->reopenedServices.insert(worker.listing.service);
        worker.fence.incarnationEnded();
    }
    worker.hasReported = false;
    worker.isIdentified = false;
    worker.canHaveUnlistedEnds = false;
    worker.clock = 0;
    worker.latestLeaseEnd = 0;
    worker.endsSeen = 0;
    worker.endsRecorded = 0;
    worker.pendingEnds.clear();
    this->setAwaitedJob(worker, "");
}

// No start and no lease has been sent to an incarnation that is known by its clock alone.
void Scheduler::nextIncarnationNamed(Worker &worker, EndEvidence evidence, Instant now)
{
    if (std::exchange(worker.restartSeenAt, Instant{}) == Instant{})
        this->incarnationEnded(worker.listing.id, evidence, now);
}

void Scheduler::retireWorker(const std::string &id, EndEvidence evidence, Instant now)
{
    auto *worker = this->findWorker(id);
    if (!worker || worker->hasEnded)
        return;
    const auto leaseEnd = this->leaseExpiry(*worker);
    this->incarnationEnded(id, evidence, now);
    worker->inheritedUntil = leaseEnd;
    // Calls carry the worker's id, so no other incarnation carries out a start still in flight.
    worker->lateCalls = {};
    this->dropAllRuns(*worker, now);
    this->setListed(*worker, false);
    this->vmWorkers.remove(worker->listing.vm, id);
    worker->hasEnded = true;
}

void Scheduler::forgetWorkers(Instant now)
{
    for (auto at = this->workerTable.begin(); at != this->workerTable.end();) {
        auto &worker = at->second;
        const bool isUnresponsive = now - worker.lastAnswer > this->times.workerRetention
                                    && now - this->tookOverAt > this->times.workerRetention;
        const bool isGone = !worker.listed && worker.runs.empty()
                            && this->leasesKnownUntil(now) > worker.inheritedUntil
                            && (worker.hasEnded || isUnresponsive);
        if (!isGone) {
            ++at;
            continue;
        }
        this->setAwaitedJob(worker, "");
        this->vmWorkers.remove(worker.listing.vm, at->first);
        at = this->workerTable.erase(at);
    }
}

std::size_t Scheduler::listedWorkers() const
{
    return this->listedCount;
}

void Scheduler::setListed(Worker &worker, bool isListed)
{
    if (worker.listed == isListed)
        return;
    worker.listed = isListed;
    if (isListed)
        ++this->listedCount;
    else
        --this->listedCount;
}

std::optional<std::int64_t> Scheduler::leaseUntil(const std::string &id, Instant now,
                                                  Instant latest)
{
    auto *worker = this->findWorker(id);
    // The lease of an unresponsive worker is not extended: an extension may have arrived, so the
    // leader would have to wait for its end.
    if (!worker || worker->clock == 0 || now >= latest
        || !worker->hasAnsweredWithin(now, this->times.answerTimeout))
        return std::nullopt;
    const auto passed =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - worker->clockReceivedAt)
            .count();
    const auto longest =
        now < latest - this->times.workerLease ? this->times.workerLease : latest - now;
    const auto until = worker->clock + passed + longest / std::chrono::milliseconds(1);
    worker->latestLeaseEnd = std::max(worker->latestLeaseEnd, until);
    worker->lastGrantAt = now;
    return until;
}

std::int64_t Scheduler::leaseTerm() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->times.workerLease).count();
}

Instant Scheduler::leaseExpiry(const Worker &worker) const
{
    if (!worker.hasReported || worker.clock == 0)
        return worker.inheritedUntil;
    const auto lease = std::max<Duration>(
        std::chrono::milliseconds(worker.latestLeaseEnd - worker.clock), Duration::zero());
    return std::max(worker.clockReceivedAt + this->maxLeaseDuration(lease),
                    worker.formerLeaseUntil);
}

// A later incarnation that carries the last grant out late takes the longest lease.
Instant Scheduler::unconfirmedLeaseExpiry(const Worker &worker) const
{
    return worker.lastGrantAt + this->times.lateCallLimit
           + this->maxLeaseDuration(this->times.maxLease);
}

Instant Scheduler::runExpiry(const Worker &worker, const RunKey &run) const
{
    const auto expiry = this->leaseExpiry(worker);
    return worker.unconfirmedRuns.count(run) == 0
               ? expiry
               : std::max(expiry, this->unconfirmedLeaseExpiry(worker));
}

Duration Scheduler::maxLeaseDuration(Duration lease) const
{
    return policy::fromSeconds(policy::seconds(lease) * (1 + this->times.clockDrift))
           + this->times.leaseMargin;
}

void Scheduler::setFence(std::int64_t newest)
{
    this->newestFence = std::max(this->newestFence, newest);
}

std::int64_t Scheduler::fenceFor(const std::string &id)
{
    auto *worker = this->findWorker(id);
    return worker ? worker->fence.next(this->newestFence) : this->newestFence;
}

// A start that is still being sent may carry a lease that is not in the worker's `latestLeaseEnd`
// yet.
bool Scheduler::isStartInFlight(const RunKey &key, Instant now)
{
    auto *job = this->findJob(key.task.job);
    auto *task = job ? job->find(key.task) : nullptr;
    return task && std::any_of(task->runs.begin(), task->runs.end(), [&](const jobs::Run &run) {
               return run.number == key.number && run.state == jobs::RunState::Ordered
                      && now - run.orderedAt <= this->times.orderTimeout;
           });
}

void Scheduler::dropExpiredRuns(Instant now)
{
    const auto knownUntil = this->leasesKnownUntil(now);
    for (auto &entry : this->workerTable) {
        auto &worker = entry.second;
        if (worker.runs.empty() || knownUntil <= this->leaseExpiry(worker))
            continue;
        std::vector<RunKey> keys;
        for (const auto &run : worker.runs) {
            if (knownUntil > this->runExpiry(worker, run.first)
                && !this->isStartInFlight(run.first, now))
                keys.push_back(run.first);
        }
        if (keys.empty())
            continue;
        const auto since = [&](Instant time) {
            return (now - time) / std::chrono::milliseconds(1);
        };
        this->note("worker-lapsed", entry.first,
                   absl::StrCat(
                       "runs=", keys.size(), " unconfirmed=", worker.unconfirmedRuns.size(),
                       " born=", worker.listing.born, " unheard-ms=", since(worker.lastAnswer),
                       " granted-ms=", since(worker.lastGrantAt), " clock=", worker.clock,
                       " lease-end=", worker.latestLeaseEnd, " confirmed-ms=", since(knownUntil)));
        for (const auto &key : keys) {
            this->expiredRuns[{entry.first, key}] = now;
            this->dropRun(worker, key, now);
        }
    }
    std::erase_if(this->expiredRuns,
                  [&](const auto &run) { return now - run.second > expiredRunMemory; });
}

// No run outlives its lease. One that does shows that the leader and the worker, or two leaders,
// disagree about the end of the lease, and that the task may run twice.
void Scheduler::noteIfExpired(const RunKey &run, const std::string &worker, Instant now)
{
    const auto expired = this->expiredRuns.find({worker, run});
    if (expired == this->expiredRuns.end())
        return;
    this->note("expired-run-alive", jobs::toString(run.task),
               absl::StrCat("run=", run.number, " worker=", worker, " expired-ms=",
                            (now - expired->second) / std::chrono::milliseconds(1)));
    this->expiredRuns.erase(expired);
}

void Scheduler::setLeadConfirmed(Instant at)
{
    this->leadConfirmedAt = at;
}

Instant Scheduler::leasesKnownUntil(Instant now) const
{
    return std::min(now, this->leadConfirmedAt);
}

const std::map<std::string, Worker> &Scheduler::workers() const
{
    return this->workerTable;
}

Worker *Scheduler::findWorker(const std::string &id)
{
    const auto at = this->workerTable.find(id);
    return at == this->workerTable.end() ? nullptr : &at->second;
}

} // namespace sassafrasferry::scheduling
