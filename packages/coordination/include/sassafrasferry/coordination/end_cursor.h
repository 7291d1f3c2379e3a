// Decides which ends of runs the next hold acknowledges to a worker. A hold names the worker by its
// id only, and a restarted worker keeps its id but numbers its ends from the beginning. A cursor of
// the previous incarnation would make the new one drop ends that nobody has read.
#pragma once

#include <sassafrasferry/scheduling/worker.h>

#include <algorithm>

namespace sassafrasferry::coordination {

/// Returns a cursor only for an incarnation that has answered the previous hold, and only while it
/// does not know that cursor. A hold that is delivered late, after a restart of the worker, still
/// carries the cursor of the previous incarnation: `scheduling::LateCalls` covers it.
class EndCursor
{
public:
    /// The end number up to which the next hold acknowledges; 0 acknowledges nothing.
    std::int64_t next(const scheduling::Worker &worker) const
    {
        const bool isSame = this->hasAnswered && this->born == worker.listing.born;
        return isSame && worker.endsRecorded > this->receivedCursor ? worker.endsRecorded : 0;
    }

    /// Notes the answer to a hold that acknowledged up to `sent`. `worker` has the report applied.
    void answered(std::int64_t sent, const scheduling::WorkerReport &report,
                  const scheduling::Worker &worker)
    {
        const auto answeredBorn = report.born != 0 ? report.born : worker.listing.born;
        this->receivedCursor =
            answeredBorn == this->born ? std::max(this->receivedCursor, sent) : 0;
        this->born = answeredBorn;
        this->hasAnswered = true;
        for (const auto &end : report.ended)
            this->receivedCursor = std::min(this->receivedCursor, end.number - 1);
    }

    /// Notes that a hold had no answer, or one without a report.
    void failed()
    {
        this->hasAnswered = false;
        this->receivedCursor = 0;
    }

private:
    bool hasAnswered = false; ///< the last hold was answered with a report
    std::int64_t born = 0; ///< start time of the incarnation that answered last
    std::int64_t receivedCursor = 0; ///< highest cursor known to have reached this incarnation
};

} // namespace sassafrasferry::coordination
