// Selects an entry VM with more processor cores to lead in place of a weak one.
#pragma once

#include <sassafrasferry/coordination/hello.h>

#include <map>
#include <string>

namespace sassafrasferry::coordination {

/// Records the processor cores of the entry VMs that send questions to this leader. A leader with
/// too few cores for all workers falls seconds behind: jobs wait, and tasks of cancelled jobs are
/// still started.
class SuccessorChoice
{
public:
    /// `ownCores`: processor cores of this entry VM.
    explicit SuccessorChoice(double ownCores)
        : ownCores(ownCores)
    {}

    /// Notes a question of an entry VM. Questions on behalf of callers are ignored, since they
    /// don't carry the number of cores.
    void noteQuestion(const messages::JobQuestion &question, Instant now)
    {
        if (isHello(question))
            this->peers[question.address()] = {question.cores(), now};
    }

    /// Address of the strongest live entry VM if it has enough more cores than this one to justify
    /// a change of leader; empty otherwise.
    std::string strongerPeer(Instant now) const
    {
        const auto best = this->strongestPeer(now);
        const bool isWorthChange =
            !best.empty() && this->isFarWeakerThan(this->peers.at(best).cores);
        return isWorthChange ? best : "";
    }

    /// Processor cores of the strongest live entry VM besides this one; 0 if there is none.
    double strongestCores(Instant now) const
    {
        const auto best = this->strongestPeer(now);
        return best.empty() ? 0 : this->peers.at(best).cores;
    }

    /// Whether this entry VM is so weak beside one with `cores` that the other should lead.
    bool isFarWeakerThan(double cores) const
    {
        return cores > 0 && cores >= this->ownCores * minCoresRatio;
    }

    /// Address of the strongest live entry VM that could lead; empty if there is none.
    std::string strongestPeer(Instant now) const
    {
        std::string best;
        double mostCores = 0;
        for (const auto &entry : this->peers) {
            const auto &peer = entry.second;
            if (now - peer.helloAt > peerTimeout || peer.cores <= mostCores)
                continue;
            best = entry.first;
            mostCores = peer.cores;
        }
        return best;
    }

private:
    // The least ratio of cores for a change of leader, which costs a survey of all workers.
    static constexpr double minCoresRatio = 2.0;
    // An entry VM that was silent for longer counts as gone: about three of its hello questions.
    static constexpr Duration peerTimeout = std::chrono::milliseconds(800);

    struct Peer
    {
        double cores = 0;
        Instant helloAt{};
    };

    double ownCores;
    std::map<std::string, Peer> peers; // by address
};

} // namespace sassafrasferry::coordination
