// Membership by silence.
#include <sassafrasferry/policy/membership.h>

#include <algorithm>

namespace sassafrasferry::policy {

Duration silenceOf(Duration configured, Duration period, std::size_t peers)
{
    constexpr int roundsMissed = 3;
    const auto periods = (peers + heartbeatFanOut - 1) / heartbeatFanOut;
    return std::max(configured, roundsMissed * static_cast<Duration::rep>(periods) * period);
}

Membership::Membership(std::string self, const std::vector<std::string> &peers, Duration timeout,
                       Instant now)
    : self(std::move(self))
    , timeout(timeout)
{
    for (const auto &name : peers)
        this->peers.push_back({{name, 0, 0, false}, now});
    this->view = peers;
    this->view.push_back(this->self);
    std::sort(this->view.begin(), this->view.end());
}

void Membership::heard(const PeerState &state, Instant now)
{
    for (auto &peer : this->peers) {
        if (peer.state.name != state.name || state.incarnation < peer.state.incarnation)
            continue;
        // Frames of one incarnation can overtake each other on reconnection; a revision that has
        // been announced stays announced.
        const auto revision = state.incarnation == peer.state.incarnation
                                  ? std::max(state.revision, peer.state.revision)
                                  : state.revision;
        peer.state = state;
        peer.state.revision = revision;
        peer.lastHeard = now;
    }
}

void Membership::setLeaving(bool isLeaving)
{
    this->leaving = isLeaving;
}

bool Membership::silent(const Peer &peer, Instant now) const
{
    return now - peer.lastHeard > this->timeout;
}

bool Membership::overdue(const Peer &peer, Instant now) const
{
    return now - peer.lastHeard > this->timeout / 2;
}

bool Membership::hearsSomebody(Instant now) const
{
    return std::any_of(this->peers.begin(), this->peers.end(),
                       [&](const Peer &peer) { return !this->silent(peer, now); });
}

std::size_t Membership::overdueAtOnce(Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->peers.begin(), this->peers.end(), [&](const Peer &peer) {
            return !peer.state.leaving && this->overdue(peer, now)
                   && std::binary_search(this->view.begin(), this->view.end(), peer.state.name);
        }));
}

bool Membership::cutOff(Instant now) const
{
    const auto others = this->view.size() - (this->leaving ? 0 : 1);
    return others >= 2 && 2 * this->overdueAtOnce(now) > others;
}

const std::vector<std::string> &Membership::live(Instant now)
{
    if (this->cutOff(now)) {
        if (!this->cutSince)
            this->cutSince = now;
        this->cutSeen = now;
    }
    // For a while after the cut too: its end is heard from one peer before the others, and those
    // would for that moment count as silent, now that they are no longer the most.
    const bool isCut = this->cutSince && now - this->cutSeen <= this->timeout / 2;
    if (isCut) {
        const bool isOver = now - *this->cutSince > patience * this->timeout;
        if (!isOver || !this->hearsSomebody(now))
            return this->view;
    }
    this->cutSince.reset();
    this->view.clear();
    for (const auto &peer : this->peers) {
        if (!peer.state.leaving && !this->silent(peer, now))
            this->view.push_back(peer.state.name);
    }
    if (!this->leaving)
        this->view.push_back(this->self);
    std::sort(this->view.begin(), this->view.end());
    return this->view;
}

bool Membership::mayRun(const std::string &name, std::uint64_t incarnation, Instant now) const
{
    if (name == this->self)
        return true;
    for (const auto &peer : this->peers) {
        if (peer.state.name == name)
            return peer.state.incarnation <= incarnation && !this->silent(peer, now);
    }
    return false;
}

std::optional<PeerState> Membership::peer(const std::string &name) const
{
    for (const auto &peer : this->peers) {
        if (peer.state.name == name)
            return peer.state;
    }
    return std::nullopt;
}

} // namespace sassafrasferry::policy
