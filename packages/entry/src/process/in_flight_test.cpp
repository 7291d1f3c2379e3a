// Requests in flight, by name.
#include "in_flight.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace sassafrasferry::entry;

TEST_CASE("a stop names what is in flight, an id that is used twice too")
{
    using Ids = std::vector<std::string>;
    InFlight requests;
    CHECK(requests.ids().empty());
    std::optional<InFlight::Mark> first(std::in_place, requests, "a");
    const InFlight::Mark second(requests, "b");
    const InFlight::Mark third(requests, "a");
    CHECK(requests.ids() == Ids{"a", "b", "a"});
    first.reset();
    CHECK(requests.ids() == Ids{"b", "a"});
}
