// Queries on the state of a worker.
#include <sassafrasferry/scheduling/worker.h>

namespace sassafrasferry::scheduling {

Resources Worker::room() const
{
    auto room = this->listing.capacity;
    room -= this->used;
    return room;
}

void Worker::reserve(const RunKey &run, const Resources &need)
{
    if (this->runs.emplace(run, need).second)
        this->used += need;
}

ClockReading Worker::lastReading() const
{
    return {this->clock, this->clockAskedAt, this->clockReceivedAt};
}

void Worker::reserveUnconfirmed(const RunKey &run, const Resources &need)
{
    this->reserve(run, need);
    this->unconfirmedRuns.insert(run);
}

void Worker::release(const RunKey &run)
{
    const auto at = this->runs.find(run);
    if (at == this->runs.end())
        return;
    this->used -= at->second;
    this->runs.erase(at);
    this->unconfirmedRuns.erase(run);
}

bool Worker::canHaveUnreportedRuns(Instant leasesKnownUntil) const
{
    const bool hasReportedAll = this->hasReported && !this->canHaveUnlistedEnds;
    return !hasReportedAll && !this->hasEnded && leasesKnownUntil <= this->inheritedUntil;
}

bool Worker::isEmpty(Instant leasesKnownUntil) const
{
    return this->runs.empty() && this->pendingEnds.empty()
           && !this->canHaveUnreportedRuns(leasesKnownUntil);
}

bool Worker::hasAnsweredWithin(Instant now, Duration within) const
{
    return now - this->lastAnswer < within;
}

} // namespace sassafrasferry::scheduling
