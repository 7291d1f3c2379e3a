// Tells how old the rows are that were read of a table, by the versions at which the store
// confirmed the lease.
#pragma once

#include <sassafrasferry/coordination/timing.h>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace sassafrasferry::coordination {

/// Remembers at which version the store confirmed the lease, and when the call was sent. Whatever
/// the store had acknowledged to anybody before that moment has a lower version. So a reader that
/// has all changes up to the confirmed version has all changes acknowledged before that moment.
class ReadIndex
{
public:
    void confirm(std::int64_t version, Instant sentAt)
    {
        const bool isNews = this->confirmations.empty()
                            || (version > this->confirmations.back().version
                                && sentAt - this->confirmations.back().sentAt >= minInterval);
        if (!isNews)
            return;
        this->confirmations.push_back({version, sentAt});
        if (this->confirmations.size() > maxConfirmations)
            this->confirmations.pop_front();
    }

    /// All changes that the store acknowledged before this moment are contained in the changes up
    /// to the version; the epoch if that is not known of any moment.
    Instant coveredUntil(std::int64_t version) const
    {
        Instant covered{};
        for (const auto &confirmation : this->confirmations) {
            if (confirmation.version > version)
                break;
            covered = confirmation.sentAt;
        }
        return covered;
    }

    /// When the newest confirmation was sent; the epoch without one.
    Instant newest() const
    {
        return this->confirmations.empty() ? Instant{} : this->confirmations.back().sentAt;
    }

private:
    struct Confirmation
    {
        std::int64_t version = 0;
        Instant sentAt;
    };

    // Orders about VMs confirm the lease in quick succession. Confirmations closer than this are
    // left out, so that the remembered ones span several seconds.
    static constexpr Duration minInterval = std::chrono::milliseconds(100);
    static constexpr std::size_t maxConfirmations = 128;

    std::deque<Confirmation> confirmations; // versions and times increase
};

} // namespace sassafrasferry::coordination
