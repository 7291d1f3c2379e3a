// Tracks the ids of requests being served, so that a stop can log the ones that it interrupts.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sassafrasferry::entry {

/// Registry of requests in flight. Thread-safe.
class InFlight
{
public:
    /// Registers a request as in flight for the lifetime of this object.
    class Mark
    {
    public:
        Mark(InFlight &requests, std::string requestId);
        ~Mark();
        Mark(const Mark &) = delete;
        Mark &operator=(const Mark &) = delete;

    private:
        InFlight &requests;
        std::uint64_t number;
    };

    /// Ids of the requests in flight, oldest first. An id is listed twice if two requests use it.
    std::vector<std::string> ids() const;

private:
    mutable std::mutex mutex; // guards all below
    std::map<std::uint64_t, std::string> marked;
    std::uint64_t lastNumber = 0;
};

} // namespace sassafrasferry::entry
