// Which entry VM should lead in place of a weak one.
#pragma once

#include <sassafrasferry/coordination/timing.h>
#include <sassafrasferry/messages/jobs.pb.h>

#include <map>
#include <string>

namespace sassafrasferry::coordination {

/// Keeps how much processor those have that ask this leader. A leader without the processor for all
/// workers falls seconds behind: jobs wait, and tasks of cancelled ones are still started.
class SuccessorChoice
{
public:
    /// `own`: the processor of this entry VM, in cores.
    explicit SuccessorChoice(double own)
        : own(own)
    {}

    /// An entry VM has asked. Its questions on behalf of callers say nothing of who could lead.
    void heard(const messages::JobQuestion &question, Instant now)
    {
        const bool isHello =
            question.job().empty() && question.queue().empty() && !question.has_hand_in();
        if (isHello)
            this->peers[question.address()] = {question.cores(), now};
    }

    /// Where the strongest is that was heard lately, if it is worth a change; else empty.
    std::string better(Instant now) const
    {
        const auto best = this->strongest(now);
        const bool isWorthIt =
            !best.empty() && this->peers.at(best).cores >= this->own * worthwhile;
        return isWorthIt ? best : "";
    }

    /// The strongest that was heard lately and could lead; empty if there is none.
    std::string strongest(Instant now) const
    {
        std::string best;
        double most = 0;
        for (const auto &entry : this->peers) {
            const auto &peer = entry.second;
            if (now - peer.heardAt > lately || peer.cores <= most)
                continue;
            best = entry.first;
            most = peer.cores;
        }
        return best;
    }

private:
    // A change costs a survey of all workers.
    static constexpr double worthwhile = 2.0;
    static constexpr Duration lately = std::chrono::milliseconds(800); // some three questions

    struct Peer
    {
        double cores = 0;
        Instant heardAt{};
    };

    double own;
    std::map<std::string, Peer> peers; // by address
};

} // namespace sassafrasferry::coordination
