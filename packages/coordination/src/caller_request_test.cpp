#include <sassafrasferry/coordination/caller_request.h>

#include <catch2/catch.hpp>

using namespace sassafrasferry;
using namespace sassafrasferry::coordination;

namespace {

struct IdCase
{
    std::string text;
    bool isId;
};

const std::vector<IdCase> ids{
    {"5c0e7a21d94b36f8", true},
    {"a-b_c", true},
    {"", false},
    {"a/b", false},
    {"a b", false},
    {"a!", false},
    {std::string(100, 'a'), true},
    {std::string(101, 'a'), false},
};

struct HostCase
{
    std::string field;
    std::string host;
};

const std::vector<HostCase> hosts{
    {"", ""},
    {"pule25.example", "pule25.example"},
    {"pule25.example:8080", "pule25.example"},
};

/// Value of the patience header, and the milliseconds that the caller is assumed to wait.
struct PatienceCase
{
    std::string field;
    int milliseconds;
};

const std::vector<PatienceCase> patiences{
    {"", 3000},
    {"1500", 1500},
    {"soon", 3000},
    {"90000", 90000},
};

} // namespace

TEST_CASE("Job ids hold 1 to 100 letters, digits, hyphens or underscores")
{
    const auto row = GENERATE(from_range(ids));
    CAPTURE(row.text);
    CHECK(isJobId(row.text) == row.isId);
}

TEST_CASE("The host of a request is its Host header without the port")
{
    const auto row = GENERATE(from_range(hosts));
    http::Request request;
    if (!row.field.empty())
        request.set(http::Field::host, row.field);
    CHECK(hostOf(request) == row.host);
}

TEST_CASE("The deadline of a request lies before the time when its caller stops waiting")
{
    const auto row = GENERATE(from_range(patiences));
    CAPTURE(row.field);
    http::Request request;
    if (!row.field.empty())
        request.set("X-Patience", row.field);
    const auto before = bootNow();
    const auto deadline = deadlineOf(request, "X-Patience");
    const auto after = bootNow();
    CHECK(deadline < after + std::chrono::milliseconds(row.milliseconds));
    CHECK(deadline >= before + std::chrono::milliseconds(row.milliseconds - 400));
}

TEST_CASE("A 503 response has a Retry-After header")
{
    const auto response = retryLater("no configuration yet");
    CHECK(response.result() == http::Status::service_unavailable);
    CHECK(response[http::Field::retry_after] == "1");
    const auto longer = retryLater("the store takes no jobs now", std::chrono::seconds(3));
    CHECK(longer[http::Field::retry_after] == "3");
}
