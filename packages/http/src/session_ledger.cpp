// Decisions of `SessionLedger`.
#include "precompiled.h"

#include <sassafrasferry/http/session_ledger.h>

#include <algorithm>

namespace sassafrasferry::http {

namespace {

// Sessions that give way still hold a descriptor until they have closed: an eighth of the limit.
constexpr std::size_t closingShare = 8;

} // namespace

SessionLedger::SessionLedger(const model::CallerLimits &limits)
    : connections(static_cast<std::size_t>(limits.connections))
    // One request within the limits has room while its body grows.
    , pendingBytes(static_cast<std::size_t>(
          std::max(limits.pendingBytes, 2 * (limits.headerBytes + limits.bodyBytes))))
{}

template<typename MayYield>
std::optional<SessionLedger::Id> SessionLedger::longest(MayYield mayYield) const
{
    std::optional<Id> longest;
    for (const auto &[id, session] : this->sessions) {
        if (session.phase == SessionPhase::Answering || session.isYielding || !mayYield(session))
            continue;
        if (!longest || session.since < this->sessions.at(*longest).since)
            longest = id;
    }
    return longest;
}

SessionLedger::Admission SessionLedger::admit(Time now)
{
    Admission admission;
    if (this->sessions.size() - this->yielding >= this->connections) {
        if (this->sessions.size() > this->connections + this->connections / closingShare)
            return admission;
        admission.yields = this->longest([](const Session &session) { return !session.wasServed; });
        if (!admission.yields)
            admission.yields = this->longest([](const Session &) { return true; });
        if (!admission.yields)
            return admission;
        this->yield(this->sessions.at(*admission.yields));
    }
    admission.session = ++this->lastId;
    this->sessions[this->lastId].since = now;
    return admission;
}

void SessionLedger::close(Id id)
{
    const auto at = this->sessions.find(id);
    if (at == this->sessions.end())
        return;
    this->enter(at->second, SessionPhase::Idle, {});
    this->setBytes(at->second, 0);
    this->sessions.erase(at);
}

void SessionLedger::idle(Id id, Time now)
{
    auto &session = this->sessions.at(id);
    this->enter(session, SessionPhase::Idle, now);
    this->setBytes(session, 0);
}

void SessionLedger::reading(Id id, Time now)
{
    this->enter(this->sessions.at(id), SessionPhase::Reading, now);
}

bool SessionLedger::answer(Id id)
{
    auto &session = this->sessions.at(id);
    if (session.isYielding)
        return false;
    this->enter(session, SessionPhase::Answering, {});
    return true;
}

std::vector<SessionLedger::Id> SessionLedger::hold(Id id, std::size_t bytes)
{
    this->setBytes(this->sessions.at(id), bytes);
    std::vector<Id> yields;
    while (this->heldBytes > this->pendingBytes) {
        const auto longest = this->longest([](const Session &session) {
            return session.phase == SessionPhase::Reading && session.bytes > 0;
        });
        if (!longest)
            break;
        this->yield(this->sessions.at(*longest));
        yields.push_back(*longest);
    }
    return yields;
}

bool SessionLedger::isYielding(Id id) const
{
    const auto at = this->sessions.find(id);
    return at != this->sessions.end() && at->second.isYielding;
}

std::size_t SessionLedger::count() const
{
    return this->sessions.size();
}

void SessionLedger::enter(Session &session, SessionPhase phase, Time now)
{
    if (session.isYielding) {
        session.isYielding = false;
        --this->yielding;
        this->heldBytes += session.bytes;
    }
    session.wasServed |= session.phase == SessionPhase::Answering;
    session.phase = phase;
    session.since = now;
}

void SessionLedger::setBytes(Session &session, std::size_t bytes)
{
    if (!session.isYielding)
        this->heldBytes = this->heldBytes - session.bytes + bytes;
    session.bytes = bytes;
}

void SessionLedger::yield(Session &session)
{
    session.isYielding = true;
    ++this->yielding;
    this->heldBytes -= session.bytes;
}

} // namespace sassafrasferry::http
