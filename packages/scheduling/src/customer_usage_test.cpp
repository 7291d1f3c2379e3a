// Adding up what customers use, against their caps.
#include <sassafrasferry/scheduling/customer_usage.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::scheduling;
using jobs::Resources;

namespace {

Customer customerWith(const std::string &name, const Resources &cap)
{
    Customer customer;
    customer.name = name;
    customer.cap = cap;
    return customer;
}

} // namespace

TEST_CASE("a need has room if it fits in each resource that the cap limits")
{
    struct Row
    {
        Resources cap;
        Resources used;
        Resources need;
        std::size_t count;
        bool hasRoom;
    };
    const std::vector<Row> rows{
        {{10, 0, 0}, {0, 0, 0}, {10, 99, 9}, 1, true},
        {{10, 0, 0}, {0, 0, 0}, {11, 0, 0}, 1, false},
        {{10, 0, 0}, {5, 0, 0}, {3, 0, 0}, 1, true},
        {{10, 0, 0}, {5, 0, 0}, {3, 0, 0}, 2, false},
        {{10, 20, 0}, {0, 15, 0}, {1, 6, 0}, 1, false},
        {{10, 20, 2}, {0, 0, 2}, {1, 1, 1}, 1, false},
        {{10, 20, 2}, {0, 0, 2}, {1, 1, 0}, 1, true},
        {{10, 0, 0}, {30, 0, 0}, {1, 0, 0}, 1, false}, // the cap was cut below the use
        {{10, 0, 0}, {30, 0, 0}, {0, 5, 0}, 1, true},
    };
    for (const auto &row : rows) {
        CustomerUsage usage({customerWith("a", row.cap)});
        usage.accountOf(0).add(row.used);
        CAPTURE(row.cap.cpu, row.used.cpu, row.need.cpu, row.count);
        CHECK(usage.accountOf(0).hasRoom(row.need, row.count) == row.hasRoom);
        if (row.count == 1)
            CHECK(usage.accountOf(0).take(row.need) == row.hasRoom);
    }
}

TEST_CASE("only customers with a cap are limited")
{
    CustomerUsage usage({customerWith("a", {}), customerWith("b", {1, 0, 0})});
    CHECK(usage.accountOf(0).take({1000, 0, 0}));
    CHECK(usage.accountOf(jobs::noCustomer).take({1000, 0, 0}));
    CHECK(usage.accountOf(1).take({1, 0, 0}));
    CHECK_FALSE(usage.accountOf(1).take({1, 0, 0}));
    Configuration configuration;
    configuration.customers = {customerWith("a", {})};
    CHECK_FALSE(configuration.hasCaps());
    configuration.customers.push_back(customerWith("b", {0, 0, 1}));
    CHECK(configuration.hasCaps());
}

TEST_CASE("a job whose largest task or gang is above the cap can never run")
{
    jobs::StepSpec step;
    step.count = 4;
    step.need = {3, 0, 0};
    jobs::JobSpec job;
    job.steps.push_back(step);
    CHECK(canEverRun(job, {}));
    CHECK(canEverRun(job, {3, 0, 0}));
    CHECK_FALSE(canEverRun(job, {2, 0, 0}));
    job.steps.front().gang = true;
    CHECK_FALSE(canEverRun(job, {11, 0, 0}));
    CHECK(canEverRun(job, {12, 0, 0}));
}
