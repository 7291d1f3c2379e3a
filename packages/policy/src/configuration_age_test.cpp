// Tests which configurations serve requests.
#include <sassafrasferry/policy/configuration_age.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry::policy;
using namespace std::chrono_literals;

// Guards against requests on dropped queues that are served while the link of an entry VM is busy
// with the new configuration, and against requests that are refused since the store is silent.
TEST_CASE("A configuration beyond its bound serves requests unless a newer one is arriving")
{
    struct Row
    {
        Duration age;
        bool isNewerArriving;
        bool mayRoute;
    };
    const std::vector<Row> rows{
        {1s, false, true},     {1s, true, true},      {2800ms, true, true},
        {2801ms, true, false}, {8700ms, true, false}, {8700ms, false, true},
    };
    const auto row = GENERATE_COPY(from_range(rows));
    CAPTURE(row.age.count(), row.isNewerArriving);
    CHECK(mayRoute({row.age, row.isNewerArriving}, 2800ms) == row.mayRoute);
}
