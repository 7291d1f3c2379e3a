// Decisions of `SessionLedger`.
#include "precompiled.h"

#include <sassafrasferry/http/session_ledger.h>

#include <algorithm>

namespace sassafrasferry::http {

SessionLedger::SessionLedger(const model::CallerLimits &limits)
    : connections(static_cast<std::size_t>(limits.connections))
    // One request within the limits has room while its body grows.
    , pendingBytes(static_cast<std::size_t>(
          std::max(limits.pendingBytes, 2 * (limits.headerBytes + limits.bodyBytes))))
{}

std::optional<SessionLedger::Id> SessionLedger::admit(Time now)
{
    if (this->sessions.size() >= this->connections)
        return std::nullopt;
    this->sessions[++this->lastId].since = now;
    return this->lastId;
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
        const auto longest = this->longestReading();
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

void SessionLedger::enter(Session &session, SessionPhase phase, Time now)
{
    if (session.isYielding) {
        session.isYielding = false;
        this->heldBytes += session.bytes;
    }
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
    this->heldBytes -= session.bytes;
}

std::optional<SessionLedger::Id> SessionLedger::longestReading() const
{
    std::optional<Id> longest;
    for (const auto &[id, session] : this->sessions) {
        const bool mayYield =
            session.phase == SessionPhase::Reading && !session.isYielding && session.bytes > 0;
        if (mayYield && (!longest || session.since < this->sessions.at(*longest).since))
            longest = id;
    }
    return longest;
}

} // namespace sassafrasferry::http
