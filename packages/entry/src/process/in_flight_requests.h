// Tracks the ids of requests being served, so that a stop can log the ones that it interrupts.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sassafrasferry::entry {

/// Registry of requests in flight. Thread-safe.
class InFlightRequests
{
public:
    /// Registers a request as in flight for the lifetime of this object.
    class Registration
    {
    public:
        Registration(InFlightRequests &requests, std::string requestId);
        ~Registration();
        Registration(const Registration &) = delete;
        Registration &operator=(const Registration &) = delete;

    private:
        InFlightRequests &requests;
        std::uint64_t number;
    };

    /// Ids of the requests in flight, oldest first. An id is listed twice if two requests use it.
    std::vector<std::string> ids() const;

private:
    mutable std::mutex mutex; // guards all below
    std::map<std::uint64_t, std::string> requestIds;
    std::uint64_t lastNumber = 0;
};

} // namespace sassafrasferry::entry
