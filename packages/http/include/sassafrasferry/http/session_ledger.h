// Decides which sessions of a server give way when its callers hold more bytes or more connections
// than the server may spend on them. Without I/O and clocks; the caller synchronizes access.
#pragma once

#include <sassafrasferry/model/settings.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sassafrasferry::http {

/// What a session waits for.
enum class SessionPhase {
    Idle, ///< the first byte of a request
    Reading, ///< the rest of a request
    Answering, ///< the handler, or the caller that reads its answer
};

class SessionLedger
{
public:
    using Id = std::uint64_t;
    using Time = std::chrono::steady_clock::time_point;

    /// How a new connection is received.
    struct Admission
    {
        std::optional<Id> session; ///< of the new connection; absent: it is refused
        std::optional<Id> yields; ///< the session that gives way to it
    };

    explicit SessionLedger(const model::CallerLimits &limits);

    /// Load: more connections than the limit, most of which send nothing. The session that has
    /// waited longest for its caller gives way, so that a new caller is not refused for it; one
    /// that was never answered goes before others.
    Admission admit(Time now);
    void close(Id id);

    void idle(Id id, Time now);
    void reading(Id id, Time now);
    /// Begins to answer. False if the session gives way.
    bool answer(Id id);

    /// Load: many requests that stop short of their end. Notes what a session holds of a request
    /// beyond its first read, and returns the sessions that give way: those that have been reading
    /// longest, as a request whose caller sends all of it is soon read. The session itself gives
    /// way where requests that are being handled hold all there is.
    std::vector<Id> hold(Id id, std::size_t bytes);

    bool isYielding(Id id) const;
    std::size_t count() const;

private:
    struct Session
    {
        SessionPhase phase = SessionPhase::Idle;
        Time since; // of the phase
        std::size_t bytes = 0;
        bool wasServed = false; // a request was answered
        bool isYielding = false; // only while idle or reading
    };

    void enter(Session &session, SessionPhase phase, Time now);
    void setBytes(Session &session, std::size_t bytes);
    void yield(Session &session);
    /// The session among those that `mayYield` accepts which has been in its phase for longest.
    template<typename MayYield>
    std::optional<Id> longest(MayYield mayYield) const;

    std::size_t connections;
    std::size_t pendingBytes;
    std::map<Id, Session> sessions;
    Id lastId = 0;
    std::size_t heldBytes = 0; // of sessions that do not yield
    std::size_t yielding = 0;
};

} // namespace sassafrasferry::http
