// Decides which sessions of a server give way when its callers hold more bytes than the server may
// spend on them. Without I/O and clocks; the caller synchronizes access.
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

    explicit SessionLedger(const model::CallerLimits &limits);

    /// The new session's id; `nullopt` if there are too many.
    std::optional<Id> admit(Time now);
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

private:
    struct Session
    {
        SessionPhase phase = SessionPhase::Idle;
        Time since; // of the phase
        std::size_t bytes = 0;
        bool isYielding = false; // only while reading
    };

    void enter(Session &session, SessionPhase phase, Time now);
    void setBytes(Session &session, std::size_t bytes);
    void yield(Session &session);
    std::optional<Id> longestReading() const;

    std::size_t connections;
    std::size_t pendingBytes;
    std::map<Id, Session> sessions;
    Id lastId = 0;
    std::size_t heldBytes = 0; // of sessions that do not yield
};

} // namespace sassafrasferry::http
