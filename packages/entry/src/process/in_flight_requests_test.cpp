// Tracking of requests in flight.
#include "in_flight_requests.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace sassafrasferry::entry;

TEST_CASE("requests in flight are listed oldest first, including two with the same id")
{
    using Ids = std::vector<std::string>;
    InFlightRequests requests;
    CHECK(requests.ids().empty());
    std::optional<InFlightRequests::Registration> first(std::in_place, requests, "a");
    const InFlightRequests::Registration second(requests, "b");
    const InFlightRequests::Registration third(requests, "a");
    CHECK(requests.ids() == Ids{"a", "b", "a"});
    first.reset();
    CHECK(requests.ids() == Ids{"b", "a"});
}
