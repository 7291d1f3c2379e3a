// Hellos: the questions in which an entry VM tells the leader about itself.
#pragma once

#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/messages/jobs.pb.h>

#include <algorithm>
#include <limits>
#include <optional>

namespace sassafrasferry::coordination {

/// Other questions are asked on behalf of callers, and tell nothing about their sender.
inline bool isHello(const messages::JobQuestion &question)
{
    return question.job().empty() && question.queue().empty() && !question.has_hand_in();
}

/// `cores`: 0 if the sender can't lead at present. `storeAnsweredAt`: when the store last answered
/// the sender; the epoch if it never did.
inline messages::JobQuestion helloOf(double cores, Instant storeAnsweredAt, Instant now)
{
    messages::JobQuestion hello;
    hello.set_cores(cores);
    if (storeAnsweredAt == Instant{})
        return hello;
    const std::int64_t age = (now - storeAnsweredAt) / std::chrono::milliseconds(1);
    constexpr std::int64_t maxAge = std::numeric_limits<std::uint32_t>::max();
    hello.set_store_answer_age_milliseconds(
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, maxAge)));
    return hello;
}

/// When the store last answered the sender of a question that was received at `now`; `nullopt` if
/// the question doesn't tell. The time that the question took is not deducted, so this is never
/// too early.
inline std::optional<Instant> storeAnswerIn(const messages::JobQuestion &question, Instant now)
{
    if (!isHello(question) || !question.has_store_answer_age_milliseconds())
        return std::nullopt;
    return now - std::chrono::milliseconds(question.store_answer_age_milliseconds());
}

} // namespace sassafrasferry::coordination
