// The fencing token of the calls to one worker. A worker that restarts keeps its id, so it carries
// out calls that were sent to its former incarnation, late ones too. It refuses calls with a lower
// token than it has seen: a higher token makes the calls before it void as soon as one newer call
// has arrived. The token rises after each restart, and after an acknowledgement without an answer.
#pragma once

#include <algorithm>
#include <cstdint>

namespace sassafrasferry::scheduling {

/// A token of 0 means that calls bear none.
class CallFence
{
public:
    /// The token of a call that is sent now. `newest`: the highest token that belongs to this
    /// leader, which rises with each renewal of its lease.
    std::int64_t next(std::int64_t newest)
    {
        if (this->token <= this->former)
            this->token = std::max(this->token, newest);
        return this->token;
    }

    /// Notes that the worker has restarted.
    void incarnationEnded()
    {
        this->raise();
        this->restarted = !this->settled;
    }

    /// Gives later calls a higher token than those sent so far.
    void raise()
    {
        this->former = this->token;
        this->settled = this->token == 0;
    }

    /// Notes that the present incarnation has answered a call with this token. Returns true if it
    /// thereby no longer carries out calls with lower tokens.
    bool answered(std::int64_t callToken)
    {
        if (this->settled || callToken <= this->former)
            return false;
        this->settled = true;
        this->restarted = false;
        return true;
    }

    /// True if calls for former incarnations may still be carried out.
    bool isAfterRestart() const
    {
        return this->restarted;
    }

    /// False if calls with lower tokens than the next one's may still be carried out.
    bool isSettled() const
    {
        return this->settled;
    }

    /// True if the answer to the next call will make those with lower tokens void.
    bool isRaised() const
    {
        return !this->settled && this->token > this->former;
    }

    /// True if a call with this token was meant for the present incarnation and is not void.
    bool isPresent(std::int64_t callToken) const
    {
        return this->settled && callToken >= this->token;
    }

private:
    std::int64_t token = 0; ///< of the calls
    std::int64_t former = 0; ///< highest token of the calls before the last raise
    bool settled = true;
    bool restarted = false;
};

} // namespace sassafrasferry::scheduling
