// The starts at one worker that had no answer and may still be carried out, seconds later, by
// whichever incarnation of the worker is there then. What one incarnation answers about such a start
// doesn't bind a later one.
#pragma once

#include <sassafrasferry/policy/time.h>
#include <sassafrasferry/scheduling/run_key.h>

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

private:
    std::map<RunKey, Instant> starts;
};

} // namespace sassafrasferry::scheduling
