// What an entry VM knows of the overload of services, from the leader's answers.
#pragma once

#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/messages/jobs.pb.h>
#include <sassafrasferry/scheduling/admission.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>

namespace sassafrasferry::coordination {

/// Outlooks of services under overload. Without news of the leader jobs are accepted: a leader that
/// is lost or slow tells nothing about the room for them.
class OverloadNews
{
public:
    using Outlooks = std::map<std::string, scheduling::ServiceOutlook>;

    /// Adds the outlooks to an answer if there is late work that takes a while.
    static void write(const Outlooks &outlooks, messages::JobAnswer &answer)
    {
        for (const auto &entry : outlooks) {
            if (entry.second.lateWait < minLateWait)
                continue;
            auto &outlook = *answer.add_outlooks();
            outlook.set_service(entry.first);
            outlook.set_on_time_wait_milliseconds(millisecondsOf(entry.second.onTimeWait));
            outlook.set_late_wait_milliseconds(millisecondsOf(entry.second.lateWait));
        }
    }

    /// Takes the answer of a leader.
    void read(const messages::JobAnswer &answer, Instant now)
    {
        this->outlooks.clear();
        this->readAt = now;
        for (const auto &outlook : answer.outlooks())
            this->outlooks[outlook.service()] = {
                std::chrono::milliseconds(outlook.on_time_wait_milliseconds()),
                std::chrono::milliseconds(outlook.late_wait_milliseconds())};
    }

    std::optional<scheduling::ServiceOutlook> outlookOf(const std::string &service,
                                                        Instant now) const
    {
        const auto at = this->outlooks.find(service);
        if (at == this->outlooks.end() || now - this->readAt > maxAge)
            return std::nullopt;
        return at->second;
    }

private:
    static constexpr Duration minLateWait = std::chrono::milliseconds(1000);
    static constexpr Duration maxAge = std::chrono::milliseconds(1000);
    static constexpr Duration maxWait = std::chrono::hours(1);

    static std::uint32_t millisecondsOf(Duration wait)
    {
        return static_cast<std::uint32_t>(std::min(wait, maxWait) / std::chrono::milliseconds(1));
    }

    Outlooks outlooks; // by service
    Instant readAt{};
};

/// Whether it is true to answer that the job is not accepted: an earlier request with its id may
/// have been. Each state is `nullopt` if it could not be read.
constexpr bool isKnownToBeAbsent(std::optional<scheduling::JobState> inLeader,
                                 std::optional<scheduling::JobState> inStore)
{
    constexpr auto none = scheduling::JobState::Unknown;
    return inLeader.value_or(none) == none && inStore == none;
}

} // namespace sassafrasferry::coordination
