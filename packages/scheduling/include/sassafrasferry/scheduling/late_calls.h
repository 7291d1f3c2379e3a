// The calls to one worker that had no answer and may still be carried out, seconds later, by
// whichever incarnation of the worker is there then. An incarnation that carries out a late start
// and then a late acknowledgement drops an end that nobody has read. The order of their fencing
// tokens prevents it where the acknowledgement was sent first; where the start was sent first, the
// acknowledgement waits.
#pragma once

#include <sassafrasferry/policy/time.h>
#include <sassafrasferry/scheduling/run_key.h>

#include <algorithm>
#include <map>

namespace sassafrasferry::scheduling {

using policy::Duration;
using policy::Instant;

class LateCalls
{
public:
    void startSent(const RunKey &run, Instant at)
    {
        this->starts[run] = at;
    }

    /// Notes that the start had no answer by `at`.
    void startUnanswered(const RunKey &run, Instant at)
    {
        this->starts.try_emplace(run, at);
    }

    /// Notes that the start has been carried out, or never will be.
    void startClosed(const RunKey &run)
    {
        this->starts.erase(run);
    }

    /// Drops starts that were sent before `time`, which are too old to be carried out.
    void forgetStartsBefore(Instant time)
    {
        std::erase_if(this->starts, [&](const auto &start) { return start.second < time; });
    }

    /// The starts that may still be carried out, each with the time at which it was sent.
    const std::map<RunKey, Instant> &openStarts() const
    {
        return this->starts;
    }

    void acknowledgementSent(std::int64_t token)
    {
        this->isAcknowledging = true;
        this->acknowledgingToken = token;
    }

    /// Notes that the acknowledgement under way was answered, or will not be.
    void acknowledgementOver(bool isAnswered)
    {
        if (this->isAcknowledging && !isAnswered)
            this->unansweredToken = std::max(this->unansweredToken, this->acknowledgingToken);
        this->isAcknowledging = false;
    }

    bool isAcknowledgementUnderWay() const
    {
        return this->isAcknowledging;
    }

    /// True if a worker that carries out a start with this token refuses each acknowledgement that
    /// may still be late.
    bool canStart(std::int64_t token) const
    {
        return !this->isAcknowledging && (token == 0 || token > this->unansweredToken);
    }

    /// True if an acknowledgement that is sent now can't follow a late start.
    bool canAcknowledge() const
    {
        return this->starts.empty();
    }

private:
    std::map<RunKey, Instant> starts;
    bool isAcknowledging = false;
    std::int64_t acknowledgingToken = 0;
    std::int64_t unansweredToken = 0; ///< highest token of an acknowledgement without an answer
};

} // namespace sassafrasferry::scheduling
