// How long to wait for the answer to a write.
#pragma once

#include <sassafrasferry/policy/time.h>

#include <algorithm>

namespace sassafrasferry::store {

/// Bounds of the wait, and how far it stays above what answers took.
struct AnswerTimeoutTerms
{
    policy::Duration least = std::chrono::milliseconds(250); ///< above a pause of either side
    policy::Duration most = std::chrono::milliseconds(1500);
    double margin = 8; ///< times the longest answer of late
    double memory = 0.9; ///< of the longest answer, kept with each further one
};

/// Follows how long answers take.
///
/// Where answers get lost, a wait that suits the slowest store holds everything up that comes after
/// the write: callers' jobs, and the renewal of the lease. A write whose answer is missed is read
/// back or repeated under its condition, so a wait that was too short costs one call more.
class AnswerTimeout
{
public:
    explicit AnswerTimeout(AnswerTimeoutTerms terms = {})
        : terms(terms)
    {}

    policy::Duration wait() const
    {
        const auto wanted =
            policy::fromSeconds(policy::seconds(this->longest) * this->terms.margin);
        return std::clamp(std::max(wanted, this->grown), this->terms.least, this->terms.most);
    }

    void answered(policy::Duration took)
    {
        const auto kept = policy::fromSeconds(policy::seconds(this->longest) * this->terms.memory);
        this->longest = std::max(took, kept);
        this->grown = {};
    }

    /// No answer came within the wait: a store that has become slow needs a longer one.
    void missed()
    {
        this->grown = std::min(this->wait() * 2, this->terms.most);
    }

private:
    AnswerTimeoutTerms terms;
    policy::Duration longest{}; // answer of late
    policy::Duration grown{}; // the wait after misses in a row
};

} // namespace sassafrasferry::store
