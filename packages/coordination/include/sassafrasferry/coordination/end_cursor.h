// Which ends the next hold acknowledges to a worker. A hold names the worker by its id, under which
// it may restart and number its ends anew; a cursor for the incarnation before would make the new
// one forget ends that nobody has read.
#pragma once

#include <sassafrasferry/scheduling/worker.h>

#include <algorithm>

namespace sassafrasferry::coordination {

/// Sends a cursor only to an incarnation that has answered the hold before, and only while that one
/// does not know it. A hold that is carried out late, after the worker has restarted, can still
/// take the cursor along.
class EndCursor
{
public:
    /// What the next hold acknowledges; 0: nothing.
    std::int64_t next(const scheduling::Worker &worker) const
    {
        const bool isSame = this->hasAnswered && this->born == worker.listing.born;
        return isSame && worker.endsRecorded > this->taken ? worker.endsRecorded : 0;
    }

    /// A hold that acknowledged so much was answered. `worker` is as the report left it.
    void answered(std::int64_t sent, const scheduling::WorkerReport &report,
                  const scheduling::Worker &worker)
    {
        const auto answeredBorn = report.born != 0 ? report.born : worker.listing.born;
        this->taken = answeredBorn == this->born ? std::max(this->taken, sent) : 0;
        this->born = answeredBorn;
        this->hasAnswered = true;
        for (const auto &end : report.ended)
            this->taken = std::min(this->taken, end.number - 1);
    }

    /// A hold had no answer, or another one than a report.
    void failed()
    {
        this->hasAnswered = false;
        this->taken = 0;
    }

private:
    bool hasAnswered = false; ///< the last hold
    std::int64_t born = 0; ///< of the incarnation that answered last
    std::int64_t taken = 0; ///< the cursor that it knows
};

} // namespace sassafrasferry::coordination
