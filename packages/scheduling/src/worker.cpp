// What follows from a worker's answers, and from their absence.
#include <sassafrasferry/scheduling/worker.h>

namespace sassafrasferry::scheduling {

Resources Worker::room() const
{
    auto room = this->listing.capacity;
    room -= this->used;
    return room;
}

bool Worker::mayRunUnseen(Instant now) const
{
    return !this->surveyed && !this->over && now <= this->inheritedUntil;
}

bool Worker::isEmpty(Instant now) const
{
    return this->runs.empty() && this->pendingEnds.empty() && !this->mayRunUnseen(now);
}

bool Worker::isHeard(Instant now, Duration within) const
{
    return now - this->lastAnswer < within;
}

} // namespace sassafrasferry::scheduling
