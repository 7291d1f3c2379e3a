// The requests that are being served, by their ids, so that a stop can name those that it cuts off.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sassafrasferry::entry {

/// Shared by all threads.
class InFlight
{
public:
    /// Counts a request as in flight for as long as it lives.
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

    /// Ids of the requests in flight, oldest first. A caller may use an id twice.
    std::vector<std::string> ids() const;

private:
    mutable std::mutex mutex; // guards all below
    std::map<std::uint64_t, std::string> marked;
    std::uint64_t lastNumber = 0;
};

} // namespace sassafrasferry::entry
