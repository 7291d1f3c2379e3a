// What a leader knows of the store's answers to other entry VMs: as long as the store answers one
// of them, cancellations can be stored that a leader without the store can't read.
#pragma once

#include <sassafrasferry/coordination/hello.h>

#include <map>
#include <string>

namespace sassafrasferry::coordination {

/// The store's answers to the other entry VMs, as far as known.
struct PeerContact
{
    Instant storeAnsweredAt{}; ///< the newest answer to one of them; the epoch if none is known
    /// None was heard for a while of those that recently told when the store answered them. They
    /// may follow another leader. False if there are none.
    bool isLost = false;
};

/// Notes the hellos of other entry VMs. Those of earlier versions don't tell of the store, and are
/// ignored.
class PeerStoreAnswers
{
public:
    void noteQuestion(const messages::JobQuestion &question, Instant now)
    {
        const auto answeredAt = storeAnswerIn(question, now);
        if (!answeredAt)
            return;
        this->newest = std::max(this->newest, *answeredAt);
        this->heardAt[question.address()] = now;
        std::erase_if(this->heardAt, [&](const auto &peer) { return now - peer.second > memory; });
    }

    PeerContact contact(Instant now) const
    {
        PeerContact contact;
        contact.storeAnsweredAt = this->newest;
        bool isAnyKnown = false;
        bool isAnyHeard = false;
        for (const auto &peer : this->heardAt) {
            const auto silence = now - peer.second;
            isAnyKnown = isAnyKnown || silence <= memory;
            isAnyHeard = isAnyHeard || silence < maxSilence;
        }
        contact.isLost = isAnyKnown && !isAnyHeard;
        return contact;
    }

private:
    // An entry VM that was silent for longer counts as lost: more than three of its hellos.
    static constexpr Duration maxSilence = std::chrono::milliseconds(900);
    // An entry VM that was silent for longer is gone for good, so that the last one of a fleet can
    // work. Longer than a leader's limit for orders without the store.
    static constexpr Duration memory = std::chrono::seconds(10);

    Instant newest{};
    std::map<std::string, Instant> heardAt; // by address
};

} // namespace sassafrasferry::coordination
