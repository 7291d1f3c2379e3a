// An answer with many bytes of rows that is on its way to this entry VM.
#pragma once

#include <sassafrasferry/coordination/timing.h>

#include <sassafrasferry/http/client.h>

#include <algorithm>

namespace sassafrasferry::coordination {

/// Follows an answer that takes its time on the link. Other answers share the link, so none should
/// be asked for that would bring the same rows again.
class RowArrival
{
public:
    /// A shorter answer is on the link for a moment only.
    static constexpr std::uint64_t minBytes = 64ULL * 1024;
    /// After this time without a byte the answer is not expected any more.
    static constexpr Duration maxSilence = std::chrono::milliseconds(1500);

    RowArrival(const http::AnswerProgress &progress, Instant now)
        : progress(progress)
        , bytesAtFirst(progress.bytes)
        , firstAt(now)
        , lastAt(now)
    {}

    static bool isLarge(const http::AnswerProgress &progress)
    {
        return std::max<std::uint64_t>(progress.bytes, progress.bodyLength.value_or(0)) >= minBytes;
    }

    void update(const http::AnswerProgress &newProgress, Instant now)
    {
        this->progress = newProgress;
        this->lastAt = now;
    }

    Instant silentAfter() const
    {
        return this->lastAt + maxSilence;
    }

    /// When the answer will be whole at its rate so far; `now` while that is not known.
    Instant expectedEnd(Instant now) const
    {
        const auto arrived =
            static_cast<double>(this->progress.bytes) - static_cast<double>(this->bytesAtFirst);
        const auto length = static_cast<double>(this->progress.bodyLength.value_or(0));
        const auto left = length - static_cast<double>(this->progress.bytes);
        if (arrived <= 0 || left <= 0)
            return now;
        const auto taken = policy::seconds(this->lastAt - this->firstAt);
        return now + policy::fromSeconds(left / arrived * taken);
    }

private:
    http::AnswerProgress progress;
    std::size_t bytesAtFirst;
    Instant firstAt;
    Instant lastAt;
};

} // namespace sassafrasferry::coordination
